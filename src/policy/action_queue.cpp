#include "policy/action_queue.hpp"

#include <utility>

namespace cairnjunction::policy {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void ActionQueue::send(RequestId request, std::uint32_t attempt, EndpointId endpoint, Duration timeLimit) {
  pending_.push_back({ActionKind::send, request, attempt, endpoint, timeLimit, {}});
}
void ActionQueue::reject(RequestId request, Duration retryAfter) {
  pending_.push_back({ActionKind::reject, request, 0, kNone, retryAfter, {}});
}
void ActionQueue::fail(RequestId request) {
  pending_.push_back({ActionKind::fail, request, 0, kNone, {}, {}});
}
void ActionQueue::cancel(RequestId request, std::uint32_t attempt) {
  pending_.push_back({ActionKind::cancel, request, attempt, kNone, {}, {}});
}
void ActionQueue::closeIdle(EndpointId endpoint) {
  pending_.push_back({ActionKind::closeIdle, 0, 0, endpoint, {}, {}});
}
void ActionQueue::forgetEndpoint(EndpointId endpoint) {
  pending_.push_back({ActionKind::forgetEndpoint, 0, 0, endpoint, {}, {}});
}
void ActionQueue::scheduleWake(Timestamp at) {
  pending_.push_back({ActionKind::scheduleWake, 0, 0, kNone, at, {}});
}
void ActionQueue::pollEndpoints() { pending_.push_back({ActionKind::pollEndpoints, 0, 0, kNone, {}, {}}); }

bool ActionQueue::mayLog(Timestamp now) const {
  return loggedAt_ == Timestamp{} || now - loggedAt_ >= kLogInterval;
}

void ActionQueue::log(Timestamp now, std::string text) {
  pending_.push_back({ActionKind::log, 0, 0, kNone, {}, std::move(text)});
  loggedAt_ = now;
}

}  // namespace cairnjunction::policy
