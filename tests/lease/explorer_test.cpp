// A model checker for lease table, held leases and fencing gate together: all interleavings of asking,
// granting, renewing, expiring, deciding, crashing, restarting, delaying, copying and reordering, breadth
// first up to a depth. A member that is paused is one that does nothing while time goes on, and a command
// that it decided may come at any later moment, so pauses and delayed bytes are among the interleavings.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "lease/fencing_gate.hpp"
#include "lease/held_lease.hpp"
#include "lease/lease_table.hpp"
#include "lease/lease_table_invariants.hpp"

namespace cairnjunction::lease {
namespace {

constexpr Duration kTick{100};
constexpr Duration kLease{200};
constexpr int kMembers = 3;
constexpr int kTasks = 2;

// What a variant does wrong; the real parts are used for the rest.
struct Faults {
  bool noEpochCheck = false;     // the receiver admits commands of older epochs
  bool leaseFromAnswer = false;  // a holder counts its lease from when it heard of it
  bool forgetAtRestart = false;  // the receiver's marks are gone after a restart
};

struct Bounds {
  int members = kMembers;
  int tasks = kTasks;
  int depth = 8;
  int ticks = 4;
  int crashes = 1;
  int restarts = 1;
  int copies = 1;
  std::size_t messages = 3;  // under way at once
  bool disk = true;          // of the receiver; without one it learns from the coordinators at its restart
  std::size_t statesMost = 400'000;
};

// A member asks for a key, or to keep it.
struct Ask {
  int member;
  int task;
  Incarnation incarnation;
  BootTime askedAt;
  Epoch renews;  // 0: asks for a grant
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Ask&) const = default;
};
struct Answer {
  int member;
  int task;
  Incarnation incarnation;
  BootTime askedAt;
  Epoch epoch;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Answer&) const = default;
};
using Message = std::variant<Ask, Answer, FencingToken>;

struct Process {
  Incarnation incarnation = 1;
  std::array<HeldLease, kTasks> leases;
};

struct World {
  Duration now{1000};
  LeaseTable table;
  std::array<Process, kMembers> members;
  FencingGate gate;
  std::vector<Message> network;  // sorted: their order says nothing
  int ticks = 0;
  int crashes = 0;
  int restarts = 0;
  int copies = 0;
  // What the receiver did, for the promises: by task the highest epoch, and who had an effect under each
  // epoch.
  std::array<Epoch, kTasks> highest{};
  std::map<std::pair<int, Epoch>, std::string> effects;

  // All machines and the log count it alike, from the same moment.
  BootTime bootTime() const { return BootTime(now); }
  LogTime logTime() const { return LogTime(now); }
};

std::string memberName(int member) { return {static_cast<char>('a' + member)}; }
LeaseKey keyOf(int task) { return {task == 0 ? "list" : "probe", 0}; }

// All that two worlds may differ in, as text.
class WorldIdentity {
 public:
  explicit WorldIdentity(const World& world) : text_(world.table.snapshot()) {
    add(world.now.count(), world.ticks, world.crashes, world.restarts, world.copies, world.gate.ready(),
        world.highest[0], world.highest[1]);
    for (const Process& process : world.members)
      for (const HeldLease& lease : process.leases)
        add(process.incarnation, lease.epoch(), lease.sequence(), millisecondsOf(lease.until()),
            lease.held());
    for (const auto& [key, mark] : world.gate.marks()) {
      text_ += key.task;
      add(mark.epoch, mark.sequence);
      text_ += mark.holder.name;
    }
    for (const Message& message : world.network) {
      add(message.index());
      std::visit([this](const auto& content) { addMessage(content); }, message);
    }
    for (const auto& [taskEpoch, member] : world.effects) {
      add(taskEpoch.first, taskEpoch.second);
      text_ += member;
    }
  }

  std::string text() && { return std::move(text_); }

 private:
  static std::int64_t millisecondsOf(BootTime time) { return time.time_since_epoch().count(); }

  template <class... Number>
  void add(Number... numbers) {
    ((text_ += std::to_string(numbers) + ','), ...);
  }
  void addMessage(const Ask& ask) {
    add(ask.member, ask.task, ask.incarnation, millisecondsOf(ask.askedAt), ask.renews);
  }
  void addMessage(const Answer& answer) {
    add(answer.member, answer.task, answer.incarnation, millisecondsOf(answer.askedAt), answer.epoch);
  }
  void addMessage(const FencingToken& token) {
    text_ += token.key.task + token.holder.name;
    add(token.epoch, token.sequence, token.holder.incarnation);
  }

