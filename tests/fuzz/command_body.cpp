// Fuzz target: the bodies of commands of other members. Nonsense is an exception of one type and nothing
// else.
#include <cstdint>
#include <string_view>

#include "app/command_bodies.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  try {
    const cairnjunction::ProbeReport report = cairnjunction::parseProbeReport(body);
    if (cairnjunction::parseProbeReport(cairnjunction::encode(report)) != report) __builtin_trap();
  } catch (const cairnjunction::InvalidCommandBody&) {
  }
  try {
    cairnjunction::parseEndpointListMessage(body);
  } catch (const cairnjunction::InvalidCommandBody&) {
  }
  return 0;
}
