// Actions: what the embedding program is to do.
#pragma once

#include <cstdint>
#include <string>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/request.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

enum class ActionKind : std::uint8_t {
  send,            // an attempt of the request to the endpoint, which may take timeLimit
  reject,          // answer that the request was not served and may safely be sent again, after retryAfter
  fail,            // answer with an error: the request may have run
  cancel,          // the attempt, if it still runs
  closeIdle,       // the idle connections to the endpoint
  forgetEndpoint,  // drop all state of it: it was removed, and its id may be reused for another endpoint
  scheduleWake,    // call onWake at wakeAt; replaces the time of any scheduleWake before
  pollEndpoints,   // ask discovery for the endpoint list
  log              // the text
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;        // send, reject, fail, cancel
  std::uint32_t attempt = 0;    // send, cancel: number of the attempt, from 0
  EndpointId endpoint = kNone;  // send, closeIdle, forgetEndpoint
  Duration timeLimit{};         // send: how long the attempt may take
  Duration retryAfter{};        // reject: Retry-After for the client; 0: none
  Timestamp wakeAt{};           // scheduleWake
  std::string text;             // log
};

}  // namespace cairnjunction::policy
