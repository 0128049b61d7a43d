// Frames of the fleet: whatever is read, is written and read again as the same.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleet/frame.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cairnjunction::fleet;
  try {
    const Message message = decode({reinterpret_cast<const char*>(data), size});
    const SharedFrame again = encode(message);
    if (*encode(decode(std::string_view(*again).substr(4))) != *again) std::abort();
  } catch (const BadFrame&) {
  }
  return 0;
}
