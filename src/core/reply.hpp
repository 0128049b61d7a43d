// The final answer to a call, and the interface through which a frontend receives it.
#pragma once

#include <cstdint>

#include "cairnjunction/load_balancer.hpp"
#include "core/message.hpp"

namespace cairnjunction {

enum class ReplyStatus {
  ok,        // the message is the worker's answer to this call
  rejected,  // the call had no effect or is safe to repeat: the client may send it again
  failed     // the call may have been executed
};

struct Reply {
  ReplyStatus status = ReplyStatus::failed;
  Message message;  // with ReplyStatus::ok
  // With ReplyStatus::rejected: how long the client should wait before it retries; 0: not specified.
  policy::Duration retryAfter{};
};

// The interface of a frontend towards the engine. The frontend must outlive its open calls.
class ReplySink {
 public:
  // Called exactly once for each accepted call whose client has not disconnected, possibly from within
  // Engine::accept. `frontendToken` is the value that the frontend passed to Engine::accept.
  virtual void onReply(std::uint64_t frontendToken, Reply reply) = 0;

 protected:
  ~ReplySink() = default;
};

}  // namespace cairnjunction
