#include "discovery/endpoint_list.hpp"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

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

// The text of a value in an error message. Arrays and objects may be of any size, so only their type is
// given.
std::string describe(const json& value) {
  if (value.is_structured()) return value.type_name();
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string describe(const json& object, const char* field) {
  if (!object.is_object()) return describe(object);
  const auto it = object.find(field);
  return it == object.end() ? "nothing" : describe(*it);
}

// Reads the fields of the JSON object at `path` of a document. Its methods throw EndpointListError for a
// field that is missing or has the wrong type.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path) : object_(object), path_(std::move(path)) {}

  template <class Value>
  Value requiredField(const char* field, const char* expected) const {
    try {
      return object_.at(field).get<Value>();
    } catch (const json::exception&) {
      throw error(field, expected);
    }
  }

  template <class Value>
  Value optionalField(const char* field, const Value& defaultValue, const char* expected) const {
    try {
      return object_.value(field, defaultValue);
    } catch (const json::exception&) {
      throw error(field, expected);
    }
  }

  EndpointListError error(const char* field, const char* expected) const {
    return {path_.empty() ? field : path_ + "." + field, expected, describe(object_, field)};
  }

 private:
  const json& object_;
  std::string path_;  // empty: the document itself
};

DiscoveredEndpoint parseDiscoveredEndpoint(const json& object, const std::string& path) {
  const ObjectReader reader(object, path);
  DiscoveredEndpoint result;
  result.uid = reader.requiredField<std::string>(wire::kUid, "a text");
  if (result.uid.empty()) throw reader.error(wire::kUid, "a text that is not empty");
  const auto state = parseState(reader.requiredField<std::string>(wire::kState, "a text"));
  if (!state) throw reader.error(wire::kState, "SERVING, DRAINING or DELETED");
  result.state = *state;
  // An endpoint that no longer exists needs no address.
  if (result.state != DiscoveredState::gone || object.contains(wire::kAddress)) {
    const auto address = reader.requiredField<std::string>(wire::kAddress, "a text");
    try {
      result.endpoint = parseEndpoint(address);
    } catch (const std::invalid_argument&) {
      throw reader.error(wire::kAddress, "address:port");
    }
  }
  result.zone = reader.optionalField(wire::kZone, std::string(), "a text");
  result.machineKind = reader.optionalField(wire::kMachineKind, std::string(), "a text");
  result.cell = reader.optionalField(wire::kCell, std::int64_t{0}, "a number");
  result.weight = reader.optionalField(wire::kWeight, 1.0, "a number");
  result.bootMs = reader.optionalField(wire::kBootMs, std::int64_t{0}, "a number");
  return result;
}

json toJson(const DiscoveredEndpoint& endpoint) {
  return {{wire::kUid, endpoint.uid},       {wire::kAddress, textOf(endpoint.endpoint)},
          {wire::kZone, endpoint.zone},     {wire::kMachineKind, endpoint.machineKind},
          {wire::kCell, endpoint.cell},     {wire::kState, stateName(endpoint.state)},
          {wire::kWeight, endpoint.weight}, {wire::kBootMs, endpoint.bootMs}};
}

}  // namespace

EndpointListError::EndpointListError(std::string field, std::string expected, std::string found)
    : std::invalid_argument("host list: " + (field.empty() ? "" : field + ": ") + "expected " + expected +
                            ", found " + found),
      field_(std::move(field)),
      expected_(std::move(expected)),
      found_(std::move(found)) {}

EndpointList parseEndpointList(const json& document) {
  const ObjectReader reader(document, "");
  EndpointList list;
  list.version = reader.requiredField<std::int64_t>(wire::kVersion, "a number");
  list.full = reader.optionalField(wire::kFull, false, "true or false");
  if (!document.contains(wire::kEndpoints)) throw reader.error(wire::kEndpoints, "an array");
  for (const auto& object : document.at(wire::kEndpoints)) {
    const std::string path =
        std::string(wire::kEndpoints) + "[" + std::to_string(list.endpoints.size()) + "]";
    list.endpoints.push_back(parseDiscoveredEndpoint(object, path));
  }
  return list;
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
