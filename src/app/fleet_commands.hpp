// `cairnjunction fleet ...`: what operators ask of a coordinator on its machine, and starting a coordinator.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace cairnjunction {

struct FleetOptions {
  std::string socket;  // the coordinator's admin socket: control.sock in its folder
  bool json = false;   // the answer as it comes, for programs
  std::string task;    // the lease to transfer, with its shard
  unsigned shard = 0;
  std::vector<std::string> coordinatorArguments;  // for the coordinator's program
};

// Each writes the answer to `out` and returns the exit code. Throws std::runtime_error if there is no answer,
// or an error.
int fleetStatus(const FleetOptions& options, std::ostream& out);
int fleetLeases(const FleetOptions& options, std::ostream& out);
int fleetTransfer(const FleetOptions& options, std::ostream& out);

// Replaces this process by the coordinator's program, which lies beside this one. Throws std::runtime_error
// if it can't be started.
[[noreturn]] void execCoordinator(const FleetOptions& options);

// The subcommand `fleet` of the command line. Former names of its commands still work: they are not in the
// help, and say on standard error what the name is now.
class FleetCommands {
 public:
  // Adds them to `app`, which outlives this.
  explicit FleetCommands(CLI::App& app);
  FleetCommands(const FleetCommands&) = delete;
  FleetCommands& operator=(const FleetCommands&) = delete;

  // After the command line was parsed: whether it has one of them.
  bool isChosen() const { return static_cast<bool>(run_); }
  // Only if one is chosen. Returns the exit code; throws std::runtime_error.
  int run(std::ostream& out) const { return run_(out); }

 private:
  using Run = std::function<int(std::ostream&)>;
  // Adds one command under its name and, hidden, its former name; null: it has none. `addOptions` is given
  // each.
  void add(CLI::App& fleet, const char* name, const char* formerName, const char* description,
           const std::function<void(CLI::App&)>& addOptions, const Run& run);

  FleetOptions options_;
  Run run_;  // the chosen command; empty: none
};

}  // namespace cairnjunction
