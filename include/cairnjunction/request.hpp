// A request, as the embedding program describes it to the load balancer.
#pragma once

#include <cstdint>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Chosen by the caller; must not be reused.
using RequestId = std::uint64_t;

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeRemaining{};           // until the client times out
  Duration expectedCost{};            // expected processing time; zero: unknown
  std::uint64_t key = 0;              // for serialization and key affinity; ignored unless hasKey
  bool hasKey = false;
  std::uint32_t maxAttempts = kNone;  // a limit besides Settings::maxAttempts; at least 1; kNone: none
};

}  // namespace cairnjunction::policy
