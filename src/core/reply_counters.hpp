// Replies since the start, by the name of the call's class and by status. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/reply.hpp"

namespace cairnjunction {

class ReplyCounters {
 public:
  struct Counts {  // of all classes that have had this name
    std::string className;
    std::uint64_t ok = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

  // Whether so many names more may be counted.
  bool hasRoomFor(std::size_t names) const;
  // The classes by index from now on. Names that were counted before go on from their counts.
  void setClasses(const std::vector<policy::ClassSettings>& byIndex);
  // Ignored for an index that no class has.
  void add(std::uint32_t classIndex, ReplyStatus status);
  const std::vector<Counts>& counts() const { return counts_; }

 private:
  std::vector<Counts> counts_;             // one for each name, in the order of their first use
  std::vector<std::size_t> countOfClass_;  // index into counts_, by index of the class
};

}  // namespace cairnjunction
