// Settings of EndpointHealth. docs/design/limits.md gives the reasons for the values.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

struct EndpointHealthSettings {
  policy::Duration slowStartDuration{};  // counted from the start of the endpoint's process

  // Backoff between the probes of one unreachable endpoint: the initial pause, which doubles with each
  // failure, and its maximum.
  policy::Duration probeInitialBackoff = std::chrono::milliseconds(100);
  policy::Duration probeMaxBackoff = std::chrono::milliseconds(800);
  // The same for an endpoint that is unreachable because of connect timeouts. It is probed less often, since
  // each probe delays its request by a whole connect timeout.
  policy::Duration connectTimeoutProbeInitialBackoff = std::chrono::milliseconds(500);
  policy::Duration connectTimeoutProbeMaxBackoff = std::chrono::seconds(4);
  // Probes per second over all endpoints. Bounded since each probe is a request that may be delayed.
  double probesPerSecond = 20;

  // Consecutive connect timeouts without a response after which an endpoint is unreachable.
  int connectTimeoutLimit = 2;
  // An endpoint is overloaded after this many consecutive rejections that span at least this duration.
  // Anything below is taken for a short load peak.
  int overloadedStreak = 8;
  policy::Duration overloadedDuration = std::chrono::milliseconds(500);

  // Maximum time that another gateway's probes replace those of this gateway, counted from the time at
  // which this gateway last found the endpoint unreachable or ended a probe. It bounds the harm done by a
  // gateway that reports wrong results. `jitter` scales it by a factor from 0.5 to 1.
  policy::Duration delegationMaxDuration = std::chrono::seconds(10);

  // An endpoint contradicts the list once it has been unreachable for this long. `jitter` scales it by a
  // factor from 0.5 to 1.5.
  policy::Duration staleAfter = std::chrono::milliseconds(400);
  // Pause between resync requests: the initial one, and the maximum number of times that it is doubled.
  policy::Duration resyncInitialBackoff = std::chrono::seconds(2);
  int resyncMaxDoublings = 3;
  // Pause after a resync that discovery did not answer.
  policy::Duration resyncRetryAfterFailure = std::chrono::seconds(1);

  // From 0 to 1, different for each gateway, so that gateways that observe the same failure do not all act at
  // the same moment.
  double jitter = 0.5;
};

}  // namespace cairnjunction
