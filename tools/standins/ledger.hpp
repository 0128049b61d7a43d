// What the stand-in workers ran, of all of them together: so that a test or a bench can tell what ran twice.
#pragma once

#include <time.h>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace cairnjunction::standins {

class Ledger {
 public:
  // From now on a line for each call that comes to a worker, and for each that is run. Both have the time
  // since the machine's boot in ms.
  void write(const std::string& path) { file_.open(path, std::ios::app); }
  void came(unsigned short port, const std::string& method, const std::string& ref) {
    if (file_.is_open()) line("came", method, ref, port);
  }
  // `ref`: what the client calls the work (`ref` in its params, or the call's name).
  void ran(const std::string& method, const std::string& ref) {
    ++runs_;
    if (file_.is_open()) line("ran", method, ref, 0);
    if (++times_[method + '\0' + ref] == 2) ++twice_[method];
  }
  std::uint64_t runs() const { return runs_; }
  std::uint64_t ranTwice(const std::string& method) const {
    const auto it = twice_.find(method);
    return it == twice_.end() ? 0 : it->second;
  }
  // How often a piece of work was run.
  std::uint64_t timesRun(const std::string& method, const std::string& ref) const {
    const auto it = times_.find(method + '\0' + ref);
    return it == times_.end() ? 0 : it->second;
  }

 private:
  void line(const char* event, const std::string& method, const std::string& ref, unsigned short port) {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    file_ << event << ' ' << now.tv_sec * 1000 + now.tv_nsec / 1'000'000 << ' ' << port << ' ' << method
          << ' ' << (ref.empty() ? "-" : ref) << '\n'
          << std::flush;
  }

  std::ofstream file_;
  std::uint64_t runs_ = 0;
  std::unordered_map<std::string, std::uint64_t> times_, twice_;  // grow with the work: for bounded runs
};

}  // namespace cairnjunction::standins
