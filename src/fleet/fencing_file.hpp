// Stores the marks of a receiver's fencing gate across restarts, in a JSON file that is replaced atomically.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "fleet/messages.hpp"

namespace cairnjunction::fleet {

class FencingFile {
 public:
  enum class WriteResult : std::uint8_t {
    durable,  // the marks are on the disk, or storage is disabled
    failed    // the marks may not be on the disk: the command that raised a mark must not be applied
  };

  // An empty `folder` disables storage.
  explicit FencingFile(const std::string& folder);

  // Whether marks are stored.
  bool isEnabled() const { return !path_.empty(); }
  // Returns nothing if storage is disabled or the file can't be opened, as before the first write. Throws
  // std::runtime_error, with the file's name, if the file can't be parsed: its marks are lost, and the
  // receiver must not continue as if there had been none.
  std::optional<FencingMarks> read() const;
  // Blocks until the marks are on the disk or writing has failed. Returns `durable` at once if storage is
  // disabled.
  [[nodiscard]] WriteResult write(const FencingMarks& marks) const;

 private:
  std::string folder_;
  std::string path_;  // of the file in folder_; empty if storage is disabled
};

}  // namespace cairnjunction::fleet
