#include "core/attempt_log.hpp"

#include <chrono>

#include "core/attempt_rules.hpp"

namespace cairnjunction {

using policy::Duration;
using policy::FailureReason;
using policy::Outcome;

namespace {

std::string millisecondsText(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// The beginning of a line on one attempt of a request.
std::string attemptLine(std::string_view event, std::string_view request, std::uint32_t attempt,
                        std::string_view endpoint) {
  std::string line(event);
  line.append(" request=").append(request).append(" attempt=").append(std::to_string(attempt));
  return line.append(" endpoint=").append(endpoint);
}

// A line on a request as a whole.
std::string requestLine(std::string_view event, std::string_view request, std::uint32_t attempts,
                        Duration timeRemaining) {
  std::string line(event);
  line.append(" request=").append(request).append(" attempts=").append(std::to_string(attempts));
  return line.append(" left_ms=").append(millisecondsText(timeRemaining));
}

}  // namespace

std::string_view nameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::served: return "served";
    case Outcome::error: return "error";
    case Outcome::overloaded: return "overloaded";
    case Outcome::timeout: return "timeout";
    case Outcome::connectFailed: return "connect-failed";
    case Outcome::reset: return "reset";
    case Outcome::cancelled: return "cancelled";
    case Outcome::notSent: return "not-sent";
    case Outcome::invalidRequest: return "invalid-request";
  }
  return "unknown";
}

std::string_view nameOf(FailureReason reason) {
  switch (reason) {
    case FailureReason::unknown: return "unknown";
    case FailureReason::connectionRefused: return "connection-refused";
    case FailureReason::connectTimeout: return "connect-timeout";
    case FailureReason::attemptTimeout: return "attempt-timeout";
    case FailureReason::noDescriptor: return "no-descriptor";
    case FailureReason::brokenWhileWriting: return "broken-while-writing";
    case FailureReason::cancelledBeforeSend: return "cancelled-before-send";
    case FailureReason::malformedResponse: return "malformed-response";
    case FailureReason::unsolicitedBytes: return "unsolicited-bytes";
  }
  return "unknown";
}

std::string_view nameOf(StreamReason reason) {
  switch (reason) {
    case StreamReason::none: return "none";
    case StreamReason::size: return "size";
    case StreamReason::memory: return "memory";
    case StreamReason::clientTime: return "client-time";
  }
  return "unknown";
}

std::string_view nameOf(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::loadBalancer: return "load-balancer";
    case RefusalCause::responseEnded: return "response-ended";
    case RefusalCause::replyOverdue: return "reply-overdue";
    case RefusalCause::shutdown: return "shutdown";
  }
  return "unknown";
}

std::string_view nameOf(AttemptLimit limit) {
  switch (limit) {
    case AttemptLimit::none: return "none";
    case AttemptLimit::responseStart: return "response-start";
    case AttemptLimit::silence: return "silence";
    case AttemptLimit::clientTime: return "client-time";
  }
  return "unknown";
}

void AttemptLog::onRetry(policy::Timestamp now, std::string_view request, std::uint32_t attempt,
                         std::string_view endpoint) {
  attempts_.log(now, attemptLine("attempt-retried", request, attempt, endpoint));
}

void AttemptLog::onFailure(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
                           std::string_view endpoint, Duration timeRemaining) {
  std::string line = attemptLine("attempt-failed", request, outcome.key.attempt, endpoint);
  line.append(" outcome=").append(nameOf(outcome.outcome));
  line.append(" reason=").append(nameOf(outcome.failureReason));
  line.append(" limit=").append(nameOf(outcome.limit));
  line.append(" received=").append(std::to_string(outcome.receivedBytes));
  line.append(" silence_ms=").append(millisecondsText(outcome.silence));
  line.append(" left_ms=").append(millisecondsText(timeRemaining));
  line.append(mayHaveExecuted(outcome.outcome) ? " executed=maybe" : " executed=no");
  attempts_.log(now, line);
}

void AttemptLog::onDelay(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
                         std::string_view endpoint) {
  std::string line = attemptLine("response-delayed", request, outcome.key.attempt, endpoint);
  line.append(" received=").append(std::to_string(outcome.receivedBytes));
  attempts_.log(now, line);
}

void AttemptLog::onStreamed(policy::Timestamp now, std::string_view request, const AttemptOutcome& outcome,
                            std::string_view endpoint, Duration timeRemaining) {
  std::string line = attemptLine("response-streamed", request, outcome.key.attempt, endpoint);
  line.append(" reason=").append(nameOf(outcome.streamReason));
  line.append(" received=").append(std::to_string(outcome.receivedBytes));
  line.append(" left_ms=").append(millisecondsText(timeRemaining));
  attempts_.log(now, line);
}

void AttemptLog::onClientLeft(policy::Timestamp now, std::string_view request, std::uint32_t attempts,
                              Duration timeRemaining) {
  replies_.log(now, requestLine("client-left", request, attempts, timeRemaining));
}

void AttemptLog::onRefusal(policy::Timestamp now, std::string_view request, ReplyStatus status,
                           std::uint32_t attempts, Duration timeRemaining, RefusalCause cause) {
  const std::string_view event = status == ReplyStatus::rejected ? "request-rejected" : "request-failed";
  std::string line = requestLine(event, request, attempts, timeRemaining);
  line.append(" cause=").append(nameOf(cause));
  replies_.log(now, line);
}

}  // namespace cairnjunction
