// A model checker for lease table, held leases and fencing gate together. It explores all interleavings of
// requests, grants, renewals, expiry, commands, crashes, restarts, and of delayed, duplicated and reordered
// messages, breadth first up to a depth. A paused member is one that takes no step while time advances, and a
// command may arrive at any later time, so pauses and delayed bytes are covered.
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

// Faults injected into a variant, to test that the explorer detects them.
struct Faults {
  bool noEpochCheck = false;        // the receiver admits commands of older epochs
  bool leaseFromResponse = false;   // a holder counts its lease from the response, not from the request
  bool marksLostAtRestart = false;  // the receiver loses its fencing marks at a restart
};

// The size of the model, and limits on the steps of one path.
struct Bounds {
  int members = kMembers;
  int tasks = kTasks;
  int depth = 8;
  int ticks = 4;
  int crashes = 1;
  int restarts = 1;
  int duplicates = 1;
  std::size_t messages = 3;     // in the network at once
  bool receiverHasDisk = true;  // false: it gets its marks from the coordinators at a restart
  std::size_t maxStates = 400'000;
};

// A member's request for a grant or a renewal.
struct Request {
  int member;
  int task;
  Incarnation incarnation;
  BootTime sentAt;
  Epoch renewedEpoch;  // 0: a request for a grant
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Request&) const = default;
};
// The coordinators' response to a granted request.
struct Response {
  int member;
  int task;
  Incarnation incarnation;
  BootTime sentAt;
  Epoch epoch;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Response&) const = default;
};
using Message = std::variant<Request, Response, FencingToken>;

// The current process of a member.
struct Process {
  Incarnation incarnation = 1;
  std::array<HeldLease, kTasks> leases;
};

// One state of the model: coordinators, members, receiver and network.
struct World {
  Duration now{1000};
  LeaseTable table;
  std::array<Process, kMembers> members;
  FencingGate gate;
  std::vector<Message> network;  // sorted, since messages may be reordered
  int ticks = 0;
  int crashes = 0;
  int restarts = 0;
  int duplicates = 0;
  // The receiver's effects, to check the guarantees: the highest epoch by task, and the member's name by
  // task and epoch.
  std::array<Epoch, kTasks> highestEpoch{};
  std::map<std::pair<int, Epoch>, std::string> effects;

  // The clocks of all machines and of the log are equal.
  BootTime bootTime() const { return BootTime(now); }
  LogTime logTime() const { return LogTime(now); }
};

std::string memberName(int member) { return {static_cast<char>('a' + member)}; }
LeaseKey keyOf(int task) { return {task == 0 ? "list" : "probe", 0}; }

// Encodes everything in which two worlds can differ, to recognize worlds that were visited.
class WorldIdentity {
 public:
  explicit WorldIdentity(const World& world) : text_(world.table.snapshot()) {
    add(world.now.count(), world.ticks, world.crashes, world.restarts, world.duplicates, world.gate.ready(),
        world.highestEpoch[0], world.highestEpoch[1]);
    for (const Process& process : world.members)
      for (const HeldLease& lease : process.leases)
        add(process.incarnation, lease.epoch(), lease.sequence(), millisecondsOf(lease.validUntil()),
            lease.isHeld());
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
  void addMessage(const Request& request) {
    add(request.member, request.task, request.incarnation, millisecondsOf(request.sentAt),
        request.renewedEpoch);
  }
  void addMessage(const Response& response) {
    add(response.member, response.task, response.incarnation, millisecondsOf(response.sentAt),
        response.epoch);
  }
  void addMessage(const FencingToken& token) {
    text_ += token.key.task + token.holder.name;
    add(token.epoch, token.sequence, token.holder.incarnation);
  }

  std::string text_;
};

// Visits all worlds within the bounds, breadth first, until a guarantee is violated.
class Explorer {
 public:
  Explorer(const Faults& faults, const Bounds& bounds) : faults_(faults), bounds_(bounds) {}

  void explore() {
    World first;
    first.gate.raiseMarks({});
    for (int member = 0; member < bounds_.members; ++member)
      applyChecked(first, MemberJoined{{memberName(member), 1}, ""});
    visit(first, 0);
    while (!next_.empty() && violation_.empty()) {
      const auto [world, depth] = std::move(next_.front());
      next_.pop_front();
      step(world, depth);
    }
    std::printf("%zu states, %s%d steps deep: %s\n", states_,
                states_ >= bounds_.maxStates ? "stopped early, " : "", depth_,
                violation_.empty() ? "no violation" : violation_.c_str());
  }

  const std::string& violation() const { return violation_; }  // the first one found; empty: none
  std::size_t states() const { return states_; }
  int depth() const { return depth_; }

 private:
  // Checks a world that was not visited yet, and queues it for further steps.
  void visit(World world, int depth) {
    std::sort(world.network.begin(), world.network.end());
    if (!violation_.empty() || states_ >= bounds_.maxStates) return;
    if (!seen_.insert(WorldIdentity(world).text()).second) return;
    ++states_;
    depth_ = std::max(depth_, depth);
    for (int task = 0; task < bounds_.tasks; ++task)
      if (holdersOf(world, task) > 1) violation_ = "two members may act for one task at once";
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
      if (!violations.empty()) violation_ = violations.front();
    return result;
  }

