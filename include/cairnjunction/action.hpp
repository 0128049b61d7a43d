// Actions: the decisions of the load balancer, which the embedding program carries out.
#pragma once

#include <cstdint>
#include <string>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/request.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

enum class ActionKind : std::uint8_t {
  send,            // send an attempt of the request to the endpoint, with timeLimit as its timeout
  reject,          // answer that the request had no effect or is safe to repeat; retry after retryAfter
  fail,            // answer with an error: the outcome is unknown, the request may have been executed
  cancel,          // cancel the attempt if it is still in flight
  closeIdle,       // close the idle connections to the endpoint
  forgetEndpoint,  // drop all state of the removed endpoint: its id may be reused for another endpoint
  scheduleWake,    // call onWake at wakeAt; replaces any earlier scheduleWake
  pollEndpoints,   // request the endpoint list from discovery
  log              // write the text to the log
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;        // send, reject, fail, cancel
  std::uint32_t attempt = 0;    // send, cancel: number of the attempt within the request, from 0
  EndpointId endpoint = kNone;  // send, closeIdle, forgetEndpoint
  Duration timeLimit{};         // send: timeout of the attempt
  Duration retryAfter{};        // reject: Retry-After for the client; zero: none
  Timestamp wakeAt{};           // scheduleWake: time at which to call onWake
  std::string text;             // log: one line
};

}  // namespace cairnjunction::policy
