// A request, as the embedding program describes it to the load balancer.
#pragma once

#include <cstdint>

#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Chosen by the caller, never used again.
using RequestId = std::uint64_t;

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeRemaining{};           // until the client gives up this try
  Duration expectedCost{};            // expected work; zero: not known
  std::uint64_t key = 0;              // for serialization and affinity,
  bool hasKey = false;                // if it has one
  std::uint32_t maxAttempts = kNone;  // from 1 on, beside Settings::maxAttempts
};

}  // namespace cairnjunction::policy