  std::string text_;
};

class Explorer {
 public:
  Explorer(const Faults& faults, const Bounds& bounds) : faults_(faults), bounds_(bounds) {}

  void explore() {
    World first;
    first.gate.learn({});
    for (int member = 0; member < bounds_.members; ++member)
      applyChecked(first, MemberJoined{{memberName(member), 1}, ""});
    reach(first, 0);
    while (!next_.empty() && harm_.empty()) {
      const auto [world, depth] = std::move(next_.front());
      next_.pop_front();
      step(world, depth);
    }
    std::printf("%zu states, %s%d steps deep: %s\n", states_, states_ >= bounds_.statesMost ? "cut off " : "",
                depth_, harm_.empty() ? "all promises held" : harm_.c_str());
  }

  const std::string& harm() const { return harm_; }  // the first promise that was broken
  std::size_t states() const { return states_; }
  int depth() const { return depth_; }

 private:
  // After each step: a world that is new is checked, and goes on from there.
  void reach(World world, int depth) {
    std::sort(world.network.begin(), world.network.end());
    if (!harm_.empty() || states_ >= bounds_.statesMost) return;
    if (!seen_.insert(WorldIdentity(world).text()).second) return;
    ++states_;
    depth_ = std::max(depth_, depth);
    for (int task = 0; task < bounds_.tasks; ++task)
      if (holdersOf(world, task) > 1) harm_ = "two members may act for one task at once";
    if (depth < bounds_.depth) next_.emplace_back(std::move(world), depth);
  }

  int holdersOf(const World& world, int task) const {
    int holders = 0;
    for (int member = 0; member < bounds_.members; ++member)
      if (world.members[member].leases[task].isValid(world.bootTime())) ++holders;
    return holders;
  }

  ApplyResult applyChecked(World& world, const Change& change) {
    const LeaseTableState before = world.table.state();
    ApplyResult result = world.table.apply({world.logTime(), change});
    for (const auto& violations : {LeaseTableInvariants::violationsIn(world.table.state()),
                                   LeaseTableInvariants::violationsBetween(before, world.table.state())})
      if (!violations.empty()) harm_ = violations.front();
    return result;
  }

  void receive(World& world, const FencingToken& token) {
    const int task = token.key == keyOf(0) ? 0 : 1;
    FencingResult result = world.gate.admit(token);
    if (faults_.noEpochCheck && result == FencingResult::staleEpoch) result = FencingResult::accepted;
    if (result != FencingResult::accepted) return;
    if (token.epoch < world.highest[task]) harm_ = "an effect of an older epoch after a newer one";
    world.highest[task] = std::max(world.highest[task], token.epoch);
    const auto [effect, first] = world.effects.emplace(std::pair(task, token.epoch), token.holder.name);
    if (!first && effect->second != token.holder.name) harm_ = "two members' effects under one epoch";
  }

  void receive(World& world, const Ask& ask) {
    const Member member{memberName(ask.member), ask.incarnation};
    const LeaseKey key = keyOf(ask.task);
    const ApplyResult result =
        ask.renews > 0 ? applyChecked(world, LeasesRenewed{member, {{key, ask.renews, 0}}, kLease})
                       : applyChecked(world, LeaseGranted{key, member, kLease});
    if (!result.held.empty())
      world.network.emplace_back(
          Answer{ask.member, ask.task, ask.incarnation, ask.askedAt, result.held[0].epoch});
  }

  void receive(World& world, const Answer& answer) const {
    Process& process = world.members[answer.member];
    if (process.incarnation != answer.incarnation) return;
    const BootTime countedFrom = faults_.leaseFromAnswer ? world.bootTime() : answer.askedAt;
    process.leases[answer.task].granted(answer.epoch, 0, countedFrom, kLease);
  }

  void deliver(World& world, const Message& message) {
    std::visit([this, &world](const auto& content) { this->receive(world, content); }, message);
  }

  // One step from `world`, made by `change` on a copy of it.
  template <class Step>
  void branch(const World& world, int depth, Step change) {
    World copy = world;
    change(copy);
    reach(std::move(copy), depth + 1);
  }

  void step(const World& world, int depth) {
    if (world.ticks < bounds_.ticks)
      branch(world, depth, [](World& copy) {
        ++copy.ticks;
        copy.now += kTick;
      });
    stepNetwork(world, depth);
    for (int member = 0; member < bounds_.members; ++member) stepMember(world, depth, member);
    if (world.restarts < bounds_.restarts) branch(world, depth, [&](World& copy) { restartReceiver(copy); });
  }

