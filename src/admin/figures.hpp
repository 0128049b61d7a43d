// The gateway's metrics, and their text format for operators. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cairnjunction::admin {

// Replies of one request class, counted since the process started.
struct ClassFigures {
  std::string name;            // of the request class
  std::uint64_t success = 0;   // served
  std::uint64_t overload = 0;  // rejected: answered without an effect, safe to repeat
  std::uint64_t error = 0;     // failed: the outcome may be unknown
};

struct Figures {
  std::vector<ClassFigures> classes;
  std::uint64_t dispatches = 0;                             // attempts written completely to endpoints
  std::size_t concurrent = 0;                               // requests accepted that have not ended
  std::size_t targets = 0;                                  // endpoints in the list
  std::size_t targetsDisabled = 0;                          // of those, endpoints that get no requests now
  std::vector<std::pair<std::string, std::uint64_t>> more;  // further metrics: name without prefix, and value
  std::uint64_t reloadSuccess = 0, reloadFailure = 0;       // configurations accepted and rejected at SIGHUP
};

// Returns a line `name=value` for each metric, each ended by LF. In names of request classes, blanks, control
// characters, bytes above ASCII and `=` are replaced by `_`.
std::string reportText(const Figures& figures);

}  // namespace cairnjunction::admin
