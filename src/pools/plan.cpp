// Which servers of a pool of fixed addresses are offered to its decision module.
#include "pools/plan.hpp"

#include <algorithm>

namespace cairnjunction::pools {

using ochrehill::Fault;
using ochrehill::Outcome;
using ochrehill::Time;

bool failed(Outcome outcome, Fault fault) {
  switch (outcome) {
    case Outcome::timeout:
    case Outcome::reset: return true;
    case Outcome::connectFailed: return fault == Fault::refused || fault == Fault::dialSilent;
    case Outcome::error: return fault == Fault::spoilt;
    default: return false;
  }
}

Plan::Plan(std::vector<route::PoolServer> servers) : servers_(std::move(servers)), states_(servers_.size()) {
  settle();
}

bool Plan::onResult(Time now, std::size_t server, bool failure) {
  const route::PoolServer& set = servers_[server];
  State& state = states_[server];
  if (!failure) {
    if (state.outUntil == Time{}) state.fails = 0;
    return false;
  }
  // As documented: of a single server failures are not counted.
  if (set.failsMost == 0 || servers_.size() == 1 || state.outUntil > Time{}) return false;
  if (state.fails == 0 || now - state.since > set.failTimeout) {
    state.fails = 0;
    state.since = now;
  }
  if (++state.fails < set.failsMost) return false;
  state.fails = 0;
  state.outUntil = now + set.failTimeout;
  return settle();
}

bool Plan::onTime(Time now) {
  bool back = false;
  for (State& state : states_)
    if (state.outUntil > Time{} && now >= state.outUntil) {
      state = State{};
      back = true;
    }
  return back && settle();
}

std::optional<Time> Plan::next() const {
  std::optional<Time> at;
  for (const State& state : states_)
    if (state.outUntil > Time{} && (!at || state.outUntil < *at)) at = state.outUntil;
  return at;
}

bool Plan::settle() {
  const auto with = [&](auto holds) {
    std::vector<bool> out(servers_.size());
    for (std::size_t i = 0; i < servers_.size(); ++i) out[i] = !servers_[i].down && holds(i);
    return out;
  };
  const auto any = [](const std::vector<bool>& in) {
    return std::find(in.begin(), in.end(), true) != in.end();
  };
  std::vector<bool> next =
      with([&](std::size_t i) { return !servers_[i].backup && states_[i].outUntil == Time{}; });
  if (!any(next))
    next = with([&](std::size_t i) { return servers_[i].backup && states_[i].outUntil == Time{}; });
  if (!any(next)) next = with([](std::size_t) { return true; });
  if (next == offered_) return false;
  offered_ = std::move(next);
  return true;
}

}  // namespace cairnjunction::pools
