// An attempt sends a call to one endpoint, once. This file has the key, the timeouts and the outcome of an
// attempt.
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

// Timeouts of an attempt, counted from its start.
struct AttemptTimeouts {
  AttemptTimeouts(policy::Duration responseStartWithin,
                  policy::Duration writeWithin = policy::Duration::max())
      : AttemptTimeouts(responseStartWithin, writeWithin, responseStartWithin) {}
  AttemptTimeouts(policy::Duration responseStartWithin, policy::Duration writeWithin,
                  policy::Duration clientWaits)
      : responseStart(responseStartWithin), write(writeWithin), client(clientWaits) {}
  // Above 0. The attempt ends with Outcome::timeout if the answer has not begun by then: the load balancer
  // wants to retry, or to give up on a silent endpoint.
  policy::Duration responseStart;
  // A request whose last byte is not written within this time is never completed, so it is not executed.
  // Duration::max(): no limit.
  policy::Duration write;
  // At least `responseStart`: until the client's time is over. Its final answer begins by then.
  policy::Duration client;
};

// The time limit that ended an attempt.
enum class AttemptLimit {
  none,           // it ended for another reason
  responseStart,  // the answer did not begin in time
  silence,        // of the endpoint, or of the client's reading, within an answer that is streamed
  clientTime      // the client's time was over, and of the answer too little had come to be streamed
};

// Why a response is streamed to its client before it is complete.
enum class StreamReason {
  none,       // it is not
  size,       // it exceeds what is buffered of one response
  memory,     // the responses that are buffered exceed their share of the memory
  clientTime  // the client's time is about to be over
};

struct AttemptOutcome {
  AttemptKey key;
  policy::EndpointId endpoint = policy::kNone;
  policy::Outcome outcome = policy::Outcome::reset;
  policy::Duration elapsed{};  // from the start of the attempt to its end
  Message response;            // with Outcome::served
  policy::FailureReason failureReason = policy::FailureReason::unknown;
  policy::ConnectionUse connectionUse = policy::ConnectionUse::unknown;
  bool connectionKept = false;  // the connection stays open for further attempts
  AttemptLimit limit = AttemptLimit::none;
  std::uint64_t receivedBytes = 0;  // of the answer, head included, until the attempt ended
  policy::Duration silence{};       // since its latest byte; 0: none has come
  StreamReason streamReason = StreamReason::none;
};

// Called when the head of a streamed answer has arrived; `response.rest` delivers the rest of its body. The
// end of the attempt is reported separately, as for every attempt. Only for calls with
// Call::acceptsStreaming.
using ResponseStarted = std::function<void(AttemptOutcome)>;

// Called when an answer has begun but is not complete, and so can't be served yet: at the end of
// AttemptTimeouts::responseStart if its head says that it can be served, and when the client's time is about
// to be over even if its head is not whole. The upstream goes on to receive it. `elapsed` counts until its
// first byte, `response` is empty. The end of the attempt is reported separately.
using ResponseDelayed = std::function<void(AttemptOutcome)>;

// What is reported of a response before the end of its attempt.
struct ResponseEvents {
  ResponseStarted started = nullptr;  // empty: no response is streamed
  ResponseDelayed delayed = nullptr;  // empty: not reported
};

}  // namespace cairnjunction
