#include "core/attempt_log.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cairnjunction::testing {
namespace {

TEST(AttemptLog, SaysOfWhichRequestWhichAttemptFailedAndWhy) {
  std::vector<std::string> lines;
  AttemptLog log([&](const std::string& line) { lines.push_back(line); });
  AttemptOutcome outcome;
  outcome.key.attempt = 1;
  outcome.outcome = policy::Outcome::connectFailed;
  outcome.failureReason = policy::FailureReason::connectionRefused;
  log.onFailure(policy::Timestamp{}, "r7", outcome, "s-1", std::chrono::milliseconds(250));
  outcome.outcome = policy::Outcome::timeout;
  outcome.failureReason = policy::FailureReason::unknown;
  outcome.limit = AttemptLimit::responseStart;
  outcome.receivedBytes = 120;
  outcome.silence = std::chrono::milliseconds(310);
  log.onFailure(policy::Timestamp{}, "r7", outcome, "s-1", std::chrono::milliseconds(-40));
  log.onRetry(policy::Timestamp{}, "r7", 2, "s-2");
  EXPECT_EQ(lines, (std::vector<std::string>{
                       "attempt-failed request=r7 attempt=1 endpoint=s-1 outcome=connect-failed "
                       "reason=connection-refused limit=none received=0 silence_ms=0 left_ms=250 executed=no",
                       "attempt-failed request=r7 attempt=1 endpoint=s-1 outcome=timeout reason=unknown "
                       "limit=response-start received=120 silence_ms=310 left_ms=-40 executed=maybe",
                       "attempt-retried request=r7 attempt=2 endpoint=s-2"}));
}

TEST(AttemptLog, SaysOfWhichRequestWasNotServedAfterHowManyAttempts) {
  std::vector<std::string> lines;
  AttemptLog log([&](const std::string& line) { lines.push_back(line); });
  log.onRefusal(policy::Timestamp{}, "r7", ReplyStatus::rejected, 0, std::chrono::milliseconds(700),
                RefusalCause::loadBalancer);
  log.onRefusal(policy::Timestamp{}, "r8", ReplyStatus::failed, 2, std::chrono::milliseconds(5),
                RefusalCause::shutdown);
  EXPECT_EQ(lines, (std::vector<std::string>{
                       "request-rejected request=r7 attempts=0 left_ms=700 cause=load-balancer",
                       "request-failed request=r8 attempts=2 left_ms=5 cause=shutdown"}));
}

TEST(AttemptLog, SaysWhenAndWhyAResponseIsStreamedAndThatAClientHasLeft) {
  std::vector<std::string> lines;
  AttemptLog log([&](const std::string& line) { lines.push_back(line); });
  AttemptOutcome outcome;
  outcome.receivedBytes = 70'000;
  outcome.streamReason = StreamReason::size;
  log.onStreamed(policy::Timestamp{}, "r7", outcome, "s-1", std::chrono::milliseconds(30));
  log.onClientLeft(policy::Timestamp{}, "r8", 1, std::chrono::milliseconds(90));
  EXPECT_EQ(lines, (std::vector<std::string>{
                       "response-streamed request=r7 attempt=0 endpoint=s-1 reason=size received=70000 "
                       "left_ms=30",
                       "client-left request=r8 attempts=1 left_ms=90"}));
}

}  // namespace
}  // namespace cairnjunction::testing
