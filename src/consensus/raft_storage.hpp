// The consensus library's disk and messages. The disk is our own (LogStore); links, clock and timer are the
// library's. Its own disk (0.15) can't be used: a write that fails is the last one that it takes, a snapshot
// that was not written is read all the same, and a voter can't be closed while a write is under way.
//
// A voter whose disk fails, or is far behind with its writes, is paused until it has caught up: it takes no
// messages and sends none, so it acknowledges nothing; it begins no election; and it ceases to lead, since it
// hears of no majority. No write fails for the library: it is tried again until it succeeds. What is sent
// behind a change of term or vote waits until that is on the disk.
//
// A follower that has installed a snapshot sends the result to its leader, also where it has forgotten that
// one's address, or has become a candidate, which keeps other data in its place. So no election begins while
// a snapshot is installed, and a message without a receiver is not sent. For the messages that append entries
// see AppendEntriesGuard.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "consensus/append_entries_guard.hpp"
#include "consensus/log_store.hpp"
#include "consensus/raft_library.hpp"
#include "consensus/raft_transport.hpp"
#include "consensus/write_queue.hpp"

namespace cairnjunction::consensus {

// Has the library's disk and links as its base, since that is what the library calls back with; `data` of it
// is the library's.
class RaftStorage : public raft_io {
 public:
  RaftStorage();
  ~RaftStorage();
  RaftStorage(const RaftStorage&) = delete;
  RaftStorage& operator=(const RaftStorage&) = delete;

  // First, before raft_init. Returns the library's code: 0 is success. The transport must outlive this.
  int open(uv_loop_t* loop, const std::string& folder, RaftTransport& transport);
  // After raft_init: reads the log, or takes over the one that an earlier version kept in the library's
  // files. `voter` is the one that was initialised. Throws LogError.
  void openLog(const raft& voter, std::size_t checkpointBytes);
  // After the library has closed, or could not be opened; once.
  void release();

  // From now on the library gets no messages of other voters, so nothing that it would write begins by them.
  void dropMessages() { droppingMessages_ = true; }
  // No write is under way.
  bool isIdle() const { return !queue_ || queue_->isIdle(); }
  // Why the voter is paused; nothing: it is not.
  std::optional<std::string> pauseReason() const;
  // The disk's content is damaged: the voter can't go on.
  std::optional<std::string> damage() const;

 private:
  struct HeldMessage {
    raft_message message;
    std::string address;  // the message's own, which may go before it is sent
    raft_io_send* request;
    raft_io_send_cb done;
  };

  static RaftStorage& of(raft_io* storage) { return *static_cast<RaftStorage*>(storage); }
  static void closeStorage(raft_io* storage, raft_io_close_cb done);
  static int loadLog(raft_io* storage, raft_term* term, raft_id* votedFor, raft_snapshot** snapshot,
                     raft_index* startIndex, raft_entry** entries, std::size_t* count);
  static int bootstrapLog(raft_io* storage, const raft_configuration* configuration);
  static int recoverLog(raft_io* storage, const raft_configuration* configuration);
  static int setTerm(raft_io* storage, raft_term term);
  static int setVote(raft_io* storage, raft_id candidate);
  static int appendEntries(raft_io* storage, raft_io_append* request, const raft_entry* entries,
                           unsigned count, raft_io_append_cb done);
  static int truncateEntries(raft_io* storage, raft_index first);
  static int putSnapshot(raft_io* storage, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb done);
  static int getSnapshot(raft_io* storage, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done);
  static int startReceiving(raft_io* storage, unsigned tickMs, raft_io_tick_cb tick, raft_io_recv_cb receive);
  static int sendMessage(raft_io* storage, raft_io_send* request, const raft_message* message,
                         raft_io_send_cb done);
  static void onTick(raft_io* storage);
  static void onMessage(raft_io* storage, raft_message* message);

  void replaceFunctions();
  StoredLog readFormerLog();
  void saveVote();
  bool isPaused() const;
  void sendHeld();
  void failHeld();

  decltype(raft_io::close) libraryClose_ = nullptr;
  decltype(raft_io::load) libraryLoad_ = nullptr;
  decltype(raft_io::start) libraryStart_ = nullptr;
  decltype(raft_io::send) librarySend_ = nullptr;
  raft_io_close_cb closed_ = nullptr;  // the consensus' own, as the two below
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb receive_ = nullptr;

  const raft* voter_ = nullptr;
  std::optional<AppendEntriesGuard> guard_;
  uv_loop_t* loop_ = nullptr;
  std::string folder_;
  std::optional<LogStore> store_;
  std::optional<WriteQueue> queue_;
  StoredLog loaded_;              // until the library has taken it
  StoredVote vote_;               // the latest, which may still wait to be written
  raft_index lastIndex_ = 0;      // of the entries, the same
  std::size_t votesPending_ = 0;  // that wait to be written
  std::size_t installs_ = 0;      // snapshots of a leader, the same
  std::deque<HeldMessage> held_;  // until no vote is pending
  bool droppingMessages_ = false;
};

}  // namespace cairnjunction::consensus
