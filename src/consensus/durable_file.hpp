// A small file that is replaced whole: after a crash it is the old one or the new one.
#pragma once

#include <optional>
#include <string>

namespace cairnjunction::consensus {

struct FileError {
  std::string path;  // of the file or folder that it came from
  const char* step;  // what was not done with it, as in "not written"
  int error;         // errno
};
std::string textOf(const FileError& error);

// Replaces `path`, which is in `folder`, by a file with this text. Without an error both are on the disk when
// it returns; with one the old file may be there still. Blocks for the disk.
std::optional<FileError> replaceFile(const std::string& folder, const std::string& path,
                                     const std::string& text);

}  // namespace cairnjunction::consensus
