// Where a receiver of commands stores the marks of its fencing gate, across restarts of its process. A JSON
// file, replaced whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "fleet/messages.hpp"

namespace cairnjunction::fleet {

class FencingFile {
 public:
  enum class WriteResult : std::uint8_t {
    durable,  // the marks are on the disk
    failed    // they may not be: the command that moved them must have no effect
  };

  // `folder` empty: nothing is stored.
  explicit FencingFile(const std::string& folder);

  // Whether there is a folder to store marks in.
  bool isEnabled() const { return !path_.empty(); }
  // Empty if there is no file yet. Throws std::runtime_error, with the file's name, if there is one that
  // can't be read: its marks are lost, and the receiver must not go on as if there had been none.
  std::optional<FencingMarks> read() const;
  // Blocks for the disk. `durable` at once if nothing is stored.
  [[nodiscard]] WriteResult write(const FencingMarks& marks) const;

 private:
  std::string folder_;
  std::string path_;  // of the file in folder_; empty: nothing is stored
};

}  // namespace cairnjunction::fleet
