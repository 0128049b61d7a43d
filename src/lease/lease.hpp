// The types that the fleet's coordinators and members share: which task shard is leased, to which process,
// under which epoch, and the token that fences its commands. Nothing here does I/O or reads a clock.
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

// Of one key: grows by one with each grant and is never given twice. 0: it was never granted.
using Epoch = std::uint64_t;
// Of the commands that one holder sends for one key under one epoch, from 1.
using Sequence = std::uint64_t;
// Of a member's process: drawn anew at each of its starts, never 0.
using Incarnation = std::uint64_t;

// Two machines count a second alike to one part in this many: quartz is off by 0.02% at worst, virtual
// machines that are moved by some 0.1%. A holder takes that part off its lease, for its own clock and the
// coordinators'.
inline constexpr int kClockDriftDivisor = 100;

// What has at most one lease holder at a time.
struct LeaseKey {
  std::string task;         // not empty, at most kNameMost bytes
  std::uint32_t shard = 0;  // from 0, below the shards of the task's TaskSpec
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const LeaseKey&) const = default;
};

// One process of a member of the fleet.
struct Member {
  std::string name;  // the same after a restart; one process at a time has it. Empty: nobody
  Incarnation incarnation = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const Member&) const = default;
};

// Which command this is: carried by each, and compared by its receivers with the last one that they admitted.
struct FencingToken {
  LeaseKey key;
  Epoch epoch = 0;        // under which the sender holds the key
  Sequence sequence = 0;  // within the epoch
  Member holder;          // the sender
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 finds it in a defaulted <=>
  auto operator<=>(const FencingToken&) const = default;
};

}  // namespace cairnjunction::lease
