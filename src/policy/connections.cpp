// Connections, as far as the pick goes by them: which are open, how long idle, and how often lost in that
// time.
#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

constexpr Duration kIdleClose = seconds(5);  // beyond its own hosts a gateway gives connections back
// Danger: something on the way may drop idle connections unseen, and what is sent on one is lost without a
// word. Losses are counted by how long the connection lay idle, in steps that double from here on;
constexpr Duration kIdleStep = milliseconds(250);
constexpr double kLostGain = 0.2;    // per attempt: over the last five of its step
constexpr double kLostFade = 0.005;  // per sweep: tried again after some twenty seconds
constexpr double kLostStale = 0.3;   // lost so often, and over the share lost on fresh ones, it is given back

}  // namespace

bool Module::free(const Host& h) const {  // an open connection has room
  const bool closed = set.idleTimeout > Duration{} && h.inflight == 0 && now - h.used >= set.idleTimeout;
  return !closed && static_cast<std::uint32_t>(h.inflight) <
                        static_cast<std::uint32_t>(h.lines) * set.streamsPerConnection;
}

std::size_t Module::idleStep(const Host& h) const {
  std::size_t step = 0;
  if (!free(h) || h.inflight > 0) return step;
  for (Duration t = kIdleStep; step + 1 < kIdleSteps && now - h.used >= t; t *= 2) ++step;
  return step;
}

bool Module::stale(std::size_t step) const { return step > 0 && idleLost[step] > kLostStale + idleLost[0]; }

bool Module::mayDial(const Host& h) const { return now >= h.dialAfter || (free(h) && !stale(idleStep(h))); }

void Module::noteIdle(std::size_t step, Outcome o) {  // a longer wait is no safer, a shorter one no worse
  const bool gone = o == Outcome::timeout || o == Outcome::reset;
  if (!gone && o != Outcome::served && o != Outcome::error && o != Outcome::overloaded) return;
  for (std::size_t i = gone ? step : 0; i < (gone && step > 0 ? kIdleSteps : step + 1); ++i)
    idleLost[i] += kLostGain * ((gone ? 1 : 0) - idleLost[i]);
}

void Module::sweepConnections() {
  // Danger: connections kept to hosts that are no longer our own add up to their caps and shut others out.
  for (std::size_t i = width; i < order.size(); ++i) {
    Host& h = hosts[order[i]];
    if (h.lines == 0 || h.inflight > 0 || now - h.used < kIdleClose) continue;
    if (!h.exact) h.lines = 0;
    emit(ActionKind::closeIdle, 0, 0, order[i]);
  }
  for (double& l : idleLost) l *= 1 - kLostFade;
}

}  // namespace cairnjunction::policy
