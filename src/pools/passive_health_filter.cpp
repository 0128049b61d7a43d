// Which servers of a pool of fixed addresses are offered to its decision module.
#include "pools/passive_health_filter.hpp"

#include <algorithm>

namespace cairnjunction::pools {

using policy::FailureReason;
using policy::Outcome;
using policy::Timestamp;

bool failed(Outcome outcome, FailureReason fault) {
  switch (outcome) {
    case Outcome::timeout:
    case Outcome::reset: return true;
    case Outcome::connectFailed:
      return fault == FailureReason::connectionRefused || fault == FailureReason::connectTimeout;
    case Outcome::error: return fault == FailureReason::malformedResponse;
    default: return false;
  }
}

PassiveHealthFilter::PassiveHealthFilter(std::vector<route::PoolServer> servers)
    : servers_(std::move(servers)), states_(servers_.size()) {
  settle();
}

bool PassiveHealthFilter::onResult(Timestamp now, std::size_t server, bool failure) {
  const route::PoolServer& set = servers_[server];
  State& state = states_[server];
  if (!failure) {
    if (state.outUntil == Timestamp{}) state.fails = 0;
    return false;
  }
  // As documented: of a single server failures are not counted.
  if (set.failsMost == 0 || servers_.size() == 1 || state.outUntil > Timestamp{}) return false;
  if (state.fails == 0 || now - state.since > set.failTimeout) {
    state.fails = 0;
    state.since = now;
  }
  if (++state.fails < set.failsMost) return false;
  state.fails = 0;
  state.outUntil = now + set.failTimeout;
  return settle();
}

bool PassiveHealthFilter::onTime(Timestamp now) {
  bool back = false;
  for (State& state : states_)
    if (state.outUntil > Timestamp{} && now >= state.outUntil) {
      state = State{};
      back = true;
    }
  return back && settle();
}

std::optional<Timestamp> PassiveHealthFilter::next() const {
  std::optional<Timestamp> at;
  for (const State& state : states_)
    if (state.outUntil > Timestamp{} && (!at || state.outUntil < *at)) at = state.outUntil;
  return at;
}

bool PassiveHealthFilter::settle() {
  const auto with = [&](auto holds) {
    std::vector<bool> out(servers_.size());
    for (std::size_t i = 0; i < servers_.size(); ++i) out[i] = !servers_[i].down && holds(i);
    return out;
  };
  const auto any = [](const std::vector<bool>& in) {
    return std::find(in.begin(), in.end(), true) != in.end();
  };
  std::vector<bool> next =
      with([&](std::size_t i) { return !servers_[i].backup && states_[i].outUntil == Timestamp{}; });
  if (!any(next))
    next = with([&](std::size_t i) { return servers_[i].backup && states_[i].outUntil == Timestamp{}; });
  if (!any(next)) next = with([](std::size_t) { return true; });
  if (next == offered_) return false;
  offered_ = std::move(next);
  return true;
}

}  // namespace cairnjunction::pools
