#include "discovery/endpoint_list.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cairnjunction {

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

EndpointList parseEndpointList(const nlohmann::json& json) {
  try {
    EndpointList list;
    list.version = json.at("rev").get<std::int64_t>();
    list.full = json.value("all", false);
    for (const auto& target : json.at("targets")) {
      DiscoveredEndpoint host;
      host.uid = target.at("uid").get<std::string>();
      if (host.uid.empty()) throw std::invalid_argument("a host has no uid");
      const auto state = target.at("state").get<std::string>();
      if (state == "SERVING") host.state = DiscoveredState::serving;
      else if (state == "DRAINING") host.state = DiscoveredState::draining;
      else if (state == "DELETED") host.state = DiscoveredState::gone;
      else throw std::invalid_argument("unknown state '" + state + "'");
      // One that is gone needs no address.
      if (host.state != DiscoveredState::gone || target.contains("endpoint"))
        host.endpoint = parseEndpoint(target.at("endpoint").get<std::string>());
      host.zone = target.value("az", std::string());
      host.machineKind = target.value("model", std::string());
      host.cell = target.value("pod_group", std::int64_t{0});
      host.weight = target.value("capacity_hint", 1.0);
      host.bootMs = target.value("boot_ms", std::int64_t{0});
      list.endpoints.push_back(std::move(host));
    }
    return list;
  } catch (const nlohmann::json::exception& bad) {
    throw std::invalid_argument(std::string("host list: ") + bad.what());
  }
}

nlohmann::json toJson(const EndpointList& list) {
  nlohmann::json targets = nlohmann::json::array();
  for (const DiscoveredEndpoint& host : list.endpoints)
    targets.push_back({{"uid", host.uid},
                       {"endpoint", textOf(host.endpoint)},
                       {"az", host.zone},
                       {"model", host.machineKind},
                       {"pod_group", host.cell},
                       {"state", host.state == DiscoveredState::serving    ? "SERVING"
                                 : host.state == DiscoveredState::draining ? "DRAINING"
                                                                           : "DELETED"},
                       {"capacity_hint", host.weight},
                       {"boot_ms", host.bootMs}});
  return {{"rev", list.version}, {"all", list.full}, {"targets", std::move(targets)}};
}

}  // namespace cairnjunction
