// The requests of operators to a coordinator's admin socket. The names of requests and their fields are those
// of the socket, and mapped here alone.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <variant>

#include "lease/lease.hpp"

namespace cairnjunction::fleet {

struct StatusRequest {};
struct LeasesRequest {};
struct TransferRequest {
  lease::LeaseKey key;
};
using AdminRequest = std::variant<StatusRequest, LeasesRequest, TransferRequest>;

// A request that is none of these. The text says what was found and what was expected.
struct InvalidAdminRequest : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

// Throws InvalidAdminRequest, and nothing else.
AdminRequest parseAdminRequest(const nlohmann::json& request);

}  // namespace cairnjunction::fleet
