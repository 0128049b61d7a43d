// Counts failures of servers and selects those to offer.
#include "pools/passive_health_filter.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction::pools {

using policy::FailureReason;
using policy::Outcome;
using policy::Timestamp;

namespace {

bool isAnySet(const std::vector<bool>& selected) {
  return std::find(selected.begin(), selected.end(), true) != selected.end();
}

}  // namespace

bool isServerFailure(Outcome outcome, FailureReason reason) {
  switch (outcome) {
    case Outcome::timeout:
    case Outcome::reset: return true;
    case Outcome::connectFailed:
      return reason == FailureReason::connectionRefused || reason == FailureReason::connectTimeout;
    case Outcome::error: return reason == FailureReason::malformedResponse;
    default: return false;
  }
}

PassiveHealthFilter::PassiveHealthFilter(std::vector<route::PoolServer> servers)
    : servers_(std::move(servers)), serverStates_(servers_.size()) {
  updateOffered();
}

bool PassiveHealthFilter::onResult(Timestamp now, std::size_t server, bool failure) {
  const route::PoolServer& settings = servers_[server];
  ServerState& state = serverStates_[server];
  if (!failure) {
    if (state.unavailableUntil == Timestamp{}) state.failures = 0;
    return false;
  }
  // As in nginx's documentation, failures of a pool's only server are not counted.
  if (settings.failsMost == 0 || servers_.size() == 1 || state.unavailableUntil > Timestamp{}) return false;
  if (state.failures == 0 || now - state.firstFailureAt > settings.failTimeout) {
    state.failures = 0;
    state.firstFailureAt = now;
  }
  if (++state.failures < settings.failsMost) return false;
  state.failures = 0;
  state.unavailableUntil = now + settings.failTimeout;
  return updateOffered();
}

bool PassiveHealthFilter::onTick(Timestamp now) {
  bool becameAvailable = false;
  for (ServerState& state : serverStates_)
    if (state.unavailableUntil > Timestamp{} && now >= state.unavailableUntil) {
      state = ServerState{};
      becameAvailable = true;
    }
  return becameAvailable && updateOffered();
}

std::optional<Timestamp> PassiveHealthFilter::nextReturnAt() const {
  std::optional<Timestamp> at;
  for (const ServerState& state : serverStates_)
    if (state.unavailableUntil > Timestamp{} && (!at || state.unavailableUntil < *at))
      at = state.unavailableUntil;
  return at;
}

bool PassiveHealthFilter::updateOffered() {
  const auto available = [&](std::size_t server) {
    return serverStates_[server].unavailableUntil == Timestamp{};
  };
  const auto isAvailablePrimary = [&](std::size_t server) {
    return !servers_[server].backup && available(server);
  };
  const auto isAvailableBackup = [&](std::size_t server) {
    return servers_[server].backup && available(server);
  };
  const auto any = [](std::size_t) { return true; };
  std::vector<bool> next = selectServers(isAvailablePrimary);
  if (!isAnySet(next)) next = selectServers(isAvailableBackup);
  if (!isAnySet(next)) next = selectServers(any);
  if (next == offered_) return false;
  offered_ = std::move(next);
  return true;
}

std::vector<bool> PassiveHealthFilter::selectServers(
    const std::function<bool(std::size_t)>& predicate) const {
  std::vector<bool> selected(servers_.size());
  for (std::size_t server = 0; server < servers_.size(); ++server)
    selected[server] = !servers_[server].down && predicate(server);
  return selected;
}

}  // namespace cairnjunction::pools
