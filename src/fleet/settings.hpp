// The fleet file (TOML): keepers, duties, and what a member is. The same file serves keepers and gateways.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "duty/picker.hpp"
#include "tomlfile/reader.hpp"

namespace cairnjunction::fleet {

using BadSettings = tomlfile::BadFile;

struct KeeperAddress {
  int number = 0;
  boost::asio::ip::tcp::endpoint address;  // members and keepers greet each other there
  std::string raft;                        // the keepers' own log; IPv4 address:port
};

struct Settings {
  std::string fleet;
  std::uint32_t members = 1;                   // as many as are expected
  std::chrono::milliseconds beat{1000};        // a member's word to its keeper
  std::chrono::milliseconds aloneAfter{3000};  // with no keeper's word for so long it is on its own
  std::chrono::milliseconds settle{1000};      // a new leader waits so long for members before it grants
  std::chrono::milliseconds election{1000};  // keepers without their leader's word for so long choose another
  std::vector<KeeperAddress> keepers;        // 1, 3 or 5
  std::vector<duty::Spec> duties;

  // [member], of a gateway.
  std::string zone;
  bool willing = true;  // to own duties
  std::string disk;     // folder for what its fence has seen; empty: none
  std::string log;      // file for structured lines; empty: standard error

  const KeeperAddress* keeper(int number) const;
  const duty::Spec* spec(const std::string& duty) const;
};

// Throws BadSettings with file, line and what was expected.
Settings readSettings(const std::string& path);
Settings parseSettings(const std::string& text, const std::string& name);

}  // namespace cairnjunction::fleet
