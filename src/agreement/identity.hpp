// Who a keeper is, by its disk: so that one that lost its disk, or was given an older copy of it, is not
// taken for the one that voted with it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "agreement/log.hpp"

namespace cairnjunction::agreement {

struct Mark {
  std::uint64_t incarnation = 0;  // drawn once, with the folder
  std::uint64_t starts = 0;       // of the keeper's process over this folder
  bool operator==(const Mark&) const = default;
};

class Identity {
 public:
  // Reads the folder's file `identity.toml`, or makes it for a new folder, and counts this start: it is on
  // the disk when this returns. Throws BadLog: no folder, another fleet's or keeper's, a file that can't be
  // read or written.
  Identity(const std::string& folder, const std::string& fleet, int number);

  const Mark& own() const { return own_; }
  // What another keeper tells of itself. Empty: it is who it was, and that is on the disk now. Otherwise why
  // it must not vote. Throws BadLog if the disk fails.
  std::string judge(int number, const Mark& told);

 private:
  void write() const;

  std::string folder_, fleet_;
  int number_;
  Mark own_;
  std::map<int, Mark> peers_;
};

}  // namespace cairnjunction::agreement
