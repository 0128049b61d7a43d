// The lease table: the state machine that is replicated by the coordinators' log. Each coordinator applies
// the same entries in the same order and reaches the same state. It reads no clock: time is part of the
// entries.
//
// Guarantees for any sequence of entries (checked by LeaseTableInvariants):
//  - a key has at most one holder, and its epoch grows with each grant;
//  - a key is granted again only after the log's time has reached the end of its lease, or after its holder
//    released it or left;
//  - a renewal extends a lease only if it names the current epoch and is sent by the process that holds it.
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

// Why an entry, or one key of a renewal, was rejected. A rejected entry changes nothing but the log's time.
enum class RejectionReason : std::uint8_t {
  none,              // not rejected
  alreadyHeld,       // grant: the key's current lease, of any member, has not ended
  notHolder,         // renewal, release: the member does not hold the key under the epoch that it names
  staleIncarnation,  // grant, renewal: the process is not the last one that joined under its name
  tableFull,         // join: kMaxMembers members that all hold leases; grant: kMaxKeys keys
  invalid            // empty or too long name, no incarnation, lease duration out of range
};
// For logs and answers to operators.
std::string_view nameOf(RejectionReason reason);

struct ApplyResult {
  RejectionReason rejection = RejectionReason::none;
  // The leases that were granted or renewed, with their epoch and the last known sequence. A renewal may list
  // leases here and also have a rejection, which then concerns its other keys.
  std::vector<LeasesRenewed::HeldKey> held;
};

class LeaseTable {
 public:
  // Applies an entry at its time, or at the table's time if that is later. Nothing is thrown: invalid values
  // are rejected like any other entry that can't be applied.
  ApplyResult apply(const LogEntry& entry);

  LogTime now() const { return state_.logTime; }  // of the last entry
  // Null: the key was never granted. Valid until the next apply() or restore().
  const LeaseRecord* find(const LeaseKey& key) const;
  // Of all keys that were granted at least once.
  const std::map<LeaseKey, LeaseRecord>& records() const { return state_.records; }
  // Of the member at the task; empty if there was no failure.
  FailureHistory failureHistory(const std::string& member, const std::string& task) const;
  // The last process that joined under this name; 0: none, or it left or was evicted.
  Incarnation incarnationOf(const std::string& member) const;
  // The number of leases that the member holds at `now`.
  std::size_t countHeldBy(const Member& member, LogTime now) const;
  const LeaseTableState& state() const { return state_; }
  bool operator==(const LeaseTable&) const = default;

  std::string snapshot() const;  // the whole state, encoded
  // Replaces the state by an encoded one. Throws std::invalid_argument, and leaves the table unchanged, if
  // the bytes are not a valid snapshot.
  void restore(std::string_view bytes);

 private:
  ApplyResult applyChange(const MemberJoined& joined);
  ApplyResult applyChange(const LeaseGranted& granted);
  ApplyResult applyChange(const LeasesRenewed& renewed);
  ApplyResult applyChange(const LeaseReleased& released);
  ApplyResult applyChange(const MemberLeft& left);
  void endLease(const LeaseKey& key, LeaseRecord& record, LeaseChangeReason reason);
  // Evicts a member without leases if the table is full. False: all members hold leases.
  bool ensureMemberCapacity();

  LeaseTableState state_;
};

}  // namespace cairnjunction::lease
