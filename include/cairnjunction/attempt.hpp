// Results of attempts: the outcome of each attempt that was sent to an endpoint.
#pragma once

#include <cstdint>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/request.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

enum class Outcome : std::uint8_t {
  served,         // the endpoint served the request
  error,          // the endpoint answered with an error or a malformed response; may have been executed
  overloaded,     // rejected by the endpoint as overloaded; not executed
  timeout,        // no answer within the time limit; may have been executed
  connectFailed,  // the request was not completely written to a connection; not executed
  reset,          // the connection broke after the request was written; may have been executed
  cancelled,      // cancelled before its result was known; may have been executed
  notSent,        // the gateway itself did not send it; not executed
  invalidRequest  // the endpoint rejected the request as invalid; may have been executed
};

// Cause of an outcome, where the embedding program knows it.
enum class FailureReason : std::uint8_t {
  unknown,
  connectionRefused,    // connectFailed: refused, or another error of the machine or the network (no route)
  connectTimeout,       // connectFailed: the new connection was not established within the connect timeout
  attemptTimeout,       // connectFailed: the attempt's time limit expired before the connect timeout
  noDescriptor,         // connectFailed: the gateway itself had no descriptor, local port or memory left
  brokenWhileWriting,   // connectFailed: the connection broke before the last byte was written
  cancelledBeforeSend,  // connectFailed: cancelled before any byte was written: the list drained, removed
                        // or moved the endpoint, or the client disconnected
  malformedResponse,    // error, reset: the response could not be parsed
  unsolicitedBytes      // connectFailed, error: the endpoint sent bytes that answer no request, so that a
                        // response on the connection can't be trusted
};

// Which connection an attempt used.
enum class ConnectionUse : std::uint8_t {
  unknown,
  none,    // no connection
  opened,  // one opened for this attempt
  reused   // one opened earlier
};

// Result of an attempt, for LoadBalancer::onResult.
struct AttemptResult {
  RequestId request = 0;        // as in ActionKind::send
  std::uint32_t attempt = 0;    // as in ActionKind::send
  EndpointId endpoint = kNone;  // as in ActionKind::send
  Outcome outcome = Outcome::served;
  Duration elapsed{};        // since the attempt was sent
  bool endsRequest = false;  // the client was answered or has disconnected: no retry or answer follows
  FailureReason failureReason = FailureReason::unknown;
  ConnectionUse connectionUse = ConnectionUse::unknown;
  bool connectionKept = false;  // the connection stays open; set only together with connectionUse
};

}  // namespace cairnjunction::policy