  void receive(World& world, const FencingToken& token) {
    const int task = token.key == keyOf(0) ? 0 : 1;
    FencingResult result = world.gate.admit(token);
    if (faults_.noEpochCheck && result == FencingResult::staleEpoch) result = FencingResult::accepted;
    if (result != FencingResult::accepted) return;
    if (token.epoch < world.highestEpoch[task]) violation_ = "an effect of an older epoch after a newer one";
    world.highestEpoch[task] = std::max(world.highestEpoch[task], token.epoch);
    const auto [effect, first] = world.effects.emplace(std::pair(task, token.epoch), token.holder.name);
    if (!first && effect->second != token.holder.name) violation_ = "two members' effects under one epoch";
  }

  void receive(World& world, const Request& request) {
    const Member member{memberName(request.member), request.incarnation};
    const LeaseKey key = keyOf(request.task);
    const ApplyResult result =
        request.renewedEpoch > 0
            ? applyChecked(world, LeasesRenewed{member, {{key, request.renewedEpoch, 0}}, kLease})
            : applyChecked(world, LeaseGranted{key, member, kLease});
    if (!result.held.empty())
      world.network.emplace_back(
          Response{request.member, request.task, request.incarnation, request.sentAt, result.held[0].epoch});
  }

  void receive(World& world, const Response& response) const {
    Process& process = world.members[response.member];
    if (process.incarnation != response.incarnation) return;
    const BootTime countedFrom = faults_.leaseFromResponse ? world.bootTime() : response.sentAt;
    process.leases[response.task].recordGrant(response.epoch, 0, countedFrom, kLease);
  }

  void deliver(World& world, const Message& message) {
    std::visit([this, &world](const auto& content) { this->receive(world, content); }, message);
  }

  // Visits the world that `change` makes of a copy of `world`.
  template <class Step>
  void branch(const World& world, int depth, Step change) {
    World copy = world;
    change(copy);
    visit(std::move(copy), depth + 1);
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
      if (world.duplicates < bounds_.duplicates)
        branch(world, depth, [&](World& copy) {
          ++copy.duplicates;
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
            Request{member, task, process.incarnation, world.bootTime(), lease.isHeld() ? lease.epoch() : 0});
      });
      if (!lease.isValid(world.bootTime())) continue;
      branch(world, depth, [&](World& copy) {  // sends a command, which may arrive at any later time
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
    if (bounds_.receiverHasDisk) {
      marks = world.gate.marks();
    } else {
      for (const auto& [key, record] : world.table.records())
        marks[key] = {record.epoch, record.sequence, {}};
    }
    if (faults_.marksLostAtRestart) marks.clear();
    world.gate = {};
    for (auto& [key, mark] : marks) mark = mark.withoutLastCommand();
    world.gate.raiseMarks(marks);
  }

  const Faults faults_;
  const Bounds bounds_;
  std::string violation_;
  std::size_t states_ = 0;
  int depth_ = 0;
  std::unordered_set<std::string> seen_;
  std::deque<std::pair<World, int>> next_;
};

// Wide: three members, two tasks and all kinds of steps. Deep: two members and one task, deep enough for a
// second holder to follow the first.
const Bounds kWide{.depth = 6};
const Bounds kDeep{.members = 2,
                   .tasks = 1,
                   .depth = 13,
                   .ticks = 3,
                   .crashes = 0,
                   .restarts = 1,
                   .duplicates = 0,
                   .messages = 2};

void expectGuarantees(Bounds bounds, bool receiverHasDisk) {
  bounds.receiverHasDisk = receiverHasDisk;
  Explorer explorer(Faults{}, bounds);
  explorer.explore();
  EXPECT_EQ(explorer.violation(), "") << "receiver has a disk: " << receiverHasDisk;
  EXPECT_GT(explorer.states(), 10'000U);
  EXPECT_LT(explorer.states(), bounds.maxStates) << "stopped before the depth was reached";
  EXPECT_EQ(explorer.depth(), bounds.depth);
}

// In all interleavings within the bounds, no two members may act for one task at once, no older epoch has an
// effect after a newer one, and the lease table's invariants hold.
TEST(Explorer, NoInterleavingViolatesAGuarantee) {
  for (const Bounds& bounds : {kWide, kDeep})
    for (const bool receiverHasDisk : {true, false}) expectGuarantees(bounds, receiverHasDisk);
}

// With one safeguard disabled, the explorer finds the violation that it prevents.
TEST(Explorer, FindsTheViolationOfEachFaultyVariant) {
  const std::vector<std::pair<Faults, const char*>> variants{
      {{.noEpochCheck = true}, "an effect of an older epoch after a newer one"},
      {{.leaseFromResponse = true}, "two members may act for one task at once"},
      {{.marksLostAtRestart = true}, "an effect of an older epoch after a newer one"}};
  for (const auto& [faults, violation] : variants) {
    Explorer explorer(faults, kDeep);
    explorer.explore();
    EXPECT_EQ(explorer.violation(), violation);
  }
}

}  // namespace
}  // namespace cairnjunction::lease
