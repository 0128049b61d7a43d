// A list of endpoints in discovery's form, as it comes from discovery and stands in the configuration.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cairnjunction {

enum class DiscoveredState {
  serving,   // takes requests
  draining,  // finishes what it has, takes nothing new
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
  std::int64_t bootMs = 0;  // start of its process in Unix time; 0 = long ago
};

struct EndpointList {
  std::int64_t version = 0;  // counted by the server that the list comes from
  bool full = false;         // true: an endpoint that is not named is gone; false: changes only
  std::vector<DiscoveredEndpoint> endpoints;
};

// A list that can't be read: which field, what was expected there and what was found.
class EndpointListError : public std::invalid_argument {
 public:
  EndpointListError(std::string field, std::string expected, std::string found);

  const std::string& field() const { return field_; }  // "targets[2].state"; empty: the document itself
  const std::string& expected() const { return expected_; }
  const std::string& found() const { return found_; }

 private:
  std::string field_;
  std::string expected_;
  std::string found_;
};

// Reads discovery's form; fields that it does not know are ignored. Throws EndpointListError.
EndpointList parseEndpointList(const nlohmann::json& document);
// Writes the form that parseEndpointList() reads.
nlohmann::json toJson(const EndpointList& list);

// Reads "127.0.0.1:8080"; throws std::invalid_argument on anything else.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);
// Writes the form that parseEndpoint() reads.
std::string textOf(const boost::asio::ip::tcp::endpoint& at);

}  // namespace cairnjunction
