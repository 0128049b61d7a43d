// Who holds which lease: the state machine on the coordinators' log. Each coordinator applies the same
// entries in the same order and comes to the same state; time comes with the entries.
//
// What it promises, whatever is applied (checked by LeaseTableInvariants):
//  - a key has at most one holder, and its epoch grows with each grant;
//  - no other member is granted a key before the log's time has reached the end of its lease, unless the
//    holder released it;
//  - a renewal counts only for the epoch in force and the process that was granted it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lease/lease.hpp"
#include "lease/lease_table_state.hpp"
#include "lease/log_entry.hpp"

namespace cairnjunction::lease {

// Why an entry, or a part of a renewal, changed nothing.
enum class RejectionReason : std::uint8_t {
  none,           // it was applied
  heldByAnother,  // grant: the key's lease has not ended, whoever holds it
  notHolder,      // renewal, release: the member does not hold a key under the epoch that it names
  supplanted,     // grant, renewal: the process is not the last one that joined under its name
  full,           // join, grant: kMembersMost members that hold something, or kKeysMost keys
  invalid         // an empty or overlong name, no incarnation, a lease out of range
};
std::string_view nameOf(RejectionReason reason);

struct ApplyResult {
  RejectionReason rejection = RejectionReason::none;
  // What was granted or renewed, with the epoch in force and the sequence as known. A renewal may have both
  // these and, for its other keys, a rejection.
  std::vector<LeasesRenewed::Held> held;
};

class LeaseTable {
 public:
  ApplyResult apply(const LogEntry& entry);

  LogTime now() const { return state_.logTime; }  // of the last entry
  // Null: the key was never granted. Good until the next apply or restore.
  const LeaseRecord* find(const LeaseKey& key) const;
  const std::map<LeaseKey, LeaseRecord>& holdings() const { return state_.records; }
  FailureHistory failureHistory(const std::string& member, const std::string& task) const;
  // The process that joined last under this name; 0: none.
  Incarnation incarnationOf(const std::string& member) const;
  // How many keys the member holds at `now`.
  std::size_t held(const Member& member, LogTime now) const;
  const LeaseTableState& state() const { return state_; }
  bool operator==(const LeaseTable&) const = default;

  // All of the state as bytes, and back. restore throws std::invalid_argument on what snapshot didn't write,
  // and leaves the table as it was.
  std::string snapshot() const;
  void restore(std::string_view bytes);

 private:
  ApplyResult applyChange(const MemberJoined& joined);
  ApplyResult applyChange(const LeaseGranted& granted);
  ApplyResult applyChange(const LeasesRenewed& renewed);
  ApplyResult applyChange(const LeaseReleased& released);
  ApplyResult applyChange(const MemberLeft& left);
  void endLease(const LeaseKey& key, LeaseRecord& record, LeaseChangeReason reason);
  bool makeRoomForMember();

  LeaseTableState state_;
};

}  // namespace cairnjunction::lease
