// The types that the fleet's coordinators and members share: keys of leases, member processes, epochs, and
// the fencing token that each command carries. Nothing here does I/O or reads a clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace cairnjunction::lease {

using Duration = std::chrono::milliseconds;

// Two clocks with distinct types, so that their times can't be mixed up. This package reads neither: callers
// pass the time in.
struct LogClock {};   // time since the log began, as counted by its leaders (docs/design/fleet.md)
struct BootClock {};  // time since one machine booted, sleep included; not comparable between machines
using LogTime = std::chrono::time_point<LogClock, Duration>;
using BootTime = std::chrono::time_point<BootClock, Duration>;

// Numbers the grants of one key: each grant increments it, and no value is reused. 0: never granted.
using Epoch = std::uint64_t;
// Numbers the commands that one holder sends for one key under one epoch, from 1.
using Sequence = std::uint64_t;
// Identifies one process of a member: drawn at random at each start, never 0.
using Incarnation = std::uint64_t;

// The rates of two machines' clocks differ by at most one part in this many: a quartz clock is off by 0.02%
// at worst, a virtual machine that is being migrated by about 0.1%. A holder shortens its lease by this
// fraction, to cover its own clock and the coordinators'.
inline constexpr int kClockDriftDivisor = 100;

// Identifies a lease: one shard of a task. It has at most one lease holder at a time.
struct LeaseKey {
  std::string task;         // not empty, at most kMaxNameBytes
  std::uint32_t shard = 0;  // from 0, less than TaskSpec::shards of the task
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const LeaseKey&) const = default;
};

// One process of a member of the fleet.
struct Member {
  std::string name;  // kept across restarts, and used by one process at a time; empty: no member
  Incarnation incarnation = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Member&) const = default;
};

// Carried by each command. A receiver compares it with the token of the last command that it admitted for the
// key (FencingGate).
struct FencingToken {
  LeaseKey key;
  Epoch epoch = 0;        // of the sender's lease
  Sequence sequence = 0;  // within the epoch
  Member holder;          // the sender
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const FencingToken&) const = default;
};

}  // namespace cairnjunction::lease
