// Writes to the voter's disk, in order, on libuv's threads. A write that fails is tried again until it
// succeeds: nothing behind it is written before it, and whoever began it hears nothing meanwhile.
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
  using Time = std::chrono::milliseconds;  // of the libuv loop
  // `written`: it is on the disk. Otherwise the queue was closed before.
  using Done = std::function<void(bool written)>;
  // `text` of a failed read says why; neither of the two: there is no snapshot.
  struct SnapshotRead {
    std::optional<StoredSnapshot> snapshot;
    std::string error;
  };
  using ReadDone = std::function<void(SnapshotRead read)>;

  // Both must outlive the queue.
  WriteQueue(uv_loop_t* loop, LogStore& store);
  WriteQueue(const WriteQueue&) = delete;
  WriteQueue& operator=(const WriteQueue&) = delete;
  ~WriteQueue() = default;  // closed, or nothing was pushed

  void push(LogWrite write, Done done);
  void readSnapshot(ReadDone done);
  // To be called at short intervals: tries a write that failed again, kRetryInterval after it failed.
  void retryIfDue();
  // Ends the writes that have not begun, newest first, and calls `closed` once none is under way.
  void close(std::function<void()> closed);

  bool isIdle() const { return writes_.empty() && reads_.empty() && !working_; }
  // Why the oldest write can't be written at present.
  const std::optional<StoreError>& failure() const { return failure_; }
  // Of the entries and snapshots that wait.
  std::size_t pendingBytes() const { return pendingBytes_; }

 private:
  struct Pending {
    LogWrite write;
    Done done;
    std::size_t bytes = 0;
  };

  void startWork();
  void work();  // on a thread of libuv
  void finishWork();
  void finishWrites();
  void finishRead();
  void finishClose();
  Time now() const { return Time(uv_now(loop_)); }

  uv_loop_t* const loop_;
  LogStore& store_;
  std::deque<Pending> writes_;  // oldest first; those of the batch are the first of them
  std::deque<ReadDone> reads_;
  std::size_t pendingBytes_ = 0;
  std::optional<StoreError> failure_;
  Time retryAt_{0};
  std::function<void()> closed_;  // of close
  bool closing_ = false;          // close was called
  // While `working_` is set these are the thread's.
  uv_work_t request_{};
  bool working_ = false;
  std::vector<const LogWrite*> batch_;  // empty: a read
  std::optional<StoreError> batchError_;
  SnapshotRead read_;
};

}  // namespace cairnjunction::consensus
