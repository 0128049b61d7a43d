// Where a receiver keeps what its fence has seen, across its own restarts.
#pragma once

#include <map>
#include <string>

#include "lease/fencing_gate.hpp"

namespace cairnjunction::fleet {

class FencingFile {
 public:
  // `folder` empty: nothing is kept.
  explicit FencingFile(const std::string& folder);

  bool kept() const { return !path_.empty(); }
  // Whether there is a file; its marks go to `to`. Throws std::runtime_error, with the file's name, if it is
  // there and can't be read: what it knew is lost, and the receiver must not act as if it had known nothing.
  bool read(std::map<lease::LeaseKey, lease::FencingGate::FencingMark>& to) const;
  // On the disk when it returns true; false: the disk failed, and the order must have no effect.
  bool write(const std::map<lease::LeaseKey, lease::FencingGate::FencingMark>& marks) const;

 private:
  std::string folder_, path_;
};

}  // namespace cairnjunction::fleet
