// Classes by index, through changes of the settings. An index means one definition for as long as a call
// holds it: a class that changes gets another one, and an index that no class and no call has is given out
// again. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

using ClassIndexes = std::unordered_map<std::string, std::uint32_t>;  // by name

class ClassTable {
 public:
  // Far more than any deployment has; each host keeps a figure for each.
  static constexpr std::size_t kMost = 256;

  explicit ClassTable(std::vector<policy::ClassSettings> classes);

  // What the table would be with these classes, whose names must differ. `held` tells whether a call holds an
  // index. Nothing, if there are more than kMost with those that are held.
  std::optional<ClassTable> with(const std::vector<policy::ClassSettings>& classes,
                                 const std::function<bool(std::uint32_t)>& held) const;

  const std::vector<policy::ClassSettings>& byIndex() const { return byIndex_; }  // also those that are over
  const ClassIndexes& current() const { return current_; }

 private:
  std::vector<policy::ClassSettings> byIndex_;
  ClassIndexes current_;
};

}  // namespace cairnjunction
