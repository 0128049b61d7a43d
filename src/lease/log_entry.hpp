// The entries of the coordinators' log, with one type for each kind of change to the lease table. An entry
// contains every value that is needed to apply it, so all coordinators reach the same state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

// The longest name of a member, a task or a zone, in bytes.
inline constexpr std::size_t kMaxNameBytes = 128;
// The shortest and the longest duration of a lease.
inline constexpr Duration kMinLeaseDuration{200};
inline constexpr Duration kMaxLeaseDuration{60'000};

// A process joined under this name. It takes over the name but none of the leases of the previous process,
// which may still be running behind a network partition.
struct MemberJoined {
  Member member;     // name not empty, incarnation not 0
  std::string zone;  // may be empty
};

// The leader grants a lease on a key that has no holder.
struct LeaseGranted {
  LeaseKey key;
  Member member;             // the new holder; must be the last process that joined under its name
  Duration leaseDuration{};  // kMinLeaseDuration to kMaxLeaseDuration, counted from the entry's time
};

// A holder renews the leases that it holds.
struct LeasesRenewed {
  struct HeldKey {
    LeaseKey key;
    Epoch epoch = 0;        // of the member's lease
    Sequence sequence = 0;  // of the last command that the member sent under this epoch; 0: none
  };
  Member member;
  std::vector<HeldKey> held;
  Duration leaseDuration{};  // of each lease; limits and start as in LeaseGranted
};

// A holder releases a key before its lease ends. It sends no more commands under that epoch.
struct LeaseReleased {
  LeaseKey key;
  Epoch epoch = 0;
  Member member;
  bool failed = false;  // true: it can't do the task and must back off; false: it stops, or was asked to
};

// A process leaves the fleet and releases all its leases.
struct MemberLeft {
  Member member;
};

// The index of an alternative is stored in the log as the kind of change, so new alternatives are appended.
using Change = std::variant<MemberJoined, LeaseGranted, LeasesRenewed, LeaseReleased, MemberLeft>;

struct LogEntry {
  LogTime now{};  // by the leader's clock; if it is before the table's time, the table's time is used
  Change change;
};

}  // namespace cairnjunction::lease
