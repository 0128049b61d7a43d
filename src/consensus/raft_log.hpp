// The log on C raft, with its disk and its TCP links, driven from our event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "consensus/replicated_log.hpp"

namespace cairnjunction::consensus {

struct RaftOptions {
  std::string folder;  // its own; made by the caller, held by nobody else
  int number = 0;      // of this keeper, from 1
  std::string listen;  // IPv4 address:port to which the others' links come
  // All keepers by number, this one too, with the address at which this one reaches them.
  std::map<int, std::string> voters;
  std::chrono::milliseconds electionTimeout{
      1000};  // without the leader's word for so long (up to twice) one stands
  std::chrono::milliseconds heartbeatInterval{100};
  unsigned snapshotThreshold = 1024;  // entries; the log on the disk has some times that
  unsigned snapshotTrailing = 256;    // entries kept behind a snapshot, for a keeper that is a little late
  std::size_t segmentBytes = 1 << 20;
};

class RaftLog final : public ReplicatedLog {
 public:
  // Starts at once. A folder without a log begins one with all the keepers as voters. Throws BadLog.
  RaftLog(boost::asio::io_context& io, const RaftOptions& options, StateMachine& machine);
  ~RaftLog() override;

  void propose(std::string entry, Done done) override;
  bool isLeader() const override;
  int leader() const override;
  void onLeadershipChange(std::function<void()> changed) override;
  void stop(std::function<void()> done) override;

 private:
  struct State;  // of the library
  std::unique_ptr<State> state_;
};

}  // namespace cairnjunction::consensus
