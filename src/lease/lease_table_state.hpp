// What the lease table knows: all of it is in a snapshot, and equal on each coordinator after the same
// entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lease/failure_history.hpp"
#include "lease/lease.hpp"

namespace cairnjunction::lease {

// Bounds on what members can make the log hold: some kB for each, in every snapshot.
inline constexpr std::size_t kKeysMost = 1024;     // a fleet has some tens
inline constexpr std::size_t kMembersMost = 4096;  // past it, one that holds nothing is forgotten

// How the last lease of a key came to its end.
enum class LeaseChangeReason : std::uint8_t {
  vacant,    // there was none
  expired,   // it was not renewed before its end
  released,  // its holder gave it back: it stops, or was asked to
  failed,    // its holder gave it back since it can't do the task
  left       // its holder left the fleet
};
std::string_view nameOf(LeaseChangeReason reason);

// Of one key that was granted at least once.
struct LeaseRecord {
  Epoch epoch = 0;      // of the last grant, from 1; stays when the lease ends, for receivers compare with it
  Member holder;        // granted under this epoch; no name: it gave the key back
  LogTime grantedAt{};  // of this epoch
  LogTime expiresAt{};  // end of the lease, later than grantedAt; without a holder the log's begin
  // How the lease under the previous epoch ended; once the key is given back, how this one did.
  LeaseChangeReason reason = LeaseChangeReason::vacant;
  Sequence sequence = 0;  // of the last command that the holder had sent when it renewed; 0: none is known
  bool operator==(const LeaseRecord&) const = default;

  // Past its end a lease has a holder until the next grant, but counts for nothing.
  bool heldAt(LogTime now) const { return !holder.name.empty() && now < expiresAt; }
};

struct LeaseTableState {
  LogTime logTime{};                           // of the last entry; never goes back
  std::map<LeaseKey, LeaseRecord> records;     // never erased, at most kKeysMost
  std::map<std::string, Incarnation> members;  // by name the process that joined last, at most kMembersMost
  FailureHistories failures;
  bool operator==(const LeaseTableState&) const = default;
};

}  // namespace cairnjunction::lease
