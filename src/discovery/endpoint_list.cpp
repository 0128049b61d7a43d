#include "discovery/endpoint_list.hpp"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/json_object_reader.hpp"
#include "discovery/wire_names.hpp"

namespace cairnjunction {
namespace {

namespace wire = discovery_wire;
using nlohmann::json;

struct StateName {
  DiscoveredState state;
  const char* name;
};
constexpr std::array<StateName, 3> kStateNames{{{DiscoveredState::serving, wire::kServing},
                                                {DiscoveredState::draining, wire::kDraining},
                                                {DiscoveredState::gone, wire::kDeleted}}};

std::optional<DiscoveredState> parseState(const std::string& name) {
  for (const StateName& entry : kStateNames)
    if (name == entry.name) return entry.state;
  return std::nullopt;
}

const char* stateName(DiscoveredState state) {
  for (const StateName& entry : kStateNames)
    if (state == entry.state) return entry.name;
  return wire::kDeleted;
}

// A start time in milliseconds beyond this does not fit into the nanoseconds of the load balancer's clock.
constexpr std::int64_t kMaxBootMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::nanoseconds::max()).count() / 2;

DiscoveredEndpoint parseDiscoveredEndpoint(const json& object, const std::string& path) {
  const JsonObjectReader reader(object, path);
  DiscoveredEndpoint result;
  result.uid = reader.nonEmptyText(wire::kUid);
  const auto state = parseState(reader.text(wire::kState));
  if (!state) throw reader.error(wire::kState, "SERVING, DRAINING or DELETED");
  result.state = *state;
  // An endpoint that no longer exists needs no address.
  if (result.state != DiscoveredState::gone || reader.has(wire::kAddress)) {
    const auto address = reader.text(wire::kAddress);
    try {
      result.endpoint = parseEndpoint(address);
    } catch (const std::invalid_argument&) {
      throw reader.error(wire::kAddress, "address:port");
    }
  }
  result.zone = reader.text(wire::kZone, "");
  result.machineKind = reader.text(wire::kMachineKind, "");
  result.cell = reader.integer(wire::kCell, {}, 0);
  result.weight = reader.number(wire::kWeight, 1.0);
  result.bootMs = reader.integer(wire::kBootMs, {-kMaxBootMs, kMaxBootMs}, 0);
  return result;
}

EndpointList parseList(const json& document) {
  const JsonObjectReader reader(document, "");
  EndpointList list;
  list.version = reader.integer(wire::kVersion, {});
  list.full = reader.flag(wire::kFull, false);
  for (const auto& object : reader.array(wire::kEndpoints)) {
    const std::string path = reader.pathOfEntry(wire::kEndpoints, list.endpoints.size());
    list.endpoints.push_back(parseDiscoveredEndpoint(object, path));
  }
  return list;
}

json toJson(const DiscoveredEndpoint& endpoint) {
  return {{wire::kUid, endpoint.uid},       {wire::kAddress, textOf(endpoint.endpoint)},
          {wire::kZone, endpoint.zone},     {wire::kMachineKind, endpoint.machineKind},
          {wire::kCell, endpoint.cell},     {wire::kState, stateName(endpoint.state)},
          {wire::kWeight, endpoint.weight}, {wire::kBootMs, endpoint.bootMs}};
}

}  // namespace

EndpointListError::EndpointListError(const JsonFieldError& error)
    : std::invalid_argument(std::string("host list: ") + error.what()), error_(error) {}

EndpointList parseEndpointList(const json& document) {
  try {
    return parseList(document);
  } catch (const JsonFieldError& error) {
    throw EndpointListError(error);
  }
}

nlohmann::json toJson(const EndpointList& list) {
  json endpoints = json::array();
  for (const DiscoveredEndpoint& endpoint : list.endpoints) endpoints.push_back(toJson(endpoint));
  return {{wire::kVersion, list.version}, {wire::kFull, list.full}, {wire::kEndpoints, std::move(endpoints)}};
}

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    throw std::invalid_argument("'" + std::string(text) + "' is no address:port");
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  unsigned short port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc{} || end != last)
    throw std::invalid_argument("'" + std::string(text) + "' is no address:port");
  return {address, port};
}

std::string textOf(const boost::asio::ip::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

}  // namespace cairnjunction
