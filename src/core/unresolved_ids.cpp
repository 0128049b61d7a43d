#include "core/unresolved_ids.hpp"

#include <chrono>
#include <functional>

namespace cairnjunction {
namespace {

// Longer than any client waits before it sends a request again.
constexpr policy::Duration kUnresolvedIdDuration = std::chrono::seconds(60);
constexpr std::size_t kMaxUnresolvedIds = 16384;

}  // namespace

void UnresolvedIds::add(policy::Timestamp now, std::string_view externalId) {
  removeExpired(now);
  const std::size_t hash = std::hash<std::string_view>{}(externalId);
  if (!hashes_.insert(hash).second) return;
  entries_.push_back({hash, now});
  if (entries_.size() > kMaxUnresolvedIds) removeOldest();
}

bool UnresolvedIds::contains(policy::Timestamp now, std::string_view externalId) {
  removeExpired(now);
  return !hashes_.empty() && hashes_.contains(std::hash<std::string_view>{}(externalId));
}

void UnresolvedIds::removeOldest() {
  hashes_.erase(entries_.front().hash);
  entries_.pop_front();
}

void UnresolvedIds::removeExpired(policy::Timestamp now) {
  while (!entries_.empty() && now - entries_.front().addedAt >= kUnresolvedIdDuration) removeOldest();
}

}  // namespace cairnjunction
