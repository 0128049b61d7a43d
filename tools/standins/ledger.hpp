// What the stand-in workers ran, of all of them together: so that a test or a bench can tell what ran twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace cairnjunction::standins {

class Ledger {
 public:
  // `ref`: what the client calls the work (`ref` in its params, or the call's name).
  void ran(const std::string& method, const std::string& ref) {
    ++runs_;
    if (++times_[method + '\0' + ref] == 2) ++twice_[method];
  }
  std::uint64_t runs() const { return runs_; }
  std::uint64_t ranTwice(const std::string& method) const {
    const auto it = twice_.find(method);
    return it == twice_.end() ? 0 : it->second;
  }

 private:
  std::uint64_t runs_ = 0;
  std::unordered_map<std::string, std::uint64_t> times_, twice_;  // grow with the work: for bounded runs
};

}  // namespace cairnjunction::standins
