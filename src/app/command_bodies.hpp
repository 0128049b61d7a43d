// What lease holders of the fleet's tasks tell the other members: the bodies of their commands. Each body is
// parsed here, whole, before anything of it is used. The names of the fields are mapped here alone.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_list.hpp"
#include "fleet/endpoint_list_filter.hpp"

namespace cairnjunction {

// Entries of each kind in a ProbeReport, which is about one shard.
inline constexpr std::size_t kMaxReportedEndpoints = 4096;
// The longest age of a recovery in a ProbeReport.
inline constexpr std::chrono::milliseconds kMaxRecoveryAge = std::chrono::hours(24 * 365);

// A body that is not a valid message of its task. The text names what was found and what was expected.
struct InvalidCommandBody : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

// Of the task `probe`: what the holder of a shard found when it probed the shard's endpoints.
struct ProbeReport {
  struct Recovery {
    std::string uid;
    std::chrono::milliseconds age{};  // since the endpoint became reachable; 0 to kMaxRecoveryAge
    bool operator==(const Recovery&) const = default;
  };
  std::vector<std::string> unreachable;  // uids
  std::vector<Recovery> recovered;
  bool operator==(const ProbeReport&) const = default;
};

// Of the task `list`: the endpoint list that its holder has from discovery.
struct EndpointListMessage {
  EndpointList list;                   // always full
  fleet::EndpointListVersion version;  // its number is the list's
};

std::string encode(const ProbeReport& report);
std::string encode(const EndpointListMessage& message);

// Unknown fields are ignored. Both throw InvalidCommandBody, and nothing else.
ProbeReport parseProbeReport(std::string_view body);
EndpointListMessage parseEndpointListMessage(std::string_view body);

}  // namespace cairnjunction
