// Classes by index, through changes of the settings. An index means one definition for as long as a call
// holds it: a class that changes gets another one, and an index that no class and no call has is given out
// again. No I/O.
#pragma once

#include <cstddef>
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
  // Far more than any deployment has. Bounded since each endpoint keeps a figure for each index.
  static constexpr std::size_t kMaxClasses = 256;

  // The names must differ.
  explicit ClassTable(std::vector<policy::ClassSettings> classes);

  // What the table would be with these classes, whose names must differ. `isHeld` tells whether a call holds
  // an index. Empty if there are more than kMaxClasses with those that are held.
  std::optional<ClassTable> with(const std::vector<policy::ClassSettings>& classes,
                                 const std::function<bool(std::uint32_t)>& isHeld) const;

  // Also those of former settings, whose index is not given out again yet.
  const std::vector<policy::ClassSettings>& byIndex() const { return byIndex_; }
  // The class of an index; null if there is none.
  const policy::ClassSettings* find(std::uint32_t index) const {
    return index < byIndex_.size() ? &byIndex_[index] : nullptr;
  }
  const ClassIndexes& current() const { return current_; }  // the classes of the present settings

 private:
  std::vector<policy::ClassSettings> byIndex_;  // never shrinks
  ClassIndexes current_;                        // each index is one of byIndex_
};

}  // namespace cairnjunction
