// The fleet file (TOML): keepers, duties, and what a member is. The same file serves keepers and gateways.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_assigner.hpp"
#include "toml/reader.hpp"

namespace cairnjunction::fleet {

using BadSettings = toml::BadFile;

struct CoordinatorAddress {
  int number = 0;
  boost::asio::ip::tcp::endpoint address;  // members and keepers greet each other there
  std::string raft;                        // the keepers' own log; IPv4 address:port
};

struct Settings {
  std::string fleet;
  std::uint32_t members = 1;                          // as many as are expected
  std::chrono::milliseconds heartbeatInterval{1000};  // a member's word to its keeper
  std::chrono::milliseconds isolatedAfter{3000};      // with no keeper's word for so long it is on its own
  std::chrono::milliseconds leaderSettleTime{
      1000};  // a new leader waits so long for members before it grants
  std::chrono::milliseconds electionTimeout{
      1000};  // keepers without their leader's word for so long choose another
  std::vector<CoordinatorAddress> coordinators;  // 1, 3 or 5
  std::vector<lease::TaskSpec> tasks;

  // [member], of a gateway.
  std::string zone;
  bool eligible = true;  // to own duties
  std::string disk;      // folder for what its fence has seen; empty: none
  std::string log;       // file for structured lines; empty: standard error

  const CoordinatorAddress* coordinator(int number) const;
  const lease::TaskSpec* taskSpec(const std::string& duty) const;
};

// Throws BadSettings with file, line and what was expected.
Settings readSettings(const std::string& path);
Settings parseSettings(const std::string& text, const std::string& name);

}  // namespace cairnjunction::fleet
