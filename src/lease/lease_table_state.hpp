// The state of the lease table: what a snapshot contains, and what is equal on all coordinators that applied
// the same entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lease/failure_history.hpp"
#include "lease/lease.hpp"

namespace cairnjunction::lease {

// Bounds on the state that members can create. Every snapshot contains all of it.
inline constexpr std::size_t kMaxKeys = 1024;     // a fleet has a few dozen
inline constexpr std::size_t kMaxMembers = 4096;  // at this limit, a join evicts a member that holds no lease

// Why the last lease of a key ended. Stored by its value: the order stays.
enum class LeaseChangeReason : std::uint8_t {
  vacant,    // there was no lease
  expired,   // the holder did not renew it in time
  released,  // the holder released it because it stops, or was asked to
  failed,    // the holder released it because it can't do the task
  left       // the holder left the fleet
};
// For logs and answers to operators.
std::string_view nameOf(LeaseChangeReason reason);

// The state of one key that was granted at least once.
struct LeaseRecord {
  Epoch epoch = 0;  // of the last grant, from 1; kept when the lease ends, since receivers compare with it
  Member holder;    // under this epoch; empty name: the key was released, or its holder left
  LogTime grantedAt{};  // of this epoch
  LogTime expiresAt{};  // later than grantedAt; zero without a holder
  // With a holder: why the lease under the previous epoch ended. Without one: why this epoch's lease ended.
  LeaseChangeReason reason = LeaseChangeReason::vacant;
  Sequence sequence = 0;  // of the holder's last command, as of its last renewal; 0: none known
  bool operator==(const LeaseRecord&) const = default;

  // An expired lease keeps its holder on record until the next grant, but is not held.
  bool isHeldAt(LogTime now) const { return !holder.name.empty() && now < expiresAt; }
};

struct LeaseTableState {
  LogTime logTime{};                           // of the last entry; never decreases
  std::map<LeaseKey, LeaseRecord> records;     // never erased; at most kMaxKeys
  std::map<std::string, Incarnation> members;  // last process that joined, by name; at most kMaxMembers
  FailureHistories failures;
  bool operator==(const LeaseTableState&) const = default;
};

}  // namespace cairnjunction::lease
