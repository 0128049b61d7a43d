// The replicated log, implemented with the C raft library. Its disk and its TCP connections run on a libuv
// loop that the Asio event loop drives.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "consensus/replicated_log.hpp"

namespace cairnjunction::consensus {

struct RaftOptions {
  std::string folder;  // must exist; for this log only, and used by one process at a time
  int number = 0;      // of this voter, from 1
  std::string listen;  // IPv4 address:port at which the other voters reach this one
  // All voters by number, including this one, with the address:port at which this voter reaches them.
  std::map<int, std::string> voters;
  // A follower starts an election if it has not heard from a leader for a random time between this timeout
  // and twice this timeout.
  std::chrono::milliseconds electionTimeout{1000};
  std::chrono::milliseconds heartbeatInterval{100};  // of the leader
  unsigned snapshotThreshold = 1024;                 // entries between two snapshots
  unsigned snapshotTrailing = 256;  // entries covered by a snapshot but kept, for followers slightly behind
  std::size_t segmentBytes = 1 << 20;  // write-ahead log size at which it is written back to the database
};

class RaftLog final : public ReplicatedLog {
 public:
  // Starts the voter at once. A folder without a log gets a new one, whose first entry lists all voters of
  // the options. `machine` must outlive the log. Throws LogError. Later, if the voter can't continue, the
  // event loop's run() throws LogError.
  RaftLog(boost::asio::io_context& io, const RaftOptions& options, StateMachine& machine);
  // Closes the log if stop() has not, without transferring leadership. Blocks until its files are closed.
  ~RaftLog() override;
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  void propose(std::string entry, Done done) override;
  bool isLeader() const override;
  int leader() const override;
  void onLeadershipChange(std::function<void()> changed) override;
  std::optional<std::string> pauseReason() const override;
  void onPauseChange(std::function<void()> changed) override;
  void stop(std::function<void()> done) override;

 private:
  class Impl;  // keeps the library's types out of this header
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnjunction::consensus
