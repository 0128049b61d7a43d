// Who owns which duty: the state machine on the keepers' log. Each keeper applies the same commands in the
// same order and comes to the same state; time comes with the commands.
//
// What it promises, whatever is applied:
//  - a key has at most one owner, and its epoch grows with each change of hands;
//  - nobody else is granted a key before the log's time has reached the end of the lease of its owner, unless
//    that owner gave it back;
//  - a renewal counts only for the epoch in force and the process that was granted it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

// Bounds on what members can make the log hold: some kB for each, in every snapshot.
inline constexpr std::size_t kKeysMost = 1024;  // duties times shards; a fleet has some tens
inline constexpr std::size_t kMembersMost =
    4096;  // names ever joined; those that hold nothing are forgotten first
inline constexpr std::size_t kRecordsMost = 4096;  // failures by member and duty
inline constexpr std::size_t kNameMost = 128;      // bytes of a name of a member, duty or zone
inline constexpr Duration kLeaseLeast{200}, kLeaseMost{60'000};

// Why a key changed hands, or has no owner.
enum class LeaseChangeReason : std::uint8_t {
  vacant,    // nobody had it
  expired,   // its owner was not heard of until its lease ended
  released,  // its owner gave it back: it stops, or was asked to
  failed,    // its owner gave it back since it can't do it
  left       // its owner left the fleet
};
std::string_view nameOf(LeaseChangeReason why);

struct LeaseRecord {
  Epoch epoch = 0;
  Member holder;                                         // no name: nobody
  LogTime grantedAt{};                                   // of this epoch,
  LogTime expiresAt{};                                   // and end of the lease, by the log's time
  LeaseChangeReason reason = LeaseChangeReason::vacant;  // this owner has it; without one, why not
  Sequence sequence = 0;  // of the last order that the owner told when it renewed; orders before it are old
  bool operator==(const LeaseRecord&) const = default;
  bool heldAt(LogTime now) const { return !holder.name.empty() && now < expiresAt; }
};

// What a member did with a duty, so that one which fails again and again is passed over.
struct FailureHistory {
  std::uint32_t consecutiveFailures = 0;  // on end
  LogTime backoffUntil{};
  bool operator==(const FailureHistory&) const = default;
};

struct MemberJoined {  // a process came under this name; the last one that did has it
  Member member;
  std::string zone;
};
struct LeaseGranted {
  LeaseKey key;
  Member member;
  Duration leaseDuration{};
};
struct LeasesRenewed {
  struct Held {
    LeaseKey key;
    Epoch epoch = 0;
    Sequence sequence = 0;
  };
  Member member;
  std::vector<Held> held;
  Duration leaseDuration{};
};
struct LeaseReleased {
  LeaseKey key;
  Epoch epoch = 0;
  Member member;
  bool failed = false;
};
struct MemberLeft {
  Member member;
};
using Change = std::variant<MemberJoined, LeaseGranted, LeasesRenewed, LeaseReleased, MemberLeft>;

struct LogEntry {
  LogTime now{};  // the leader's count of the log's time; one that is before the log's is taken as the log's
  Change change;
};

enum class RejectionReason : std::uint8_t {
  none,
  heldByAnother,  // by another one whose lease has not ended
  notHolder,      // the epoch is over, or somebody else's
  supplanted,     // another process has joined under this name
  full,           // a bound above
  invalid         // an empty or overlong name, a lease out of range
};
std::string_view nameOf(RejectionReason refusal);

struct ApplyResult {
  RejectionReason rejection = RejectionReason::none;
  std::vector<LeasesRenewed::Held> held;  // granted or renewed, with the epoch in force; sequence as known
};

class LeaseTable {
 public:
  ApplyResult apply(const LogEntry& command);

  LogTime now() const { return now_; }  // of the last command
  const LeaseRecord* find(const LeaseKey& key) const;
  const std::map<LeaseKey, LeaseRecord>& holdings() const { return holdings_; }
  FailureHistory recordOf(const std::string& member, const std::string& duty) const;
  // The process that joined last under this name; 0: none.
  Incarnation incarnationOf(const std::string& member) const;
  std::size_t held(const Member& member, LogTime now) const;  // keys that it owns
  bool operator==(const LeaseTable&) const = default;

  // All of it, and back. restore throws std::invalid_argument on what snapshot didn't write, and then the
  // registry is as it was.
  std::string snapshot() const;
  void restore(std::string_view bytes);

 private:
  ApplyResult on(const MemberJoined& joined);
  ApplyResult on(const LeaseGranted& granted);
  ApplyResult on(const LeasesRenewed& renewed);
  ApplyResult on(const LeaseReleased& released);
  ApplyResult on(const MemberLeft& left);
  void end(const LeaseKey& key, LeaseRecord& holding, LeaseChangeReason why);
  void note(const std::string& member, const std::string& duty, bool failure);
  bool makeRoom();

  LogTime now_{};
  std::map<LeaseKey, LeaseRecord> holdings_;
  std::map<std::string, Incarnation> members_;
  std::map<std::pair<std::string, std::string>, FailureHistory> records_;  // by member and duty
};

// On the log. decode throws std::invalid_argument.
std::string encode(const LogEntry& command);
LogEntry decode(std::string_view bytes);

}  // namespace cairnjunction::lease
