// Endpoints, as discovery lists them and as the embedding program finds them.
#pragma once

#include <climits>
#include <cstdint>
#include <string>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Given out by the LoadBalancer at first sight of an address. It is given out again after
// ActionKind::forgetEndpoint, and not before.
using EndpointId = std::uint32_t;

// No endpoint, class, tenant or limit.
inline constexpr std::uint32_t kNone = UINT32_MAX;

enum class EndpointState : std::uint8_t {
  active,    // may be sent attempts
  draining,  // is sent no new ones
  removed    // the same; its id is forgotten once no open request names it
};

// One entry of an endpoint list.
struct EndpointInfo {
  std::string address;  // names the endpoint; not empty
  std::string zone;
  std::string machineKind;  // endpoints of one kind are taken to have the same capacity
  std::int64_t cell = 0;    // endpoints of one cell and zone drop repeats together, see DedupScope
  double weight = 1;        // comparable across endpoints; see Settings::loadReports
  EndpointState state = EndpointState::active;
  Timestamp startedAt{};      // latest start of its process; zero: long past
  int maxInFlight = INT_MAX;  // attempts of this gateway that may be in flight to it, from 1 on
};

enum class EndpointListKind : std::uint8_t {
  update,      // entries that are new or have changed
  replace,     // the whole list: endpoints that it leaves out are removed
  restored,    // a whole list from before a restart, which may be stale
  unavailable  // discovery could not be reached: there are no entries
};

// Whether connections to an endpoint can be had, as reported by LoadBalancer::onReachability. Endpoints are
// reachable until reported otherwise.
enum class Reachability : std::uint8_t {
  reachable,
  probeOnly,   // one attempt may be sent, to find out; once it is sent the endpoint is unreachable
  unreachable  // no connection can be had: nothing is sent, and it is no part of the pool's capacity
};

}  // namespace cairnjunction::policy
