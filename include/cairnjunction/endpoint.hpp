// Endpoints, as listed by discovery and as the embedding program can reach them.
#pragma once

#include <climits>
#include <cstdint>
#include <string>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Assigned by the LoadBalancer when an address is first listed. An id is reused only after
// ActionKind::forgetEndpoint.
using EndpointId = std::uint32_t;

// Stands for no endpoint, no class, no tenant or no limit.
inline constexpr std::uint32_t kNone = UINT32_MAX;

enum class EndpointState : std::uint8_t {
  active,    // receives attempts
  draining,  // receives no new attempts
  removed    // receives no new attempts; its id is released once no open request refers to it
};

// One entry of an endpoint list.
struct EndpointInfo {
  std::string address;  // identifies the endpoint; not empty
  std::string zone;
  std::string machineKind;  // endpoints of one kind are assumed to have the same capacity
  std::int64_t cell = 0;    // endpoints of one cell and zone share deduplication, see DedupScope
  double weight = 1;        // used only with Settings::loadReports; falls with the load of the endpoint
  EndpointState state = EndpointState::active;
  Timestamp startedAt{};      // latest start of its process; zero: long ago
  int maxInFlight = INT_MAX;  // attempts that this gateway may have in flight to it; at least 1
};

enum class EndpointListKind : std::uint8_t {
  update,      // only entries that are new or have changed
  replace,     // a complete list: endpoints that are not in it are removed
  restored,    // a complete list saved before a restart, which may be stale
  unavailable  // discovery could not be reached: no entries
};

// Whether connections to an endpoint can be established, as reported to LoadBalancer::onReachability. An
// endpoint is reachable until reported otherwise.
enum class Reachability : std::uint8_t {
  reachable,
  probeOnly,   // may be sent one attempt as a probe; once that is sent, the endpoint is unreachable
  unreachable  // receives no attempts and does not count towards the capacity of the pool
};

}  // namespace cairnjunction::policy