  void stepNetwork(const World& world, int depth) {
    for (std::size_t i = 0; i < world.network.size(); ++i) {
      if (i > 0 && world.network[i] == world.network[i - 1]) continue;
      const Message message = world.network[i];
      branch(world, depth, [&](World& copy) {
        copy.network.erase(copy.network.begin() + static_cast<std::ptrdiff_t>(i));
        deliver(copy, message);
      });
      if (world.copies < bounds_.copies)
        branch(world, depth, [&](World& copy) {
          ++copy.copies;
          deliver(copy, message);
        });
    }
  }

  void stepMember(const World& world, int depth, int member) {
    const Process& process = world.members[member];
    for (int task = 0; task < bounds_.tasks && world.network.size() < bounds_.messages; ++task) {
      const HeldLease& lease = process.leases[task];
      branch(world, depth, [&](World& copy) {
        copy.network.emplace_back(
            Ask{member, task, process.incarnation, world.bootTime(), lease.held() ? lease.epoch() : 0});
      });
      if (!lease.isValid(world.bootTime())) continue;
      branch(world, depth, [&](World& copy) {  // decides; the command may be written at any later moment
        const Member self{memberName(member), process.incarnation};
        copy.network.emplace_back(
            *copy.members[member].leases[task].nextToken(keyOf(task), self, copy.bootTime()));
      });
    }
    if (world.crashes < bounds_.crashes)
      branch(world, depth, [&](World& copy) {
        ++copy.crashes;
        copy.members[member] = {process.incarnation + 1, {}};
        applyChecked(copy, MemberJoined{{memberName(member), copy.members[member].incarnation}, ""});
      });
  }

  void restartReceiver(World& world) const {
    ++world.restarts;
    std::map<LeaseKey, FencingGate::FencingMark> marks;
    if (bounds_.disk) {
      marks = world.gate.marks();
    } else {
      for (const auto& [key, record] : world.table.holdings())
        marks[key] = {record.epoch, record.sequence, {}};
    }
    if (faults_.forgetAtRestart) marks.clear();
    world.gate = {};
    for (auto& [key, mark] : marks) mark = mark.withoutLastCommand();
    world.gate.learn(marks);
  }

  const Faults faults_;
  const Bounds bounds_;
  std::string harm_;
  std::size_t states_ = 0;
  int depth_ = 0;
  std::unordered_set<std::string> seen_;
  std::deque<std::pair<World, int>> next_;
};

// Wide: three members, two tasks, and everything may happen. Deep: two members and one task, so far that a
// second holder follows a first.
const Bounds kWide{.depth = 6};
const Bounds kDeep{.members = 2,
                   .tasks = 1,
                   .depth = 13,
                   .ticks = 3,
                   .crashes = 0,
                   .restarts = 1,
                   .copies = 0,
                   .messages = 2};

void expectPromises(Bounds bounds, bool disk) {
  bounds.disk = disk;
  Explorer explorer(Faults{}, bounds);
  explorer.explore();
  EXPECT_EQ(explorer.harm(), "") << "disk " << disk;
  EXPECT_GT(explorer.states(), 10'000U);
  EXPECT_LT(explorer.states(), bounds.statesMost) << "cut off before its depth";
  EXPECT_EQ(explorer.depth(), bounds.depth);
}

// Anything that may happen to members, coordinators, receiver and network, in any order.
// No two members may act at once, no older epoch has an effect after a newer one, and the table's invariants
// hold.
TEST(Explorer, NoInterleavingBreaksAPromise) {
  for (const Bounds& bounds : {kWide, kDeep})
    for (const bool disk : {true, false}) expectPromises(bounds, disk);
}

// One of the guards is left out.
// The explorer finds the harm that it prevents.
TEST(Explorer, FindsTheHarmOfEachBrokenVariant) {
  const std::vector<std::pair<Faults, const char*>> variants{
      {{.noEpochCheck = true}, "an effect of an older epoch after a newer one"},
      {{.leaseFromAnswer = true}, "two members may act for one task at once"},
      {{.forgetAtRestart = true}, "an effect of an older epoch after a newer one"}};
  for (const auto& [faults, harm] : variants) {
    Explorer explorer(faults, kDeep);
    explorer.explore();
    EXPECT_EQ(explorer.harm(), harm);
  }
}

}  // namespace
}  // namespace cairnjunction::lease
