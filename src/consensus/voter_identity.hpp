// Identifies a voter by its disk: one whose disk was lost, or replaced by an older copy, must not vote, since
// it has forgotten votes and entries that it had acknowledged.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "consensus/replicated_log.hpp"

namespace cairnjunction::consensus {

struct VoterMark {
  std::uint64_t incarnation = 0;  // drawn once, with the folder
  std::uint64_t startCount = 0;   // of the voter's process over this folder, from 1
  bool operator==(const VoterMark&) const = default;
};

enum class VoterCheckResult : std::uint8_t {
  accepted,       // it was not seen before, or has the disk that it had, as it was seen last or later
  differentDisk,  // its incarnation is not the one that was seen: its disk was lost, or is another voter's
  olderDisk       // it comes with fewer starts than were seen: an older copy of its disk
};

// What came of the mark that a voter tells of itself.
struct VoterCheck {
  VoterCheckResult result = VoterCheckResult::accepted;
  int number = 0;      // of the voter that was checked
  VoterMark found;     // what it told
  VoterMark expected;  // what was seen of it last; of one that was not seen before, the same as found
  bool accepted() const { return result == VoterCheckResult::accepted; }
};
// Why it must not vote, as the other voters' logs and answers have it; empty for one that was accepted.
std::string rejectionText(const VoterCheck& check);

class VoterIdentity {
 public:
  // Reads the folder's file `identity.toml`, or makes it for an empty folder, and counts this start: it is on
  // the disk when this returns. Throws LogError: no folder, another fleet's or voter's, a file that is
  // missing or can't be read or written.
  VoterIdentity(std::string folder, std::string fleet, int number);

  const VoterMark& own() const { return own_; }
  // Compares what another voter tells of itself with what was seen of it. If accepted, that is on the disk
  // when it returns. Throws LogError if the disk fails.
  VoterCheck checkPeer(int number, const VoterMark& told);

 private:
  void read(const std::string& path);
  void write() const;

  const std::string folder_;
  const std::string fleet_;
  const int number_;
  VoterMark own_;
  std::map<int, VoterMark> peers_;  // what was seen last, by number; on the disk
};

}  // namespace cairnjunction::consensus
