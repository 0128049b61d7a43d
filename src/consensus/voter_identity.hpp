// Who a keeper is, by its disk: so that one that lost its disk, or was given an older copy of it, is not
// taken for the one that voted with it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "consensus/replicated_log.hpp"

namespace cairnjunction::consensus {

struct VoterMark {
  std::uint64_t incarnation = 0;  // drawn once, with the folder
  std::uint64_t startCount = 0;   // of the keeper's process over this folder
  bool operator==(const VoterMark&) const = default;
};

class VoterIdentity {
 public:
  // Reads the folder's file `identity.toml`, or makes it for a new folder, and counts this start: it is on
  // the disk when this returns. Throws BadLog: no folder, another fleet's or keeper's, a file that can't be
  // read or written.
  VoterIdentity(const std::string& folder, const std::string& fleet, int number);

  const VoterMark& own() const { return own_; }
  // What another keeper tells of itself. Empty: it is who it was, and that is on the disk now. Otherwise why
  // it must not vote. Throws BadLog if the disk fails.
  std::string checkPeer(int number, const VoterMark& told);

 private:
  void write() const;

  std::string folder_, fleet_;
  int number_;
  VoterMark own_;
  std::map<int, VoterMark> peers_;
};

}  // namespace cairnjunction::consensus
