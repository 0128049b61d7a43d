// A disk that fails when a test says so: the calls with which SQLite changes a file, replaced for the whole
// test program, fail for the files of one folder, or for one file.
#pragma once

#include <limits>
#include <string>

namespace cairnjunction::testing {

enum class DiskFault { noSpace, ioError, shortWrite };

inline constexpr int kUntilHealed = std::numeric_limits<int>::max();

// From the call `first` on, counted from 0 and from now, `count` calls fail.
void breakDisk(const std::string& folder, DiskFault fault, int first = 0, int count = kUntilHealed);
// Every call fails for this file, and no other.
void breakFile(const std::string& path, DiskFault fault);
void healDisk();
// Calls that have failed since breakDisk().
int failedDiskCalls();

}  // namespace cairnjunction::testing
