// Pure helpers on times, hashes and samples; the same on every machine.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration scaled(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64 finisher
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hashText(std::string_view text) {  // FNV-1a: the same at every gateway
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

inline bool names(const std::optional<std::vector<std::string>>& list, const std::string& name) {
  return !list || std::find(list->begin(), list->end(), name) != list->end();
}

inline double quantile(std::vector<double>& v, double at, double none) {
  if (v.empty()) return none;
  const auto nth = v.begin() + static_cast<std::ptrdiff_t>(at * static_cast<double>(v.size() - 1));
  std::nth_element(v.begin(), nth, v.end());
  return *nth;
}

}  // namespace cairnjunction::policy
