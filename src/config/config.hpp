// The gateway's configuration as typed settings, from GW_* variables and the JSON file; read at the start and
// on SIGHUP.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "discovery/endpoint_list.hpp"

namespace cairnjunction {

using tcp = boost::asio::ip::tcp;

struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The sorted keys of a file's objects, as paths separated by '/'; of its classes, the keys that all of them
// have. Optional parts, the known endpoints and the seed, are left out.
using ConfigShape = std::vector<std::string>;

struct Config {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> mgmt;  // admin server; absent: none
  int acceptFd = -1;                  // descriptor of the clients' listener, if inherited; below 0: none
  std::size_t sockets = 1024;         // file descriptors that the process may hold
  std::size_t memoryMb = 192;         // beyond it the platform kills the process
  policy::Duration connectTimeout{};  // for a new connection to an endpoint
  policy::Settings module;            // of the load balancer
  std::optional<EndpointList> known;  // last known endpoints; may be stale
  ConfigShape shape;                  // of the file
};

using Environment = std::function<const char*(const char*)>;  // as getenv

// At a start, environment variables override the file. A running process keeps the variables it was started
// with, so when the file is read again it is newer and overrides them.
enum class Reading { atStart, again };

// Throws BadConfig, with the key, if the file in force has a key that the next one lacks: that setting would
// silently fall back to its default.
void requireShape(const ConfigShape& inForce, const ConfigShape& next);

// Both throw BadConfig with one line that says what is wrong.
Config readConfig(const Environment& environment, Reading reading = Reading::atStart);
Config parseConfig(const nlohmann::json& json, const Environment& environment,
                   Reading reading = Reading::atStart);

}  // namespace cairnjunction
