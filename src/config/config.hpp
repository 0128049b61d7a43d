// The gateway's configuration as typed settings, read from GW_* environment variables and a JSON file at the
// start and again at SIGHUP.
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
  tcp::endpoint listen;               // address for clients
  tcp::endpoint discovery;            // address of the server that sends endpoint lists
  std::optional<tcp::endpoint> mgmt;  // address of the admin server; empty: no admin server
  int acceptFd = -1;                  // file descriptor of an inherited listener for clients; -1: none
  std::size_t sockets = 1024;         // limit of the process's open file descriptors; at least 64
  std::size_t memoryMb = 192;         // memory above which the process is killed, in MB
  policy::Duration connectTimeout{};  // for a new connection to an endpoint
  policy::Settings module;            // of the decision module, which has validated them
  std::optional<EndpointList> known;  // the last known endpoint list; may be outdated
  ConfigShape shape;                  // the keys of the file
};

// Returns the value of an environment variable, or null if it is not set, as getenv does.
using Environment = std::function<const char*(const char*)>;

// Which takes precedence if both a variable and the file's entry are set.
enum class Reading {
  atStart,  // the variable
  again     // the file's entry: a running process keeps the variables from its start, so the file is newer
};

// Reads the file whose path is in GW_CONFIG. Throws BadConfig.
Config readConfig(const Environment& environment, Reading reading = Reading::atStart);
// Reads the parsed content of such a file. Throws BadConfig.
Config parseConfig(const nlohmann::json& document, const Environment& environment,
                   Reading reading = Reading::atStart);

}  // namespace cairnjunction
