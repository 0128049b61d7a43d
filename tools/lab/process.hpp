// A process that the lab started: its signals, its end, its output in a file.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cairnjunction::lab {

class Process {
 public:
  // Output and errors are appended to `output`; `environment` comes before the lab's own. Throws
  // std::runtime_error if it can't be started.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& output,
          bool withInput = false, const std::vector<std::string>& environment = {});
  ~Process();  // SIGKILL, and waits
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int which) const;
  bool running();                           // reaps it if it has ended
  int wait();                               // for its end: the exit code, or minus the signal
  void say(const std::string& line) const;  // to its input
  void limitFiles(bool full) const;         // its files can't grow, or may again
  std::int64_t cpuMs() const;               // of processor time so far; 0 if it has ended
  pid_t id() const { return pid_; }
  int code() const { return code_; }

 private:
  pid_t pid_ = 0;
  int input_ = -1;
  int code_ = 0;
};

}  // namespace cairnjunction::lab
