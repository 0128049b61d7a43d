// Where a receiver keeps what its fence has seen, across its own restarts.
#pragma once

#include <map>
#include <string>

#include "duty/fence.hpp"

namespace cairnjunction::fleet {

class FenceFile {
 public:
  // `folder` empty: nothing is kept.
  explicit FenceFile(const std::string& folder);

  bool kept() const { return !path_.empty(); }
  // Whether there is a file; its marks go to `to`. Throws std::runtime_error, with the file's name, if it is
  // there and can't be read: what it knew is lost, and the receiver must not act as if it had known nothing.
  bool read(std::map<duty::Key, duty::Fence::Mark>& to) const;
  // On the disk when it returns true; false: the disk failed, and the order must have no effect.
  bool write(const std::map<duty::Key, duty::Fence::Mark>& marks) const;

 private:
  std::string folder_, path_;
};

}  // namespace cairnjunction::fleet
