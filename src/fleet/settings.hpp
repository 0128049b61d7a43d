// The fleet file (TOML): coordinators, tasks with a lease holder, and the settings of a member. Coordinators
// and gateways read the same file. Only settings.cpp maps the file's keys, listed in docs/operators/fleet.md,
// to the names used in the code.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_assigner.hpp"
#include "toml/reader.hpp"

namespace cairnjunction::fleet {

// The message names the file, the line, what was found and what was expected.
using BadSettings = toml::BadFile;

struct CoordinatorAddress {
  int number = 0;                          // from 1; permanently assigned to one coordinator
  boost::asio::ip::tcp::endpoint address;  // for members, and for the handshake between coordinators
  std::string raft;                        // address for the replicated log, as IPv4 address:port
};

struct Settings {
  std::string fleet;          // the fleet's name, 1 to lease::kMaxNameBytes
  std::uint32_t members = 1;  // expected number of members; a member uses it until it has joined
  std::chrono::milliseconds heartbeatInterval{1000};  // between a member's heartbeats
  // A member without a response from a leader for this long is isolated. At least three heartbeat intervals.
  std::chrono::milliseconds isolatedAfter{3000};
  // How long a new leader waits for members to join before it grants leases.
  std::chrono::milliseconds leaderSettleTime{1000};
  // A coordinator that has no contact with the leader for this long, or up to twice as long, starts an
  // election.
  std::chrono::milliseconds electionTimeout{1000};
  std::vector<CoordinatorAddress> coordinators;  // 1, 3 or 5, with unique numbers and addresses
  std::vector<lease::TaskSpec> tasks;            // with unique names

  // Settings of the member, from the file's section [member].
  std::string zone;      // may be empty
  bool eligible = true;  // whether it may be granted leases
  std::string disk;      // folder for its fencing marks; if empty they are not stored
  std::string log;       // file for its event log; if empty, standard error

  // These return null if there is none of this number or name.
  const CoordinatorAddress* coordinator(int number) const;
  const lease::TaskSpec* taskSpec(const std::string& task) const;
};

// Reads the file at `path`. Throws BadSettings if it can't be read or is invalid.
Settings readSettings(const std::string& path);
// Parses the file's text; `name` is the file's name in errors. Throws BadSettings.
Settings parseSettings(const std::string& text, const std::string& name);

}  // namespace cairnjunction::fleet
