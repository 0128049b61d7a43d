// The fleet file (TOML): the coordinators, the tasks that have a lease holder, and what a member is. One file
// serves coordinators and gateways. The names of its keys are mapped to those of the code in settings.cpp
// alone (docs/operators/fleet.md lists them).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_assigner.hpp"
#include "toml/reader.hpp"

namespace cairnjunction::fleet {

// With file, line, what was found and what was expected.
using BadSettings = toml::BadFile;

struct CoordinatorAddress {
  int number = 0;                          // from 1; one coordinator has it for good
  boost::asio::ip::tcp::endpoint address;  // for members, and for the handshake between coordinators
  std::string raft;                        // for the replicated log; IPv4 address:port
};

struct Settings {
  std::string fleet;                                  // name; 1 to lease::kNameMost bytes
  std::uint32_t members = 1;                          // expected; a member's count until it has joined
  std::chrono::milliseconds heartbeatInterval{1000};  // between a member's heartbeats
  // A member that has had no answer from a leader for this long is isolated. At least three heartbeats.
  std::chrono::milliseconds isolatedAfter{3000};
  // A new leader waits so long for members to join before it grants.
  std::chrono::milliseconds leaderSettleTime{1000};
  // Coordinators that don't hear from the leader for so long, or up to twice that, elect another.
  std::chrono::milliseconds electionTimeout{1000};
  std::vector<CoordinatorAddress> coordinators;  // 1, 3 or 5, with different numbers and addresses
  std::vector<lease::TaskSpec> tasks;            // with different names

  // Of this member, by the section for it.
  std::string zone;      // may be empty
  bool eligible = true;  // to be granted leases
  std::string disk;      // folder for its fencing marks; empty: they are not stored
  std::string log;       // file for its event log; empty: standard error

  // Null if there is none.
  const CoordinatorAddress* coordinator(int number) const;
  const lease::TaskSpec* taskSpec(const std::string& task) const;
};

// Throws BadSettings.
Settings readSettings(const std::string& path);
// `name` stands for the file in errors.
Settings parseSettings(const std::string& text, const std::string& name);

}  // namespace cairnjunction::fleet
