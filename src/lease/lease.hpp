// The words of work on behalf of the fleet: a duty, its shards, the epoch of an ownership, and the name of
// one order. Nothing here does I/O or reads a clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace cairnjunction::lease {

// On the log: since the log began, as the keepers' leaders count it (see docs/design/fleet.md). At a member:
// since its machine booted, sleep included. The two are never compared.
using Time = std::chrono::milliseconds;
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
