// A hash of names that is the same in each process and build, unlike std::hash: who is picked and which shard
// a name belongs to must not depend on who computes it. FNV-1a; its users fold its high bits in.
#pragma once

#include <cstdint>
#include <string_view>

namespace cairnjunction::lease {

inline std::uint64_t stableHash(std::string_view text, std::uint64_t salt = 0) {
  std::uint64_t h = 1469598103934665603ull ^ salt;
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ull;
  return h;
}

}  // namespace cairnjunction::lease
