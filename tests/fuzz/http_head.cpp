// Fuzz target: a message's head of HTTP, in one piece and byte by byte: the verdict must be the same.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "http/framing.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using cairnjunction::HeadScanner;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const auto kind : {HeadScanner::Kind::request, HeadScanner::Kind::answer}) {
    HeadScanner whole(kind), pieces(kind);
    const auto verdict = whole.scan(text);
    auto last = HeadScanner::State::more;
    for (std::size_t n = 1; n <= size && last == HeadScanner::State::more; ++n)
      last = pieces.scan(text.substr(0, n));
    if (size > 0 && last != verdict) std::abort();
  }
  return 0;
}
