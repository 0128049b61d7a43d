// What the gateway reports of itself, and the text in which operators read it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cairnjunction::admin {

struct ClassFigures {  // counts since the process started
  std::string name;
  std::uint64_t success = 0;   // served
  std::uint64_t overload = 0;  // refused: the same again does no harm
  std::uint64_t error = 0;     // failed
};

struct Figures {
  std::vector<ClassFigures> classes;
  std::uint64_t dispatches = 0;                             // attempts written whole to hosts
  std::size_t concurrent = 0;                               // requests taken and not ended
  std::size_t targets = 0;                                  // hosts in the list,
  std::size_t targetsDisabled = 0;                          // and those of them to which nothing is sent now
  std::vector<std::pair<std::string, std::uint64_t>> more;  // of parts that are on; by name
  std::uint64_t reloadSuccess = 0, reloadFailure = 0;       // files taken and turned down at SIGHUP
};

// A line `name=value` for each figure, each ended by LF. A byte of a class's name that would end a name or a
// line is written as `_`.
std::string reportText(const Figures& figures);

}  // namespace cairnjunction::admin
