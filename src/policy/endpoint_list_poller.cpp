#include "policy/endpoint_list_poller.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr Duration kPollBackoff = std::chrono::milliseconds(500);  // doubled with each failure in a row,
constexpr int kPollBackoffDoublings = 4;                           // up to so often

}  // namespace

void EndpointListPoller::onList(EndpointListKind kind, Timestamp now) {
  if (kind == EndpointListKind::restored) {
    if (settings_.pollDiscovery) pollAgainAt_ = now;
    return;
  }
  failures_ = 0;
  answered_ = true;
}

void EndpointListPoller::onUnavailable(Timestamp now, Random& random) {
  failures_ = std::min(failures_ + 1, kPollBackoffDoublings);
  polling_ = false;
  Duration wait = kPollBackoff * (1 << failures_);
  // The limit is set before the jitter: set after it, it would bring all gateways back in one moment.
  if (settings_.maxPollInterval > Duration{}) wait = std::min(wait, settings_.maxPollInterval / 5);
  pollAgainAt_ = now + scaled(wait, 0.5 + random.unit());
}

bool EndpointListPoller::beginPollIfDue(Timestamp now) {
  if (!settings_.pollDiscovery || now < pollAgainAt_) return false;
  // A poll whose answer is lost would otherwise leave this gateway without lists for good.
  const bool lost =
      !answered_ && settings_.maxPollInterval > Duration{} && now - polledAt_ > settings_.maxPollInterval / 2;
  if (polling_ && !lost) return false;
  polling_ = true;
  answered_ = false;
  polledAt_ = now;
  return true;
}

}  // namespace cairnjunction::policy
