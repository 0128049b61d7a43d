// A small file that is replaced whole.
#include "consensus/durable_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace cairnjunction::consensus {
namespace {

std::string failed(const std::string& path, const char* what, int error) {
  return path + ": " + what + ": " + std::strerror(error);
}

}  // namespace

std::string replaceFile(const std::string& folder, const std::string& path, const std::string& text) {
  const std::string next = path + ".next";
  const int file = ::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return failed(next, "not opened", errno);
  const bool written =
      ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && ::fsync(file) == 0;
  const int error = errno;
  ::close(file);
  if (!written) return failed(next, "not written", error);
  if (::rename(next.c_str(), path.c_str()) != 0) return failed(path, "not replaced", errno);
  const int directory = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory < 0) return failed(folder, "not opened", errno);
  const bool synced = ::fsync(directory) == 0;
  const int why = errno;
  ::close(directory);
  return synced ? std::string() : failed(folder, "not synced", why);
}

}  // namespace cairnjunction::consensus
