// The endpoint list in discovery's JSON format, which discovery sends and the configuration file contains.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "common/json_field_error.hpp"

namespace cairnjunction {

enum class DiscoveredState {
  serving,   // accepts requests
  draining,  // finishes its requests in flight, accepts no new ones
  gone       // no longer exists; its address may be missing
};

struct DiscoveredEndpoint {
  std::string uid;  // never empty; the same at every gateway, unlike the address
  boost::asio::ip::tcp::endpoint endpoint;
  std::string zone;         // empty if not given
  std::string machineKind;  // empty if not given
  std::int64_t cell = 0;
  DiscoveredState state = DiscoveredState::serving;
  double weight = 1;        // relative capacity
  std::int64_t bootMs = 0;  // start of its process, Unix time in milliseconds; 0: long ago
};

struct EndpointList {
  std::int64_t version = 0;  // assigned by the server that sent the list
  bool full = false;         // true: an endpoint that is not listed no longer exists; false: changes only
  std::vector<DiscoveredEndpoint> endpoints;
};

// A list that cannot be parsed: the field, what was expected there, and what was found.
class EndpointListError : public std::invalid_argument {
 public:
  explicit EndpointListError(const JsonFieldError& error);

  const std::string& field() const { return error_.field(); }  // "targets[2].state"; empty: the document
  const std::string& expected() const { return error_.expected(); }
  const std::string& found() const { return error_.found(); }

 private:
  JsonFieldError error_;
};

// Parses discovery's format; unknown fields are ignored. Throws EndpointListError.
EndpointList parseEndpointList(const nlohmann::json& document);
// Writes the format that parseEndpointList() reads.
nlohmann::json toJson(const EndpointList& list);

// Parses an IP address and a port, such as "127.0.0.1:8080". Throws std::invalid_argument on anything else.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);
// Writes the format that parseEndpoint() reads.
std::string textOf(const boost::asio::ip::tcp::endpoint& at);

}  // namespace cairnjunction
