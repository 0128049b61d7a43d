// Disk fault injection for tests. The libc functions with which SQLite changes files are replaced for the
// whole test program. They can be made to fail for the files in one folder, or for one file. Thread-safe.
#pragma once

#include <limits>
#include <string>

namespace cairnjunction::testing {

// Errno ENOSPC, errno EIO, or a write of half the bytes (other calls, and writes of one byte, fail with EIO).
enum class DiskFault { noSpace, ioError, shortWrite };

// As `count` of breakDisk(): all calls fail until healDisk().
inline constexpr int kUntilHealed = std::numeric_limits<int>::max();

// Makes `count` calls for files in the folder fail, starting with the call number `first`, counted from 0 at
// this call of breakDisk(). Replaces an earlier fault.
void breakDisk(const std::string& folder, DiskFault fault, int first = 0, int count = kUntilHealed);
// Makes every call for this file fail. Replaces an earlier fault.
void breakFile(const std::string& path, DiskFault fault);
// Removes the fault; resets failedDiskCalls() to 0.
void healDisk();
// Number of calls that have failed since breakDisk() or breakFile(); 0 after healDisk().
int failedDiskCalls();

}  // namespace cairnjunction::testing
