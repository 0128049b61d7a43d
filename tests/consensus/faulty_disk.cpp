#include "consensus/faulty_disk.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <filesystem>
#include <mutex>
#include <optional>

namespace cairnjunction::testing {
namespace {

struct ActiveFault {
  std::string path;  // of a file, or of a folder that contains the files
  bool isFolder;
  DiskFault fault;
  int first;
  int count;
  int calls = 0;  // for the files concerned, failed or not
  int failed = 0;

  bool appliesTo(const std::string& file) const {
    return isFolder ? file.starts_with(path + "/") : file == path;
  }
};

std::mutex mutex;
std::optional<ActiveFault> active;

// Counts a call for the file. Returns the fault if the call must fail.
std::optional<DiskFault> countCall(const std::string& path) {
  const std::lock_guard lock(mutex);
  if (!active || !active->appliesTo(path)) return std::nullopt;
  const int call = active->calls++;
  if (call < active->first || call - active->first >= active->count) return std::nullopt;
  ++active->failed;
  return active->fault;
}

std::optional<DiskFault> countCall(int file) {
  {
    const std::lock_guard lock(mutex);
    if (!active) return std::nullopt;
  }
  std::error_code ignored;
  return countCall(std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(file), ignored).string());
}

int failWith(DiskFault fault) {
  errno = fault == DiskFault::noSpace ? ENOSPC : EIO;
  return -1;
}

template <typename Function>
Function libcFunction(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

void breakDisk(const std::string& folder, DiskFault fault, int first, int count) {
  const std::lock_guard lock(mutex);
  active = ActiveFault{folder, true, fault, first, count};
}

void breakFile(const std::string& path, DiskFault fault) {
  const std::lock_guard lock(mutex);
  active = ActiveFault{path, false, fault, 0, kUntilHealed};
}

void healDisk() {
  const std::lock_guard lock(mutex);
  active.reset();
}

int failedDiskCalls() {
  const std::lock_guard lock(mutex);
  return active ? active->failed : 0;
}

}  // namespace cairnjunction::testing

using cairnjunction::testing::countCall;
using cairnjunction::testing::DiskFault;
using cairnjunction::testing::failWith;
using cairnjunction::testing::libcFunction;

// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): the system's names are reserved ones.
extern "C" int open64(const char* path, int flags, ...) {
  static const auto real = libcFunction<int (*)(const char*, int, ...)>("open64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if ((flags & O_CREAT) != 0)
    if (const auto fault = countCall(std::string(path))) return failWith(*fault);
  return real(path, flags, mode);
}

extern "C" ssize_t pwrite64(int file, const void* bytes, std::size_t size, off64_t offset) {
  static const auto real = libcFunction<ssize_t (*)(int, const void*, std::size_t, off64_t)>("pwrite64");
  const auto fault = countCall(file);
  if (!fault) return real(file, bytes, size, offset);
  if (*fault == DiskFault::shortWrite && size > 1) return real(file, bytes, size / 2, offset);
  return failWith(*fault);
}

extern "C" int ftruncate64(int file, off64_t size) noexcept {
  static const auto real = libcFunction<int (*)(int, off64_t)>("ftruncate64");
  if (const auto fault = countCall(file)) return failWith(*fault);
  return real(file, size);
}

extern "C" int fdatasync(int file) {
  static const auto real = libcFunction<int (*)(int)>("fdatasync");
  if (const auto fault = countCall(file)) return failWith(*fault);
  return real(file);
}
// NOLINTEND(readability-inconsistent-declaration-parameter-name)
