// Checks of a run's ledgers against the guarantees; the same for a run that just ended and for a folder on
// disk.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/ledgers.hpp"

namespace cairnjunction::lab {

struct Check {
  std::string name;
  bool held = true;
  std::uint64_t counted = 0;        // operations checked
  std::vector<std::string> broken;  // the first few violations, as text
};

std::vector<Check> judge(const Ledgers& ledgers);
nlohmann::json figures(const Ledgers& ledgers);

// Times without a lease holder, in ms: from the end of one lease to the begin of the next.
struct Gap {
  std::string duty;
  std::int64_t atMs = 0, ms = 0;
  std::string after;  // the fault that isolated the holder, or why it ended the lease
};
std::vector<Gap> gaps(const Ledgers& ledgers);

// A lease as its holder saw it; endMs 0: the holder did not see its end.
struct Span {
  std::string member, duty;
  std::int64_t beginMs = 0, endMs = 0;
  std::uint64_t shard = 0, epoch = 0;
  std::string why = {};  // it ended
};
std::vector<Span> spans(const Ledgers& ledgers);

}  // namespace cairnjunction::lab
