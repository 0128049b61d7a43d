// A call: what a client asks for, as a frontend hands it to the engine.
#pragma once

#include <cstdint>
#include <string>

#include "cairnjunction/load_balancer.hpp"
#include "core/message.hpp"

namespace cairnjunction {

using CallId = policy::RequestId;  // given out by the engine, and never twice

struct Call {
  std::string externalId;      // the name that workers see; no two open calls have the same
  std::string idempotencyKey;  // by which workers drop repeats; empty: none
  policy::Request attributes;  // input of the load balancer; its `id` is set by the engine
  Message message;
  bool acceptsStreaming = false;  // its frontend can pass on an answer with Message::rest
};

}  // namespace cairnjunction
