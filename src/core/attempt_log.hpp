// Log lines on attempts that were not served, on retries and on requests that were not served, with the
// request's id, so that what became of a request can be read from the log. Rate-limited.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "core/rate_limited_log.hpp"
#include "core/reply.hpp"

namespace cairnjunction {

std::string_view nameOf(policy::Outcome outcome);
std::string_view nameOf(policy::FailureReason reason);
std::string_view nameOf(AttemptLimit limit);
std::string_view nameOf(StreamReason reason);

// Why a request got a reply other than ReplyStatus::ok just then.
enum class RefusalCause {
  loadBalancer,   // its decision
  responseEnded,  // an answer that was under way past its limit came to nothing
  replyOverdue,   // an answer was under way and the latest time of the reply had come
  shutdown        // the process is about to be killed
};
std::string_view nameOf(RefusalCause cause);

class AttemptLog {
 public:
  explicit AttemptLog(const RateLimitedLog::Write& write) : attempts_(write), replies_(write) {}

  // `endpoint`: its address in the list. `timeRemaining`: of the request's client; below 0: its time is over.
  void onRetry(policy::Timestamp now, std::string_view request, std::uint32_t attempt,
               std::string_view endpoint);
  void onFailure(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
                 std::string_view endpoint, policy::Duration timeRemaining);
  // The answer is under way, and more of it is awaited than the load balancer's limit allowed for.
  void onDelay(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
               std::string_view endpoint);
  // The client is sent what has come of the answer, and the rest of it while it comes.
  void onStreamed(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
                  std::string_view endpoint, policy::Duration timeRemaining);
  // The client has left before its reply.
  void onClientLeft(policy::Timestamp now, std::string_view request, std::uint32_t attempts,
                    policy::Duration timeRemaining);
  // The request gets a reply other than ReplyStatus::ok. `attempts`: number of those that were started.
  void onRefusal(policy::Timestamp now, std::string_view request, ReplyStatus status, std::uint32_t attempts,
                 policy::Duration timeRemaining, RefusalCause cause);

 private:
  RateLimitedLog attempts_;
  RateLimitedLog replies_;
};

}  // namespace cairnjunction
