// Writes to the voter's LogStore in order, on libuv's thread pool. A failed write is retried until it
// succeeds. Later writes are not written before it, and its callback is not called until then.
#pragma once

#include <uv.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/log_store.hpp"

namespace cairnjunction::consensus {

class WriteQueue {
 public:
  using Time = std::chrono::milliseconds;  // on the clock of the libuv loop
  // `written`: the write is on the disk; false: the queue was closed before.
  using Done = std::function<void(bool written)>;
  // `error` says why a read failed, and is empty otherwise. Without a snapshot and an error, none is stored.
  struct SnapshotRead {
    std::optional<StoredSnapshot> snapshot;
    std::string error;
  };
  using ReadDone = std::function<void(SnapshotRead read)>;

  // The loop and the store must outlive the queue.
  WriteQueue(uv_loop_t* loop, LogStore& store);
  WriteQueue(const WriteQueue&) = delete;
  WriteQueue& operator=(const WriteQueue&) = delete;
  ~WriteQueue() = default;  // must be closed before, unless nothing was pushed

  // Writes that are pending at the same time may be written in one transaction.
  void push(LogWrite write, Done done);
  void readSnapshot(ReadDone done);
  // To be called at short intervals: retries a failed write if kRetryInterval has passed since.
  void retryIfDue();
  // Cancels the pending writes, newest first, and the pending reads, once the write or read in progress has
  // ended; then calls `done`.
  void close(std::function<void()> done);

  bool isIdle() const { return writes_.empty() && reads_.empty() && !working_; }
  // Why the last attempt to write failed; empty: it succeeded.
  const std::optional<StoreError>& failure() const { return failure_; }
  // Size of the entries and snapshots in pending writes.
  std::size_t pendingBytes() const { return pendingBytes_; }

 private:
  struct PendingWrite {
    LogWrite write;
    Done done;
    std::size_t bytes = 0;
  };

  void startWork();
  void work();  // runs on a thread of libuv's pool
  void finishWork();
  void finishWrites();
  void finishRead();
  void finishClose();
  Time now() const { return Time(uv_now(loop_)); }

  uv_loop_t* const loop_;
  LogStore& store_;
  std::deque<PendingWrite> writes_;  // oldest first; the batch in progress is at the front
  std::deque<ReadDone> reads_;
  std::size_t pendingBytes_ = 0;
  std::optional<StoreError> failure_;
  Time retryAt_{0};
  std::function<void()> closeDone_;  // the callback of close()
  bool closing_ = false;             // close() was called
  // While `working_` is set, the thread of work() uses the members below.
  uv_work_t request_{};
  bool working_ = false;
  std::vector<const LogWrite*> batch_;  // empty: the work is a read
  std::optional<StoreError> batchError_;
  SnapshotRead read_;
};

}  // namespace cairnjunction::consensus
