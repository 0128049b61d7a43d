// The storage and the messages of the consensus library. Storage is our own (LogStore); connections, clock
// and timer are the library's. The library's own storage (0.15) can't be used: it accepts no write after a
// failed one, reads a snapshot even if its write failed, and does not let a voter close while a write is in
// progress.
//
// A voter is paused while its disk fails or too many writes are pending. A paused voter drops received
// messages and sends none, so it acknowledges nothing; it starts no election; and if it leads, it steps down
// because it hears from no majority. The library never sees a write fail: writes are retried until they
// succeed. A message sent after a change of term or vote is deferred until that change is on the disk.
//
// After installing a snapshot, the library sends the result to its leader even if it no longer has the
// leader's address, or has become a candidate, which uses the same memory for other data. Therefore no
// election starts while a snapshot is being installed, and a message without a receiver's address is not
// sent. For append-entries messages see AppendEntriesGuard.
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

// Derives from the library's I/O interface, because that is what the library passes to the callbacks. The
// member `data` of it belongs to the library.
class RaftStorage : public raft_io {
 public:
  RaftStorage();
  ~RaftStorage();
  RaftStorage(const RaftStorage&) = delete;
  RaftStorage& operator=(const RaftStorage&) = delete;

  // Call this first, before raft_init. Returns the library's result code; 0 is success. `transport` must
  // outlive this object.
  int open(uv_loop_t* loop, const std::string& folder, RaftTransport& transport);
  // Call this after raft_init, with the voter that it initialized. Loads the log, or imports the one that an
  // earlier version stored in the library's files. `checkpointBytes`: see LogStore. Throws LogError.
  void openLog(const raft& voter, std::size_t checkpointBytes);
  // Call this once, after the library has closed, or if it could not be opened.
  void release();

  // From now on messages of other voters are dropped, so they cause no further writes.
  void dropMessages() { droppingMessages_ = true; }
  // Whether no write and no read is pending or in progress.
  bool isIdle() const { return !queue_ || queue_->isIdle(); }
  // Why the voter is paused; empty: it is not paused.
  std::optional<std::string> pauseReason() const;
  // What is damaged in the database, in which case the voter can't continue; empty: nothing is known to be.
  std::optional<std::string> damage() const;

 private:
  struct DeferredMessage {
    raft_message message;
    std::string address;  // a copy, since the library may free the message's before it is sent
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

  void replaceLibraryFunctions();
  StoredLog readFormerLog();
  void saveVote();
  bool isPaused() const;
  void sendDeferredMessages();
  void failDeferredMessages();

  decltype(raft_io::close) libraryClose_ = nullptr;
  decltype(raft_io::load) libraryLoad_ = nullptr;
  decltype(raft_io::start) libraryStart_ = nullptr;
  decltype(raft_io::send) librarySend_ = nullptr;
  // Callbacks of the consensus library.
  raft_io_close_cb closeCallback_ = nullptr;
  raft_io_tick_cb tickCallback_ = nullptr;
  raft_io_recv_cb receiveCallback_ = nullptr;

  const raft* voter_ = nullptr;
  std::optional<AppendEntriesGuard> guard_;
  uv_loop_t* loop_ = nullptr;
  std::string folder_;
  std::optional<LogStore> store_;
  std::optional<WriteQueue> queue_;
  StoredLog loaded_;                 // until loadLog has passed it to the library
  StoredVote vote_;                  // the latest one, whose write may be pending
  raft_index lastIndex_ = 0;         // of the latest entry, whose write may be pending
  std::size_t pendingVotes_ = 0;     // number of pending writes of term and vote
  std::size_t pendingInstalls_ = 0;  // number of pending writes of a leader's snapshot
  // Oldest first; sent once no write of term and vote is pending.
  std::deque<DeferredMessage> deferredMessages_;
  bool droppingMessages_ = false;
};

}  // namespace cairnjunction::consensus
