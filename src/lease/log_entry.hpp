// The entries of the coordinators' log, one type for each change of the lease table. All values come with the
// entry: what a coordinator makes of it depends on nothing else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

// Bytes of the name of a member, a task or a zone.
inline constexpr std::size_t kNameMost = 128;
// The range of a lease's duration.
inline constexpr Duration kLeaseLeast{200};
inline constexpr Duration kLeaseMost{60'000};

// A process joined under this name. It gets the name, but none of the leases of the process that had it
// before: that one may still run behind a cut link.
struct MemberJoined {
  Member member;     // its name not empty, its incarnation not 0
  std::string zone;  // may be empty
};

// The leader grants a key that is free.
struct LeaseGranted {
  LeaseKey key;
  Member member;             // to this process, which must be the last one that joined under its name
  Duration leaseDuration{};  // from kLeaseLeast to kLeaseMost, counted from the entry's time
};

// A holder asks to keep what it holds.
struct LeasesRenewed {
  struct Held {
    LeaseKey key;
    Epoch epoch = 0;        // under which the member holds it
    Sequence sequence = 0;  // of the last command that the member sent under it; 0: none
  };
  Member member;
  std::vector<Held> held;
  Duration leaseDuration{};  // of all of them, from kLeaseLeast to kLeaseMost
};

// A holder gives a key back before its lease ends: it sends nothing under that epoch any more.
struct LeaseReleased {
  LeaseKey key;
  Epoch epoch = 0;
  Member member;
  bool failed = false;  // it can't do the task, and is to back off; otherwise it stops, or was asked to
};

// A process leaves the fleet and gives back all it holds.
struct MemberLeft {
  Member member;
};

// The index of an alternative is its kind on the log: new ones go behind.
using Change = std::variant<MemberJoined, LeaseGranted, LeasesRenewed, LeaseReleased, MemberLeft>;

struct LogEntry {
  LogTime now{};  // the leader's count; one that is before the table's is taken as the table's
  Change change;
};

}  // namespace cairnjunction::lease
