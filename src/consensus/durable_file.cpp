#include "consensus/durable_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string_view>
#include <system_error>

namespace cairnjunction::consensus {
namespace {

class FileDescriptor {
 public:
  FileDescriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~FileDescriptor() {
    if (isOpen()) ::close(fd_);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  bool isOpen() const { return fd_ >= 0; }
  // A nearly full disk may accept only a part of the text; the next call of ::write then sets errno.
  bool write(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t written = ::write(fd_, text.data(), text.size());
      if (written <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }
  bool sync() const { return ::fsync(fd_) == 0; }

 private:
  int fd_;
};

std::optional<FileError> writeSynced(const std::string& path, const std::string& text) {
  const FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.isOpen()) return FileError{path, "not opened", errno};
  if (!file.write(text) || !file.sync()) return FileError{path, "not written", errno};
  return std::nullopt;
}

// Makes a rename in the folder durable.
std::optional<FileError> syncFolder(const std::string& folder) {
  const FileDescriptor directory(folder, O_RDONLY | O_DIRECTORY);
  if (!directory.isOpen()) return FileError{folder, "not opened", errno};
  if (!directory.sync()) return FileError{folder, "not synced", errno};
  return std::nullopt;
}

}  // namespace

std::string textOf(const FileError& error) {
  return error.path + ": " + error.step + ": " + std::generic_category().message(error.error);
}

std::optional<FileError> replaceFile(const std::string& folder, const std::string& path,
                                     const std::string& text) {
  const std::string next = path + ".next";
  if (auto error = writeSynced(next, text)) return error;
  if (::rename(next.c_str(), path.c_str()) != 0) return FileError{path, "not replaced", errno};
  return syncFolder(folder);
}

}  // namespace cairnjunction::consensus
