#include "app/fleet_commands.hpp"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <stdexcept>
#include <system_error>

#include "fleet/admin_socket.hpp"

namespace cairnjunction {

using nlohmann::json;

namespace {

constexpr const char* kCoordinatorProgram = "cairnjunction-coordinator";

constexpr int kMemberWidth = 20;
constexpr int kTaskWidth = 16;
constexpr int kNumberWidth = 8;

std::string roleOf(const json& status) {
  if (status.contains("paused")) return "paused, " + status["paused"].get<std::string>();
  if (status["leads"]) return "leads";
  if (status["votes"]) return "votes, keeper " + status["leader"].dump() + " leads";
  return "waits for the other keepers' word";
}

}  // namespace

int fleetStatus(const FleetOptions& options, std::ostream& out) {
  const json status = fleet::queryAdminSocket(options.socket, {{"ask", "status"}});
  if (options.json) {
    out << status.dump(1) << '\n';
    return 0;
  }
  out << "fleet " << status["fleet"].get<std::string>() << ", keeper " << status["keeper"] << ": "
      << roleOf(status) << "\norders passed on " << status["orders_passed_on"] << ", turned away "
      << status["turned_away"] << '\n';
  for (const json& member : status["members"])
    out << "  " << std::left << std::setw(kMemberWidth) << member["name"].get<std::string>() << " owns "
        << member["owns"] << (member["willing"].get<bool>() ? "" : ", takes no duties") << '\n';
  return 0;
}

int fleetLeases(const FleetOptions& options, std::ostream& out) {
  const json leases = fleet::queryAdminSocket(options.socket, {{"ask", "duties"}});
  if (options.json) {
    out << leases.dump(1) << '\n';
    return 0;
  }
  out << std::left << std::setw(kTaskWidth) << "duty" << std::setw(kNumberWidth) << "shard"
      << std::setw(kMemberWidth) << "owner" << std::setw(kNumberWidth) << "epoch"
      << "left ms\n";
  for (const json& row : leases) {
    const std::string holder =
        row["owner"].is_null() ? "(" + row.value("why", "") + ")" : row["owner"].get<std::string>();
    out << std::left << std::setw(kTaskWidth) << row["duty"].get<std::string>() << std::setw(kNumberWidth)
        << row["shard"].dump() << std::setw(kMemberWidth) << holder << std::setw(kNumberWidth)
        << row["epoch"].dump() << row["left_ms"] << '\n';
  }
  return 0;
}

int fleetTransfer(const FleetOptions& options, std::ostream& out) {
  const json answer = fleet::queryAdminSocket(
      options.socket, {{"ask", "hand-over"}, {"duty", options.task}, {"shard", options.shard}});
  if (options.json) out << answer.dump(1) << '\n';
  else out << "its owner was asked to hand over " << options.task << "/" << options.shard << '\n';
  return 0;
}

void execCoordinator(const FleetOptions& options) {
  const std::string program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() / kCoordinatorProgram;
  std::vector<std::string> arguments{program};
  arguments.insert(arguments.end(), options.coordinatorArguments.begin(), options.coordinatorArguments.end());
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  ::execv(program.c_str(), argv.data());
  throw std::runtime_error(program + ": " + std::generic_category().message(errno));
}

FleetCommands::FleetCommands(CLI::App& app) {
  CLI::App* fleet =
      app.add_subcommand("fleet", "coordinators and leases of a fleet (docs/operators/fleet.md)");
  fleet->require_subcommand(1);
  const auto addSocket = [this](CLI::App& command) {
    command.add_option("--socket", options_.socket, "control.sock in the coordinator's folder")->required();
    command.add_flag("--json", options_.json, "for programs");
  };
  const auto addLease = [this, addSocket](CLI::App& command) {
    addSocket(command);
    command.add_option("TASK", options_.task, "")->required();
    command.add_option("--shard", options_.shard, "")->capture_default_str();
  };
  add(*fleet, "status", nullptr, "a coordinator and its members", addSocket,
      [this](std::ostream& out) { return fleetStatus(options_, out); });
  add(*fleet, "leases", "duties", "who holds which lease, under which epoch", addSocket,
      [this](std::ostream& out) { return fleetLeases(options_, out); });
  add(*fleet, "transfer", "hand-over", "ask the holder of a lease to release it", addLease,
      [this](std::ostream& out) { return fleetTransfer(options_, out); });
  add(
      *fleet, "coordinator", "keeper",
      "run a coordinator; its arguments are those of cairnjunction-coordinator",
      [](CLI::App& command) { command.prefix_command(); },
      [this](std::ostream&) -> int { execCoordinator(options_); });
}

void FleetCommands::add(CLI::App& fleet, const char* name, const char* formerName, const char* description,
                        const std::function<void(CLI::App&)>& addOptions, const Run& run) {
  CLI::App* command = fleet.add_subcommand(name, description);
  addOptions(*command);
  command->callback([this, command, run] {
    options_.coordinatorArguments = command->remaining();
    run_ = run;
  });
  if (!formerName) return;
  CLI::App* former = fleet.add_subcommand(formerName, description);
  former->group("");  // hidden from the help
  addOptions(*former);
  former->callback([this, former, name, formerName, run] {
    std::cerr << "cairnjunction fleet " << formerName << " is now cairnjunction fleet " << name << '\n';
    options_.coordinatorArguments = former->remaining();
    run_ = run;
  });
}

}  // namespace cairnjunction
