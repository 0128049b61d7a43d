// A model checker for duties and receivers together: all interleavings of asking, granting, renewing,
// expiring, deciding, crashing, restarting, delaying, copying and reordering, breadth first up to a depth. A
// member that is paused is one that does nothing while time goes on, and an order that it decided may come at
// any later moment, so pauses and held-back bytes are among the interleavings.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_set>
#include <variant>

#include "lease/fencing_gate.hpp"
#include "lease/held_lease.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::lease {
namespace {

struct Broken {  // what a variant does wrong; the real parts are used for the rest
  bool noEpochCheck = false, leaseFromAnswer = false, forgetAtRestart = false;
};

struct Bounds {
  int members = 3, duties = 2, depth = 8;
  int ticks = 4, crashes = 1, restarts = 1, copies = 1;
  std::size_t messages = 3;  // under way at once
  bool disk = true;          // of the receiver; without one it learns from the keepers at its restart
  std::size_t statesMost = 400'000;
};

constexpr Duration kTick{100}, kLease{200};

struct Ask {
  int member, duty;
  Incarnation incarnation;
  BootTime askedAt;
  Epoch renews;  // 0: asks for a grant
  auto operator<=>(const Ask&) const = default;
};
struct Answer {
  int member, duty;
  Incarnation incarnation;
  BootTime askedAt;
  Epoch epoch;
  auto operator<=>(const Answer&) const = default;
};
using Message = std::variant<Ask, Answer, FencingToken>;

struct Process {
  Incarnation incarnation = 1;
  std::array<HeldLease, 2> tenures;
};

struct World {
  Duration now{1000};
  LeaseTable log;
  std::array<Process, 3> members;
  FencingGate fence;
  std::vector<Message> net;  // sorted: their order says nothing
  int ticks = 0, crashes = 0, restarts = 0, copies = 0;
  // All machines and the log count it alike, from the same moment.
  BootTime bootTime() const { return BootTime(now); }
  LogTime logTime() const { return LogTime(now); }
  // What the receiver did, for the promises: by duty the highest epoch, and who had an effect under each
  // epoch.
  std::array<Epoch, 2> highest{};
  std::map<std::pair<int, Epoch>, std::string> effects;
};

std::string nameOf(int member) { return std::string(1, static_cast<char>('a' + member)); }
LeaseKey keyOf(int duty) { return {duty == 0 ? "list" : "probe", 0}; }

struct Explorer {
  Explorer(const Broken& b, const Bounds& limits) : broken(b), bounds(limits) {}

  Broken broken;
  Bounds bounds;
  std::string harm;  // the first promise that was broken
  std::size_t states = 0;
  int depth = 0;
  std::unordered_set<std::string> seen;
  std::deque<std::pair<World, int>> next;

  static std::string identity(const World& w) {
    std::string id = w.log.snapshot();
    const auto add = [&id](auto... numbers) { ((id += std::to_string(numbers) + ','), ...); };
    add(w.now.count(), w.ticks, w.crashes, w.restarts, w.copies, w.fence.ready(), w.highest[0], w.highest[1]);
    for (const Process& p : w.members)
      for (const HeldLease& t : p.tenures)
        add(p.incarnation, t.epoch(), t.sequence(), t.until().time_since_epoch().count(), t.held());
    for (const auto& [key, mark] : w.fence.marks())
      id += key.task, add(mark.epoch, mark.sequence), id += mark.holder.name;
    for (const Message& m : w.net) {
      add(m.index());
      if (const auto* ask = std::get_if<Ask>(&m))
        add(ask->member, ask->duty, ask->incarnation, ask->askedAt.time_since_epoch().count(), ask->renews);
      else if (const auto* answer = std::get_if<Answer>(&m))
        add(answer->member, answer->duty, answer->incarnation, answer->askedAt.time_since_epoch().count(),
            answer->epoch);
      else if (const auto* order = std::get_if<FencingToken>(&m))
        id += order->key.task + order->holder.name,
            add(order->epoch, order->sequence, order->holder.incarnation);
    }
    for (const auto& [what, who] : w.effects) add(what.first, what.second), id += who;
    return id;
  }

  void reach(World w, int at) {
    std::sort(w.net.begin(), w.net.end());
    if (!harm.empty() || states >= bounds.statesMost || !seen.insert(identity(w)).second) return;
    ++states;
    depth = std::max(depth, at);
    for (int d = 0; d < bounds.duties; ++d) {
      int owners = 0;
      for (int m = 0; m < bounds.members; ++m) owners += w.members[m].tenures[d].isValid(w.bootTime());
      if (owners > 1) harm = "two members may act for one duty at once";
    }
    if (at < bounds.depth) next.emplace_back(std::move(w), at);
  }

  void take(World& w, const FencingToken& order) {
    const int duty = order.key == keyOf(0) ? 0 : 1;
    FencingResult verdict = w.fence.admit(order);
    if (broken.noEpochCheck && verdict == FencingResult::staleEpoch) verdict = FencingResult::accepted;
    if (verdict != FencingResult::accepted) return;
    if (order.epoch < w.highest[duty]) harm = "an effect of an older epoch after a newer one";
    w.highest[duty] = std::max(w.highest[duty], order.epoch);
    const auto [it, first] = w.effects.emplace(std::pair(duty, order.epoch), order.holder.name);
    if (!first && it->second != order.holder.name) harm = "two members' effects under one epoch";
  }

