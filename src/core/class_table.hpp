// Request classes by index, across changes of the settings. An index keeps its definition as long as an open
// call uses it: a class whose definition changes gets another index. An index that neither a current class
// nor an open call uses is reused. No I/O.
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

using ClassIndexes = std::unordered_map<std::string, std::uint32_t>;  // class index by class name

class ClassTable {
 public:
  // Far more than any deployment uses. Bounded since each endpoint stores a value for each index.
  static constexpr std::size_t kMaxClasses = 256;

  // The names of the classes must differ.
  explicit ClassTable(std::vector<policy::ClassSettings> classes);

  // Returns the table for new settings with `classes`, whose names must differ. `isInUse` returns whether an
  // open call uses an index. Empty if the new classes and the indexes in use exceed kMaxClasses.
  std::optional<ClassTable> withClasses(const std::vector<policy::ClassSettings>& classes,
                                        const std::function<bool(std::uint32_t)>& isInUse) const;

  // Includes classes of former settings whose index has not been reused yet.
  const std::vector<policy::ClassSettings>& byIndex() const { return byIndex_; }
  // The class with the index; null if there is none.
  const policy::ClassSettings* find(std::uint32_t index) const {
    return index < byIndex_.size() ? &byIndex_[index] : nullptr;
  }
  const ClassIndexes& current() const { return current_; }  // the classes of the current settings

 private:
  std::vector<policy::ClassSettings> byIndex_;  // never shrinks
  ClassIndexes current_;                        // the values are indexes into byIndex_
};

}  // namespace cairnjunction
