// What the gateway is told, at its start and by SIGHUP: GW_* variables and the JSON file, as typed settings.
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

// The keys of a file's objects, as paths with '/' between them, in order, and of its classes those that all
// of them have. Without what may come and go: the known hosts and the seed.
using ConfigShape = std::vector<std::string>;

struct Config {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> mgmt;  // the operators' door; absent: none
  int acceptFd = -1;                  // of the clients' listener, if it was inherited
  std::size_t sockets = 1024;         // file descriptors that the process may hold
  std::size_t memoryMb = 192;         // beyond it the process is killed
  policy::Duration connectTimeout{};  // for a new connection to a host
  policy::Settings module;            // for the decisions
  std::optional<EndpointList> known;  // hosts as last had; may be old
  ConfigShape shape;                  // of the file
};

using Environment = std::function<const char*(const char*)>;  // as getenv

// At a start the variables go before the file's entries. A running process keeps the variables that it was
// started with, so when the file is read again, what stands in it is the newer word.
enum class Reading { atStart, again };

// Throws BadConfig that names a key of the file in force which the next one lacks: it would fall back to a
// default that nobody wrote.
void requireShape(const ConfigShape& inForce, const ConfigShape& next);

// Both throw BadConfig with one line that says what is wrong.
Config readConfig(const Environment& environment, Reading reading = Reading::atStart);
Config parseConfig(const nlohmann::json& json, const Environment& environment,
                   Reading reading = Reading::atStart);

}  // namespace cairnjunction
