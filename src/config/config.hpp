// The configuration of the gateway, read at its start and by SIGHUP: GW_* variables and a JSON file, as typed
// settings.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "cairnjunction/load_balancer.hpp"
#include "config/bad_config.hpp"
#include "config/config_shape.hpp"
#include "discovery/endpoint_list.hpp"

namespace cairnjunction {

using tcp = boost::asio::ip::tcp;

struct Config {
  std::string name;                   // of this gateway; may be empty
  tcp::endpoint listen;               // for clients
  tcp::endpoint discovery;            // where lists of endpoints come from
  std::optional<tcp::endpoint> mgmt;  // of the admin server; absent: none
  int acceptFd = -1;                  // the clients' listener, if it was inherited; else -1
  std::size_t sockets = 1024;         // file descriptors that the process may hold; at least 64
  std::size_t memoryMb = 192;         // beyond it the process is killed
  policy::Duration connectTimeout{};  // for a new connection to an endpoint
  policy::Settings module;            // of the decision module, which has accepted them
  std::optional<EndpointList> known;  // the list as last held; may be old
  ConfigShape shape;                  // of the file
};

using Environment = std::function<const char*(const char*)>;  // as getenv

// Which of a variable and the file's entry counts.
enum class Reading {
  atStart,  // the variable, if it is set
  again  // the file's entry, if it is there: a running process keeps the variables that it was started with,
         // so the file is the newer word
};

// Reads the file that GW_CONFIG names. Throws BadConfig.
Config readConfig(const Environment& environment, Reading reading = Reading::atStart);
// Reads a file's content. Throws BadConfig.
Config parseConfig(const nlohmann::json& document, const Environment& environment,
                   Reading reading = Reading::atStart);

}  // namespace cairnjunction
