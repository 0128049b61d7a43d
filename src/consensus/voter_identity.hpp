// Identifies a voter by its disk. A voter whose disk was lost, or replaced by an older copy, must not vote,
// because it has lost votes and entries that it had acknowledged.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "consensus/replicated_log.hpp"

namespace cairnjunction::consensus {

// Identifies the disk of a voter, and how recent its content is.
struct VoterMark {
  std::uint64_t incarnation = 0;  // random; generated once, when the voter first starts on its folder
  std::uint64_t startCount = 0;   // number of starts on this folder, from 1
  bool operator==(const VoterMark&) const = default;
};

enum class VoterCheckResult : std::uint8_t {
  accepted,       // the voter was not seen before, or has the same disk with at least as many starts
  differentDisk,  // the incarnation is not the one that was seen: the disk was lost, or is another voter's
  olderDisk       // fewer starts than were seen: the disk was replaced by an older copy
};

// The result of checking the mark that a voter has sent.
struct VoterCheck {
  VoterCheckResult result = VoterCheckResult::accepted;
  int number = 0;      // of the voter that was checked
  VoterMark found;     // the mark that the voter sent
  VoterMark expected;  // the mark last seen of this voter; the same as `found` if it was not seen before
  bool accepted() const { return result == VoterCheckResult::accepted; }
};
// Why the voter must not vote, as text for event logs and for the response to it; empty if it was accepted.
std::string rejectionText(const VoterCheck& check);

class VoterIdentity {
 public:
  // Reads `identity.toml` in the folder, or creates it if the folder is empty, and counts this start, which
  // is on the disk when the constructor returns. Throws LogError if the folder does not exist or belongs to
  // another fleet or voter, or if the file is missing or can't be read or written.
  VoterIdentity(std::string folder, std::string fleet, int number);

  const VoterMark& own() const { return own_; }
  // Compares the mark that another voter has sent with the one last seen of it. An accepted mark is on the
  // disk when the function returns. Throws LogError if the disk fails.
  VoterCheck checkPeer(int number, const VoterMark& found);

 private:
  void read(const std::string& path);
  void write() const;

  const std::string folder_;
  const std::string fleet_;
  const int number_;
  VoterMark own_;
  std::map<int, VoterMark> peers_;  // the mark last seen of each other voter, by number
};

}  // namespace cairnjunction::consensus
