#include "policy/endpoint_list_poller.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr Duration kInitialPollBackoff =
    std::chrono::milliseconds(500);  // doubled with each consecutive failure, including the first
constexpr int kMaxPollBackoffDoublings = 4;
// A change counts as notified 6 s after discovery is back at the latest: a call that fails then, the longest
// pause (one and a half times this) and the next call fit in.
constexpr Duration kMaxPollBackoff = std::chrono::seconds(2);

}  // namespace

void EndpointListPoller::onList(EndpointListKind kind, Timestamp now) {
  if (kind == EndpointListKind::restored) {
    if (settings_.pollDiscovery) nextPollAt_ = now;
    return;
  }
  consecutiveFailures_ = 0;
  listReceived_ = true;
}

void EndpointListPoller::onUnavailable(Timestamp now, Random& random) {
  consecutiveFailures_ = std::min(consecutiveFailures_ + 1, kMaxPollBackoffDoublings);
  pollStarted_ = false;
  Duration wait = std::min(kInitialPollBackoff * (1 << consecutiveFailures_), kMaxPollBackoff);
  // The limit applies before the jitter; applied after it, all gateways would poll at the same time.
  if (settings_.maxPollInterval > Duration{}) wait = std::min(wait, settings_.maxPollInterval / 5);
  nextPollAt_ = now + scaled(wait, 0.5 + random.unit());
}

bool EndpointListPoller::startPollIfDue(Timestamp now) {
  if (!settings_.pollDiscovery || now < nextPollAt_) return false;
  // Without this, a lost answer would leave this gateway without lists permanently.
  const bool lost = !listReceived_ && settings_.maxPollInterval > Duration{} &&
                    now - pollStartedAt_ > settings_.maxPollInterval / 2;
  if (pollStarted_ && !lost) return false;
  pollStarted_ = true;
  listReceived_ = false;
  pollStartedAt_ = now;
  return true;
}

}  // namespace cairnjunction::policy
