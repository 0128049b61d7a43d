// The settings of endpoint health; docs/design/limits.md has the reason of each group.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

struct EndpointHealthSettings {
  policy::Duration slowStartDuration{};  // after the start of a process

  // Backoff of the probes of one unreachable endpoint: the first, and the most that it is doubled to.
  policy::Duration probeInitialBackoff = std::chrono::milliseconds(100);
  policy::Duration probeMaxBackoff = std::chrono::milliseconds(800);
  // The same if connections to it time out: each probe then costs its request the time for connecting.
  policy::Duration silentProbeInitialBackoff = std::chrono::milliseconds(500);
  policy::Duration silentProbeMaxBackoff = std::chrono::seconds(4);
  // Over all endpoints. Each probe is a request that may start late.
  double probesPerSecond = 20;

  // An endpoint is unreachable after so many connect timeouts in a row without a response.
  int connectTimeoutLimit = 2;
  // An endpoint is overloaded after so many rejections in a row that span at least this time; fewer are a
  // peak.
  int overloadedStreak = 8;
  policy::Duration overloadedDuration = std::chrono::milliseconds(500);

  // How long another gateway's probes replace this one's at most, since this one last tried the endpoint. It
  // bounds the harm of a gateway that reports wrongly. Drawn by `jitter` from half of it up.
  policy::Duration delegationMaxDuration = std::chrono::seconds(10);

  // The list may be stale once it contradicts what is seen of the endpoints for so long; drawn by `jitter`.
  policy::Duration staleAfter = std::chrono::milliseconds(400);
  // Pause between requests for a resync: the first, and how often it is doubled at most.
  policy::Duration resyncInitialBackoff = std::chrono::seconds(2);
  int resyncMaxDoublings = 3;
  // Pause after a resync that discovery did not answer.
  policy::Duration resyncRetryAfterFailure = std::chrono::seconds(1);

  // From 0 to 1, different at each gateway: those that see the same failure must not act in the same moment.
  double jitter = 0.5;
};

}  // namespace cairnjunction
