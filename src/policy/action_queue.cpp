#include "policy/action_queue.hpp"

#include <utility>

namespace cairnjunction::policy {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

Action& ActionQueue::append(ActionKind kind, RequestId request, EndpointId endpoint) {
  Action& action = pending_.emplace_back();
  action.kind = kind;
  action.request = request;
  action.endpoint = endpoint;
  return action;
}

void ActionQueue::send(RequestId request, std::uint32_t attempt, EndpointId endpoint, Duration timeLimit) {
  Action& action = append(ActionKind::send, request, endpoint);
  action.attempt = attempt;
  action.timeLimit = timeLimit;
}

void ActionQueue::reject(RequestId request, Duration retryAfter) {
  append(ActionKind::reject, request, kNone).retryAfter = retryAfter;
}

void ActionQueue::fail(RequestId request) { append(ActionKind::fail, request, kNone); }

void ActionQueue::cancel(RequestId request, std::uint32_t attempt) {
  append(ActionKind::cancel, request, kNone).attempt = attempt;
}

void ActionQueue::closeIdle(EndpointId endpoint) { append(ActionKind::closeIdle, 0, endpoint); }

void ActionQueue::forgetEndpoint(EndpointId endpoint) { append(ActionKind::forgetEndpoint, 0, endpoint); }

void ActionQueue::scheduleWake(Timestamp at) { append(ActionKind::scheduleWake, 0, kNone).wakeAt = at; }

void ActionQueue::pollEndpoints() { append(ActionKind::pollEndpoints, 0, kNone); }

bool ActionQueue::mayLog(Timestamp now) const {
  return loggedAt_ == Timestamp{} || now - loggedAt_ >= kLogInterval;
}

void ActionQueue::log(Timestamp now, std::string text) {
  append(ActionKind::log, 0, kNone).text = std::move(text);
  loggedAt_ = now;
}

}  // namespace cairnjunction::policy
