// The final answer to a call, and the interface through which a frontend receives it.
#pragma once

#include <cstdint>

#include "cairnjunction/load_balancer.hpp"
#include "core/message.hpp"

namespace cairnjunction {

enum class ReplyStatus {
  ok,        // the message is the worker's answer to this call
  rejected,  // the call has had no effect, or is safe to repeat: the client may send it again
  failed     // the call may have been executed
};

struct Reply {
  ReplyStatus status = ReplyStatus::failed;
  Message message;                // with ReplyStatus::ok
  policy::Duration retryAfter{};  // with ReplyStatus::rejected: how long the client should wait; 0: not said
};

// A frontend, as the engine sees it. It must outlive its open calls.
class ReplySink {
 public:
  // Called exactly once for each accepted call whose client has not disconnected, perhaps from within
  // Engine::accept. `frontendToken` is what the frontend gave to Engine::accept; the reply becomes the
  // sink's.
  virtual void onReply(std::uint64_t frontendToken, Reply reply) = 0;

 protected:
  ~ReplySink() = default;
};

}  // namespace cairnjunction
