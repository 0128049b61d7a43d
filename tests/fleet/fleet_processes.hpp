// Fixture for tests with three coordinators as processes and members within the test's process, on loopback.
#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/admin_socket.hpp"
#include "fleet/member.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {

inline std::string coordinatorProgram;  // path of the coordinator's program; set by main

class CoordinatorProcess {
 public:
  CoordinatorProcess(const std::string& file, int number, const std::string& folder) {
    std::vector<std::string> arguments{coordinatorProgram,
                                       file,
                                       "--number",
                                       std::to_string(number),
                                       "--dir",
                                       folder,
                                       "--log",
                                       folder + ".log",
                                       "--snapshot-every",
                                       "64"};
    std::vector<char*> argv;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, (folder + ".err").c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     0600);
    EXPECT_EQ(posix_spawn(&pid_, coordinatorProgram.c_str(), &actions, nullptr, argv.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  ~CoordinatorProcess() { end(SIGKILL); }
  void signal(int which) { ::kill(pid_, which); }
  // Sends the signal `which` unless it is 0 and waits for the process to end. Returns its exit code, the
  // negated number of the signal that ended it, or -1 if it was ended before.
  int end(int which) {
    if (pid_ <= 0) return -1;
    if (which) ::kill(pid_, which);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  int exitCode() { return end(0); }  // waits until the process ends by itself

 private:
  pid_t pid_ = 0;
};

class FleetTest : public LoopTest {
 protected:
  const std::string dir = ::testing::TempDir() + "fleet_" + std::to_string(::getpid()) + "/";
  std::vector<unsigned short> ports;
  std::vector<std::unique_ptr<ReservedPort>> reserved;              // keep the ports reserved during the test
  std::map<int, std::unique_ptr<CoordinatorProcess>> coordinators;  // by number
  std::vector<std::unique_ptr<fleet::EventLog>> eventLogs;          // outlive the members that use them
  struct Observed {  // leases and commands as observed by one member
    std::set<lease::LeaseKey> leases;
    std::vector<fleet::Command> commands;
  };
  std::map<std::string, Observed> observed;
  std::map<std::string, std::unique_ptr<fleet::Member>> members;
  const lease::LeaseKey list{"list", 0};

  void SetUp() override {
    std::filesystem::create_directories(dir);
    // Below the ephemeral port range, so that no connection of another test is given a port while a
    // coordinator restarts and has to bind it again.
    static unsigned short next = 11000;
    while (ports.size() < 6) {
      auto port = std::make_unique<ReservedPort>(io, next++);
      if (!port->held()) continue;
      ports.push_back(port->endpoint.port());
      reserved.push_back(std::move(port));
    }
    std::ofstream(dir + "fleet.toml") << fileText();
  }
  void TearDown() override {
    members.clear();
    coordinators.clear();
    if (!HasFailure()) std::filesystem::remove_all(dir);
  }
  // The fleet file's text.
  std::string fileText(const std::string& fleet = "yard") const {
    std::string text = "fleet = \"" + fleet +
                       "\"\nbeat_ms = 200\nalone_after_ms = 800\nsettle_ms = 200\nelection_ms = 200\n";
    for (std::size_t i = 0; i < 3; ++i)
      text += "[[keeper]]\nnumber = " + std::to_string(i + 1) +
              "\naddress = \"127.0.0.1:" + std::to_string(ports[i]) +
              "\"\nraft = \"127.0.0.1:" + std::to_string(ports[3 + i]) + "\"\n";
    return text +
           "[[duty]]\nname = \"list\"\nlease_ms = 800\n[[duty]]\nname = \"probe\"\nshards = 6\nlease_ms = "
           "800\n";
  }
  std::string folder(int number) const { return dir + "k" + std::to_string(number); }
  void startCoordinator(int number) {
    std::filesystem::create_directories(folder(number));
    coordinators[number] = std::make_unique<CoordinatorProcess>(dir + "fleet.toml", number, folder(number));
  }
  void startCoordinators() {
    for (int i = 1; i <= 3; ++i) startCoordinator(i);
  }
  // Starts a member. `extra` is appended to the fleet file's text.
  fleet::Member& join(const std::string& name, const std::string& extra = "",
                      const std::string& fleet = "yard") {
    const fleet::Settings settings = fleet::parseSettings(fileText(fleet) + extra, "test");
    const auto& eventLog = eventLogs.emplace_back(
        std::make_unique<fleet::EventLog>(dir + name + ".log", fleet::EventLog::Role::member, name));
    Observed& memberObserved = observed[name] = {};
    fleet::Member::Events events;
    events.onLeaseChange = [&memberObserved](const lease::LeaseKey& key, bool holds) {
      if (holds) memberObserved.leases.insert(key);
      else memberObserved.leases.erase(key);
    };
    events.onCommand = [&memberObserved](const fleet::Command& command) {
      memberObserved.commands.push_back(command);
    };
    members[name] = std::make_unique<fleet::Member>(io, settings, name, events, *eventLog);
    return *members[name];
  }
  // Name of the lease holder as the members observe it; empty if there is none.
  std::string holder(const lease::LeaseKey& key) const {
    for (const auto& [name, member] : members)
      if (observed.at(name).leases.count(key) && member->holds(key)) return name;
    return {};
  }
  tcp::endpoint address(int number) const { return loopback(ports[static_cast<std::size_t>(number - 1)]); }
  // Whether the coordinator answers at its admin socket. Blocks.
  bool answers(int number) const {
    try {
      fleet::queryAdminSocket(folder(number) + "/control.sock", {{"ask", "status"}});
      return true;
    } catch (const std::runtime_error&) {
      return false;
    }
  }
  // Number of the coordinator that leads; 0 if there is none. Blocks on the admin sockets.
  int leader() const {
    for (const auto& [number, coordinator] : coordinators) try {
        if (fleet::queryAdminSocket(folder(number) + "/control.sock", {{"ask", "status"}})["leads"])
          return number;
      } catch (const std::runtime_error&) {  // the coordinator is not running
      }
    return 0;
  }
  std::string text(const std::string& path) const {
    std::ifstream file(path);
    std::ostringstream all;
    all << file.rdbuf();
    return all.str();
  }
};

}  // namespace cairnjunction::testing
