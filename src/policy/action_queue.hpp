// The actions that the embedding program is to carry out, in order.
#pragma once

#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

class ActionQueue {
 public:
  void send(RequestId request, std::uint32_t attempt, EndpointId endpoint, Duration timeLimit);
  // `retryAfter`: zero for none.
  void reject(RequestId request, Duration retryAfter);
  void fail(RequestId request);
  void cancel(RequestId request, std::uint32_t attempt);
  void closeIdle(EndpointId endpoint);
  void forgetEndpoint(EndpointId endpoint);
  void scheduleWake(Timestamp at);
  void pollEndpoints();

  // Logs are limited to one a second: to be asked before a line is put together.
  bool mayLog(Timestamp now) const;
  void log(Timestamp now, std::string text);

  // Those not yet taken out by the embedding program, which clears them.
  std::vector<Action>& pending() { return pending_; }

 private:
  Action& append(ActionKind kind, RequestId request, EndpointId endpoint);

  std::vector<Action> pending_;
  Timestamp loggedAt_{};  // zero: never
};

}  // namespace cairnjunction::policy
