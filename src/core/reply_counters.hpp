// Counts replies since construction, by the name of the call's class and by reply status. No I/O.
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
  // Replies to the calls of all classes that have had this name.
  struct Counts {
    std::string className;
    std::uint64_t ok = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

  // Whether `names` further class names can be counted within the limit.
  bool hasCapacityFor(std::size_t names) const;
  // Sets the classes by index. The counts of a name that was counted before continue.
  void setClasses(const std::vector<policy::ClassSettings>& byIndex);
  // Counts a reply; ignored if no class has the index.
  void add(std::uint32_t classIndex, ReplyStatus status);
  const std::vector<Counts>& counts() const { return counts_; }

 private:
  std::vector<Counts> counts_;            // one for each name, in the order of first use
  std::vector<std::size_t> countsIndex_;  // index into counts_, by class index
};

}  // namespace cairnjunction
