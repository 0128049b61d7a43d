// A list of hosts in discovery's form, as it comes from discovery and in the configuration.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cairnjunction {

enum class DiscoveredState { serving, draining, gone };

struct DiscoveredEndpoint {
  std::string uid;  // the same at every gateway, unlike the endpoint
  boost::asio::ip::tcp::endpoint endpoint;
  std::string zone, machineKind;
  std::int64_t cell = 0;
  DiscoveredState state = DiscoveredState::serving;
  double weight = 1;
  std::int64_t bootMs = 0;  // Unix time; 0 = long ago
};

struct EndpointList {
  std::int64_t version = 0;
  bool full = false;  // what is missing is gone; else changes only
  std::vector<DiscoveredEndpoint> endpoints;
};

nlohmann::json toJson(const EndpointList& list);  // in discovery's form, as parseHostList reads it

// Both throw std::invalid_argument on nonsense.
EndpointList parseEndpointList(const nlohmann::json& json);
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);  // "127.0.0.1:8080"
std::string textOf(const boost::asio::ip::tcp::endpoint& at);         // and back

}  // namespace cairnjunction
