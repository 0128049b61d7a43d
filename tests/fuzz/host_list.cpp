// Fuzz target: a list of hosts, as discovery sends it. Nonsense is an exception of one type and nothing else.
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "discovery/endpoint_list.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto json =
      nlohmann::json::parse(std::string(reinterpret_cast<const char*>(data), size), nullptr, false);
  if (json.is_discarded()) return 0;
  try {
    cairnjunction::parseEndpointList(json);
  } catch (const std::invalid_argument&) {
  }
  return 0;
}
