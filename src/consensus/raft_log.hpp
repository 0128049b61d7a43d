// The log on C raft, with its disk and its TCP links, driven from our event loop.
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
  std::string folder;  // made by the caller; the log's alone, and used by one process at a time
  int number = 0;      // of this voter, from 1
  std::string listen;  // IPv4 address:port at which the other voters reach this one
  // All voters by number, this one too, with the address:port at which this one reaches them.
  std::map<int, std::string> voters;
  // A follower that hears nothing of a leader for so long, drawn up to twice that, begins an election.
  std::chrono::milliseconds electionTimeout{1000};
  std::chrono::milliseconds heartbeatInterval{100};  // of the leader
  unsigned snapshotThreshold = 1024;                 // entries between two snapshots
  unsigned snapshotTrailing = 256;     // entries kept behind a snapshot, for a follower that is a little late
  std::size_t segmentBytes = 1 << 20;  // of the write-ahead log, before it is written to the database
};

class RaftLog final : public ReplicatedLog {
 public:
  // Starts at once. A folder without a log begins one with all voters of the options. `machine` must outlive
  // the log. Throws LogError; so does the event loop's run(), later, when the voter can't go on.
  RaftLog(boost::asio::io_context& io, const RaftOptions& options, StateMachine& machine);
  // Ends it without handing leadership over, if stop() has not; blocks until its files are closed.
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
  class Impl;  // what the library needs and calls
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnjunction::consensus
