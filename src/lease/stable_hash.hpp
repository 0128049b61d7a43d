// A hash of names that is the same in each process and build, unlike std::hash: to whom a lease is granted
// and to which shard a name belongs must not depend on the process that computes it. FNV-1a, with an
// offset basis other than the standard one. Callers that use the low bits mix the high bits into them.
#pragma once

#include <cstdint>
#include <string_view>

namespace cairnjunction::lease {

inline std::uint64_t stableHash(std::string_view text, std::uint64_t salt = 0) {
  constexpr std::uint64_t offsetBasis = 1469598103934665603ULL;
  constexpr std::uint64_t prime = 1099511628211ULL;
  std::uint64_t hash = offsetBasis ^ salt;
  for (const char byte : text) hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
  return hash;
}

}  // namespace cairnjunction::lease
