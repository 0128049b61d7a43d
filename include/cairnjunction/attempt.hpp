// Attempts: how each sending of a request to an endpoint ended.
#pragma once

#include <cstdint>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/request.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

enum class Outcome : std::uint8_t {
  served,
  error,          // may have run
  overloaded,     // turned away by the endpoint; never ran
  timeout,        // may have run
  connectFailed,  // never ran
  reset,          // may have run
  cancelled,      // may have run
  notSent,        // never ran: the gateway itself did not send it
  invalidRequest  // the endpoint found fault with the request itself; may have run
};

// Why an attempt ended with its outcome, where the program that carried it out knows.
enum class FailureReason : std::uint8_t {
  unknown,
  connectionRefused,    // connectFailed: refused, or another error of the machine or the network (no route)
  connectTimeout,       // connectFailed: the new connection did not come up in the time for it
  attemptTimeout,       // connectFailed: the attempt's own time ended before that
  noDescriptor,         // connectFailed: the gateway itself had no descriptor, local port or memory left
  brokenWhileWriting,   // connectFailed: the connection broke before the last byte was written
  cancelledBeforeSend,  // connectFailed: taken back unwritten: the list drained, removed or moved the
                        // endpoint, or the client left
  malformedResponse     // error, reset: what came is no response that can be read
};

enum class ConnectionUse : std::uint8_t {
  unknown,
  none,    // there was no connection
  opened,  // opened for this attempt
  reused   // opened before
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;    // its number, as in ActionKind::send
  EndpointId endpoint = kNone;  // as in ActionKind::send
  Outcome outcome = Outcome::served;
  Duration elapsed{};        // since it was sent
  bool endsRequest = false;  // the client was answered or has disconnected: no retry, no further answer
  FailureReason failureReason = FailureReason::unknown;
  ConnectionUse connectionUse = ConnectionUse::unknown;
  bool connectionKept = false;  // the connection stays open; set by those who know connectionUse
};

}  // namespace cairnjunction::policy