  void deliver(World& w, const Message& message) {
    if (const auto* ask = std::get_if<Ask>(&message)) {
      const Member who{nameOf(ask->member), ask->incarnation};
      const LeaseKey key = keyOf(ask->duty);
      const ApplyResult outcome =
          ask->renews ? w.log.apply({w.logTime(), LeasesRenewed{who, {{key, ask->renews, 0}}, kLease}})
                      : w.log.apply({w.logTime(), LeaseGranted{key, who, kLease}});
      if (!outcome.held.empty())
        w.net.push_back(
            Answer{ask->member, ask->duty, ask->incarnation, ask->askedAt, outcome.held[0].epoch});
    } else if (const auto* answer = std::get_if<Answer>(&message)) {
      Process& p = w.members[answer->member];
      if (p.incarnation != answer->incarnation) return;
      p.tenures[answer->duty].granted(answer->epoch, 0,
                                      broken.leaseFromAnswer ? w.bootTime() : answer->askedAt, kLease);
    } else {
      take(w, std::get<FencingToken>(message));
    }
  }

  void step(const World& w, int at) {
    const auto with = [&](auto change) {
      World copy = w;
      change(copy);
      reach(std::move(copy), at + 1);
    };
    if (w.ticks < bounds.ticks) with([](World& c) { ++c.ticks, c.now += kTick; });
    for (std::size_t i = 0; i < w.net.size(); ++i) {
      if (i > 0 && w.net[i] == w.net[i - 1]) continue;
      const Message message = w.net[i];
      with([&](World& c) {
        c.net.erase(c.net.begin() + static_cast<std::ptrdiff_t>(i));
        deliver(c, message);
      });
      if (w.copies < bounds.copies)
        with([&](World& c) {
          ++c.copies;
          deliver(c, message);
        });
    }
    for (int m = 0; m < bounds.members; ++m) {
      for (int d = 0; d < bounds.duties && w.net.size() < bounds.messages; ++d) {
        const HeldLease& tenure = w.members[m].tenures[d];
        with([&](World& c) {  // asks for the key, or to keep it
          c.net.push_back(
              Ask{m, d, w.members[m].incarnation, w.bootTime(), tenure.held() ? tenure.epoch() : 0});
        });
        if (tenure.isValid(w.bootTime()))
          with([&](World& c) {  // decides; the order may be written at any later moment
            c.net.push_back(*c.members[m].tenures[d].nextToken(
                keyOf(d), {nameOf(m), w.members[m].incarnation}, c.bootTime()));
          });
      }
      if (w.crashes < bounds.crashes)
        with([&](World& c) {
          ++c.crashes;
          c.members[m] = {w.members[m].incarnation + 1, {}};
          c.log.apply({c.logTime(), MemberJoined{{nameOf(m), c.members[m].incarnation}, ""}});
        });
    }
    if (w.restarts < bounds.restarts)
      with([&](World& c) {
        ++c.restarts;
        std::map<LeaseKey, FencingGate::FencingMark> kept;
        if (bounds.disk) kept = c.fence.marks();
        else
          for (const auto& [key, holding] : c.log.holdings())
            kept[key] = {holding.epoch, holding.sequence, {}};
        if (broken.forgetAtRestart) kept.clear();
        c.fence = {};
        for (auto& [key, mark] : kept) mark = mark.withoutLastCommand();
        c.fence.learn(kept);
      });
  }

  void explore() {
    World first;
    first.fence.learn({});
    for (int m = 0; m < bounds.members; ++m)
      first.log.apply({first.logTime(), MemberJoined{{nameOf(m), 1}, ""}});
    reach(first, 0);
    while (!next.empty() && harm.empty()) {
      const auto [world, at] = std::move(next.front());
      next.pop_front();
      step(world, at);
    }
    std::printf("%zu states, %s%d steps deep: %s\n", states, states >= bounds.statesMost ? "cut off " : "",
                depth, harm.empty() ? "all promises held" : harm.c_str());
  }
};

// Wide: three members, two duties, and everything may happen. Deep: two members and one duty, so far that a
// second owner follows a first.
const Bounds kWide{.depth = 6};
const Bounds kDeep{.members = 2,
                   .duties = 1,
                   .depth = 13,
                   .ticks = 3,
                   .crashes = 0,
                   .restarts = 1,
                   .copies = 0,
                   .messages = 2};

TEST(Explorer, NoInterleavingBreaksAPromise) {
  for (const Bounds& bounds : {kWide, kDeep})
    for (const bool disk : {true, false}) {
      Explorer explorer(Broken{}, bounds);
      explorer.bounds.disk = disk;
      explorer.explore();
      EXPECT_EQ(explorer.harm, "") << "disk " << disk;
      EXPECT_GT(explorer.states, 10'000u);
      EXPECT_LT(explorer.states, bounds.statesMost) << "cut off before its depth";
      EXPECT_EQ(explorer.depth, bounds.depth);
    }
}

TEST(Explorer, FindsTheHarmOfEachBrokenVariant) {
  const std::pair<Broken, const char*> variants[] = {
      {{.noEpochCheck = true}, "an effect of an older epoch after a newer one"},
      {{.leaseFromAnswer = true}, "two members may act for one duty at once"},
      {{.forgetAtRestart = true}, "an effect of an older epoch after a newer one"}};
  for (const auto& [broken, harm] : variants) {
    Explorer explorer(broken, kDeep);
    explorer.explore();
    EXPECT_EQ(explorer.harm, harm);
  }
}

}  // namespace
}  // namespace cairnjunction::lease
