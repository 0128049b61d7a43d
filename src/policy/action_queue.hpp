// Queue of the actions that the embedding program must carry out, in order.
#pragma once

#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Each function except mayLog appends the action of its name, see ActionKind.
class ActionQueue {
 public:
  void send(RequestId request, std::uint32_t attempt, EndpointId endpoint, Duration timeLimit);
  // `retryAfter`: zero for no Retry-After.
  void reject(RequestId request, Duration retryAfter);
  void fail(RequestId request);
  void cancel(RequestId request, std::uint32_t attempt);
  void closeIdle(EndpointId endpoint);
  void forgetEndpoint(EndpointId endpoint);
  void scheduleWake(Timestamp at);
  void pollEndpoints();

  // Log lines are limited to one per second: call this before composing a line.
  bool mayLog(Timestamp now) const;
  void log(Timestamp now, std::string text);

  // The actions not yet carried out. The embedding program clears them.
  std::vector<Action>& pending() { return pending_; }

 private:
  Action& append(ActionKind kind, RequestId request, EndpointId endpoint);

  std::vector<Action> pending_;
  Timestamp loggedAt_{};  // time of the last log line; zero: none yet
};

}  // namespace cairnjunction::policy
