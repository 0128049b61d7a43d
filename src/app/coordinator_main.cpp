// The coordinator's program: one of three or five that hold the fleet's log. An executable of its own, so
// that the gateway carries neither the consensus library nor its event loop.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <variant>

#include "consensus/raft_log.hpp"
#include "consensus/voter_identity.hpp"
#include "fleet/admin_request.hpp"
#include "fleet/admin_socket.hpp"
#include "fleet/coordinator.hpp"
#include "fleet/voter_handshake.hpp"

namespace {

using namespace cairnjunction;
using nlohmann::json;

constexpr const char* kProgram = "cairnjunction-coordinator";
// Its name until it was renamed: a link that still starts it, and says so.
constexpr const char* kFormerName = "cairnjunction-keeper";

enum ExitCode : int { stopped = 0, failed = 1, badSettings = 2, notAdmitted = 3 };

struct Options {
  std::string file;               // the fleet file
  std::string folder;             // of this coordinator's log and identity
  std::string log;                // for events; empty: standard error
  int number = 0;                 // of this coordinator, in the fleet file
  unsigned snapshotEvery = 1024;  // entries of the log
};

void logError(const std::string& what) { std::cerr << kProgram << ": " << what << '\n'; }

json answerTransfer(fleet::Coordinator& coordinator, const lease::LeaseKey& key) {
  switch (coordinator.transfer(key)) {
    case fleet::TransferResult::requested: return {{"asked", true}};
    case fleet::TransferResult::notLeader:
      return {{"error", "this keeper does not lead; ask keeper " + coordinator.status()["leader"].dump()}};
    case fleet::TransferResult::notHeld:
    case fleet::TransferResult::holderNotConnected: break;
  }
  return {{"error", key.task + "/" + std::to_string(key.shard) + " has no owner that is connected"}};
}

json answer(fleet::Coordinator& coordinator, const json& request) {
  try {
    const fleet::AdminRequest parsed = fleet::parseAdminRequest(request);
    if (const auto* transfer = std::get_if<fleet::TransferRequest>(&parsed))
      return answerTransfer(coordinator, transfer->key);
    return std::holds_alternative<fleet::StatusRequest>(parsed) ? coordinator.status() : coordinator.leases();
  } catch (const fleet::InvalidAdminRequest& invalid) {
    return {{"error", invalid.what()}};
  }
}

// Reads the fleet file, and checks that this coordinator is in it.
fleet::Settings readSettings(const Options& options) {
  fleet::Settings settings = fleet::readSettings(options.file);
  if (!settings.coordinator(options.number))
    throw fleet::BadSettings(options.file + ": no keeper has the number " + std::to_string(options.number));
  return settings;
}

// A coordinator from its start, through the handshake with the others, to a signal that stops it.
class Process {
 public:
  explicit Process(const Options& options)
      : options_(options),
        settings_(readSettings(options)),
        io_(1),
        signals_(io_, SIGTERM, SIGINT),
        identity_(options.folder, settings_.fleet, options.number),
        events_(options.log, fleet::EventLog::Role::coordinator, std::to_string(options.number)),
        coordinator_(io_, settings_, options.number, identity_, machine_, events_),
        adminSocket_(io_, options.folder + "/control.sock",
                     [this](const json& request) { return answer(coordinator_, request); }),
        handshake_(io_, settings_, options.number, identity_, events_,
                   [this](const fleet::VoterHandshake::Result& result) { onHandshake(result); }) {
    signals_.async_wait([this](boost::system::error_code cancelled, int) {
      if (!cancelled) stop();
    });
  }

  // Returns once it is stopped. Throws what made it fail.
  ExitCode run() {
    io_.run();
    if (error_) std::rethrow_exception(error_);
    return exitCode_;
  }

 private:
  void onHandshake(const fleet::VoterHandshake::Result& result) {
    if (result.outcome == fleet::VoterHandshake::Result::Outcome::rejected) {
      logError(result.reason);
      exitCode_ = notAdmitted;
      return io_.stop();
    }
    try {
      startVoting();
    } catch (...) {  // it is thrown by run(), not through the event loop's handler
      error_ = std::current_exception();
      io_.stop();
    }
  }

  void startVoting() {
    consensus::RaftOptions raft;
    raft.folder = options_.folder + "/log";
    raft.number = options_.number;
    raft.listen = settings_.coordinator(options_.number)->raft;
    for (const fleet::CoordinatorAddress& coordinator : settings_.coordinators)
      raft.voters[coordinator.number] = coordinator.raft;
    raft.electionTimeout = settings_.electionTimeout;
    raft.heartbeatInterval = settings_.electionTimeout / 10;
    raft.snapshotThreshold = options_.snapshotEvery;
    std::filesystem::create_directory(raft.folder);
    raftLog_ = std::make_unique<consensus::RaftLog>(io_, raft, machine_);
    coordinator_.startServing(*raftLog_);
    events_.write(fleet::Event::votingStarted, {{"starts", identity_.own().startCount}});
  }

  void stop() {
    coordinator_.stop();
    if (raftLog_) raftLog_->stop([this] { io_.stop(); });
    else io_.stop();
  }

  const Options options_;
  const fleet::Settings settings_;
  boost::asio::io_context io_;
  boost::asio::signal_set signals_;
  consensus::VoterIdentity identity_;
  fleet::EventLog events_;
  fleet::LeaseStateMachine machine_;
  fleet::Coordinator coordinator_;
  fleet::AdminSocket adminSocket_;
  std::unique_ptr<consensus::RaftLog> raftLog_;  // null until the handshake has admitted this coordinator
  std::exception_ptr error_;                     // what run() throws
  ExitCode exitCode_ = stopped;
  fleet::VoterHandshake handshake_;  // may call onHandshake at once
};

ExitCode runProgram(int argc, char** argv) {
  CLI::App app{std::string(kProgram) + ": one of the coordinators of a fleet (docs/operators/fleet.md)"};
  app.footer(
      "Exit codes: 0 stopped; 1 failed, or its log can't be read; 2 bad fleet file or command line; 3 "
      "rejected "
      "by another coordinator.");
  Options options;
  app.add_option("FILE", options.file, "the fleet file")->required();
  app.add_option("--number", options.number, "which of its coordinators this one is")->required();
  app.add_option("--dir", options.folder, "its folder; an empty one for its first start")->required();
  app.add_option("--log", options.log, "file for its events; otherwise standard error");
  app.add_option("--snapshot-every", options.snapshotEvery, "entries of the log")
      ->check(CLI::Range(16U, 1'000'000U))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& end) {
    return app.exit(end) == 0 ? stopped : badSettings;
  }
  return Process(options).run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 0 && std::filesystem::path(argv[0]).filename() == kFormerName)
      std::cerr << kFormerName << " is now " << kProgram << '\n';
    return runProgram(argc, argv);
  } catch (const fleet::BadSettings& bad) {
    logError(bad.what());
    return badSettings;
  } catch (const std::exception& bad) {
    logError(bad.what());
    return failed;
  }
}
