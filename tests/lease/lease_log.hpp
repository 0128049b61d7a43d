// A lease table together with the log's time, and constants shared by the tests of the package.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "lease/lease_assigner.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::lease::testing {

inline const LeaseKey kList{"list", 0};
inline const Member kMemberA{"a", 1};
inline const Member kMemberB{"b", 2};
inline constexpr Duration kLease{3000};

inline LogTime logTime(std::int64_t milliseconds) { return LogTime(Duration(milliseconds)); }
inline BootTime bootTime(std::int64_t milliseconds) { return BootTime(Duration(milliseconds)); }

// Applies each change at the time `at`, which the test advances.
struct LeaseLog : LeaseTable {
  LogTime at = logTime(1000);
  ApplyResult operator()(Change change) { return apply({at, std::move(change)}); }
};

// Joins `count` members, named m0, m1 and so on.
inline std::vector<Candidate> joinedCandidates(LeaseLog& log, int count) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < count; ++i) {
    candidates.push_back({{"m" + std::to_string(i), 1}});
    log(MemberJoined{candidates.back().member, ""});
  }
  return candidates;
}

}  // namespace cairnjunction::lease::testing
