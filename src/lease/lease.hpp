// The words of work on behalf of the fleet: a duty, its shards, the epoch of an ownership, and the name of
// one order. Nothing here does I/O or reads a clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace cairnjunction::lease {

using Duration = std::chrono::milliseconds;

// Two clocks, as types that don't compare. Neither can be read here: their readers pass the time in.
struct LogClock {};   // since the log began, as its leaders count it (docs/design/fleet.md)
struct BootClock {};  // since one machine booted, sleep included; of another machine it says nothing
using LogTime = std::chrono::time_point<LogClock, Duration>;
using BootTime = std::chrono::time_point<BootClock, Duration>;

using Epoch = std::uint64_t;        // of one duty and shard: only grows; 0 = nobody has owned it yet
using Sequence = std::uint64_t;     // of orders within an epoch, from 1
using Incarnation = std::uint64_t;  // of a member: another one with each start of its process, never 0

// Any two clocks count a second alike to this part of it: quartz is off by 0.02% at worst, virtual machines
// that are moved by some 0.1%. An owner takes so much off its lease, for its own clock and the keepers'.
inline constexpr int kDriftPart = 100;

struct LeaseKey {  // what has one owner at a time
  std::string task;
  std::uint32_t shard = 0;
  auto operator<=>(const LeaseKey&) const = default;
};

struct Member {
  std::string name;  // the same after a restart; one process at a time has it
  Incarnation incarnation = 0;
  auto operator<=>(const Member&) const = default;
};

// The fencing token that each order carries.
struct FencingToken {
  LeaseKey key;
  Epoch epoch = 0;
  Sequence sequence = 0;
  Member holder;
  auto operator<=>(const FencingToken&) const = default;
};

}  // namespace cairnjunction::lease
