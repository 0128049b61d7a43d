// The promises, judged from ledgers alone: the same for a run that just ended and for a folder on disk.
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
  std::uint64_t counted = 0;        // of what it was judged by
  std::vector<std::string> broken;  // the first few, in words
};

std::vector<Check> judge(const Ledgers& ledgers);
nlohmann::json figures(const Ledgers& ledgers);

// Times without an owner of a key, in ms: from the end of one ownership to the begin of the next.
struct Gap {
  std::string duty;
  std::int64_t atMs = 0, ms = 0;
  std::string after;  // the fault that silenced its owner, or why that one ended it
};
std::vector<Gap> gaps(const Ledgers& ledgers);

// An ownership as its member saw it; endMs 0: it did not see its end.
struct Span {
  std::string member, duty;
  std::int64_t beginMs = 0, endMs = 0;
  std::uint64_t shard = 0, epoch = 0;
  std::string why = {};  // it ended
};
std::vector<Span> spans(const Ledgers& ledgers);

}  // namespace cairnjunction::lab
