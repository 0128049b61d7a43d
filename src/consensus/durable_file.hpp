// Atomic, durable replacement of a small file: after a crash it has either the old or the new content.
#pragma once

#include <optional>
#include <string>

namespace cairnjunction::consensus {

struct FileError {
  std::string path;  // of the file or folder on which the step failed
  const char* step;  // the step that failed, as in "not written"
  int error;         // errno
};
// "PATH: STEP: TEXT OF ERRNO"
std::string textOf(const FileError& error);

// Replaces `path`, a file in `folder`, by a file with the content `text`. Blocks for the disk. Returns
// nothing once the file and its folder entry are on the disk, or the error, after which the file may have its
// old content.
std::optional<FileError> replaceFile(const std::string& folder, const std::string& path,
                                     const std::string& text);

}  // namespace cairnjunction::consensus
