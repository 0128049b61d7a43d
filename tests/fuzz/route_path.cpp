// Fuzz target: the canonical path. What is taken is its own canonical form, also after the wire.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "route/path.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cairnjunction::route;
  const std::string_view target(reinterpret_cast<const char*>(data), size);
  for (const bool merge : {true, false}) {
    const CanonicalPath once = canonical(target, merge);
    if (!once.good()) continue;
    const CanonicalPath again = canonical(encoded(once.path), merge);
    if (!again.good() || again.path != once.path) std::abort();
    if ((once.path + "/").find("/../") != std::string::npos) std::abort();
  }
  return 0;
}
