// The keeper's program: one of three or five that hold the fleet's log. An executable of its own, so that the
// gateway carries neither the consensus library nor its event loop.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <optional>

#include "consensus/raft_log.hpp"
#include "consensus/voter_identity.hpp"
#include "fleet/admin_socket.hpp"
#include "fleet/coordinator.hpp"
#include "fleet/voter_handshake.hpp"

namespace {

using namespace cairnjunction;
using nlohmann::json;

constexpr int kFailed = 1, kBadSettings = 2, kNotAdmitted = 3;

struct Options {
  std::string file, folder, log;
  int number = 0;
  unsigned snapshotEvery = 1024;
};

json answered(fleet::Coordinator& keeper, const json& question) {
  const std::string ask = question.value("ask", "");
  if (ask == "status") return keeper.status();
  if (ask == "duties") return keeper.leases();
  if (ask == "hand-over") {
    const lease::LeaseKey key{question.value("duty", ""), question.value("shard", 0u)};
    if (!keeper.isLeader())
      return {{"error", "this keeper does not lead; ask keeper " + keeper.status()["leader"].dump()}};
    if (!keeper.transfer(key))
      return {{"error", key.task + "/" + std::to_string(key.shard) + " has no owner that is connected"}};
    return {{"asked", true}};
  }
  return {{"error", "unknown question '" + ask + "': status, duties, hand-over"}};
}

int serve(const Options& options) {
  const fleet::Settings settings = fleet::readSettings(options.file);
  if (!settings.coordinator(options.number))
    throw fleet::BadSettings(options.file + ": no keeper has the number " + std::to_string(options.number));
  boost::asio::io_context io(1);
  boost::asio::signal_set stops(io, SIGTERM, SIGINT);
  consensus::VoterIdentity identity(options.folder, settings.fleet, options.number);
  fleet::EventLog journal(options.log, "keeper", std::to_string(options.number));
  fleet::LeaseStateMachine machine;
  fleet::Coordinator keeper(io, settings, options.number, identity, machine, journal);
  fleet::AdminSocket control(io, options.folder + "/control.sock",
                             [&](const json& question) { return answered(keeper, question); });
  std::unique_ptr<consensus::RaftLog> log;
  std::exception_ptr failed;
  int code = 0;
  fleet::VoterHandshake admission(io, settings, options.number, identity, journal,
                                  [&](const std::string& why) {
                                    if (!why.empty()) {
                                      std::cerr << "cairnjunction-keeper: " << why << '\n';
                                      code = kNotAdmitted;
                                      return io.stop();
                                    }
                                    consensus::RaftOptions raft;
                                    raft.folder = options.folder + "/log";
                                    raft.number = options.number;
                                    raft.listen = settings.coordinator(options.number)->raft;
                                    for (const fleet::CoordinatorAddress& k : settings.coordinators)
                                      raft.voters[k.number] = k.raft;
                                    raft.electionTimeout = settings.electionTimeout;
                                    raft.heartbeatInterval = settings.electionTimeout / 10;
                                    raft.snapshotThreshold = options.snapshotEvery;
                                    try {
                                      std::filesystem::create_directory(raft.folder);
                                      log = std::make_unique<consensus::RaftLog>(io, raft, machine);
                                      keeper.serve(*log);
                                      journal.line("votes", {{"starts", identity.own().startCount}});
                                    } catch (...) {  // not through the event loop's handler
                                      failed = std::current_exception();
                                      io.stop();
                                    }
                                  });
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    keeper.stop();
    if (log) log->stop([&] { io.stop(); });
    else io.stop();
  });
  io.run();
  if (failed) std::rethrow_exception(failed);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"cairnjunction-keeper: one of the keepers of a fleet (docs/operators/fleet.md)"};
  app.footer(
      "Exit codes: 0 stopped; 1 failed, or its log can't be read; 2 bad fleet file or command line; 3 turned "
      "away by another keeper.");
  Options options;
  app.add_option("FILE", options.file, "the fleet file")->required();
  app.add_option("--number", options.number, "which of its keepers this one is")->required();
  app.add_option("--dir", options.folder, "its folder; an empty one for its first start")->required();
  app.add_option("--log", options.log, "file for its lines; otherwise standard error");
  app.add_option("--snapshot-every", options.snapshotEvery, "entries of the log")
      ->check(CLI::Range(16u, 1'000'000u))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
    return serve(options);
  } catch (const CLI::ParseError& end) {
    return app.exit(end) == 0 ? 0 : kBadSettings;
  } catch (const fleet::BadSettings& bad) {
    std::cerr << "cairnjunction-keeper: " << bad.what() << '\n';
    return kBadSettings;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction-keeper: " << bad.what() << '\n';
    return kFailed;
  }
}
