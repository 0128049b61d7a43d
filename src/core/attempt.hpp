// An attempt: one sending of a call to one endpoint. What names it, bounds it and tells how it ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"
#include "core/message.hpp"

namespace cairnjunction {

struct AttemptKey {
  CallId call = 0;
  std::uint32_t attempt = 0;  // number among the call's attempts, from 0
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    return std::hash<std::uint64_t>{}(key.call * 16 + key.attempt);
  }
};

// How long an attempt may take, counted from its start.
struct AttemptTimeouts {
  AttemptTimeouts(policy::Duration responseWithin, policy::Duration writeWithin = policy::Duration::max())
      : response(responseWithin), write(writeWithin) {}
  policy::Duration response;  // above 0; the attempt ends with Outcome::timeout then
  // What is not written to its last byte by then is never written, and has not been executed.
  policy::Duration write;
};

struct AttemptOutcome {
  AttemptKey key;
  policy::EndpointId endpoint = policy::kNone;
  policy::Outcome outcome = policy::Outcome::reset;
  policy::Duration elapsed{};  // since the attempt's start
  Message response;            // with Outcome::served
  policy::FailureReason failureReason = policy::FailureReason::unknown;
  policy::ConnectionUse connectionUse = policy::ConnectionUse::unknown;
  bool connectionKept = false;  // the connection stays open
};

// Called when an answer begins that is passed on while it comes: `response.rest` brings the rest of its body.
// The attempt ends later, as every attempt does. Only for calls with Call::acceptsStreaming.
using ResponseStarted = std::function<void(AttemptOutcome)>;

}  // namespace cairnjunction
