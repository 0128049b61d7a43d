// A call: a client's request, as a frontend passes it to the engine.
#pragma once

#include <cstdint>
#include <string>

#include "cairnjunction/load_balancer.hpp"
#include "common/memory_account.hpp"
#include "core/message.hpp"

namespace cairnjunction {

using CallId = policy::RequestId;  // assigned by the engine, never reused

struct Call {
  std::string externalId;      // the id that workers see; unique among open calls
  std::string idempotencyKey;  // by which workers recognize and drop repeats; empty: none
  policy::Request attributes;  // input of the load balancer; its `id` is set by the engine
  Message message;
  bool acceptsStreaming = false;  // the frontend can stream an answer with Message::rest to the client
  MemoryCharge memory;            // for as long as the call lives
};

}  // namespace cairnjunction
