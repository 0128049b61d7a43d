// Arithmetic on durations, hashes and samples, with the same results on every machine.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// `duration` times `factor`, rounded towards zero to whole nanoseconds.
inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Mixes the bits of a number with the finalizer of splitmix64.
inline std::uint64_t mix(std::uint64_t bits) {
  bits += 0x9e3779b97f4a7c15ULL;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31U);
}

// FNV-1a followed by mix(). Every gateway computes the same value for a text.
inline std::uint64_t hashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char each : text) hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001b3ULL;
  return mix(hash);
}

// The quantile of the values at `fraction`, from 0 to 1; `ifEmpty` without values. Reorders the values.
inline double quantile(std::vector<double>& values, double fraction, double ifEmpty) {
  if (values.empty()) return ifEmpty;
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace cairnjunction::policy
