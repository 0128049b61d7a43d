#include "consensus/write_queue.hpp"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace cairnjunction::consensus {
namespace {

constexpr WriteQueue::Time kRetryInterval{200};

std::size_t bytesOf(const LogWrite& write) {
  if (const auto* append = std::get_if<AppendEntries>(&write)) {
    std::size_t bytes = 0;
    for (const StoredEntry& entry : append->entries) bytes += sizeof entry + entry.data.size();
    return bytes;
  }
  if (const auto* save = std::get_if<SaveSnapshot>(&write)) return save->snapshot.data.size();
  return 0;
}

}  // namespace

WriteQueue::WriteQueue(uv_loop_t* loop, LogStore& store) : loop_(loop), store_(store) {
  request_.data = this;
}

void WriteQueue::push(LogWrite write, Done done) {
  const std::size_t bytes = bytesOf(write);
  writes_.push_back({std::move(write), std::move(done), bytes});
  pendingBytes_ += bytes;
  startWork();
}

void WriteQueue::readSnapshot(ReadDone done) {
  reads_.push_back(std::move(done));
  startWork();
}

void WriteQueue::retryIfDue() {
  if (failure_) startWork();
}

// All pending writes form one transaction. While it fails, reads are served between two attempts.
void WriteQueue::startWork() {
  if (working_ || closing_) return;
  const bool mayWrite = !failure_ || (!failure_->isDamaged && now() >= retryAt_);
  batch_.clear();
  if (mayWrite)
    for (const PendingWrite& pending : writes_) batch_.push_back(&pending.write);
  if (batch_.empty() && reads_.empty()) return;
  working_ = true;
  uv_queue_work(
      loop_, &request_, [](uv_work_t* request) { static_cast<WriteQueue*>(request->data)->work(); },
      [](uv_work_t* request, int /*status*/) { static_cast<WriteQueue*>(request->data)->finishWork(); });
}

void WriteQueue::work() {
  if (!batch_.empty()) {
    batchError_ = store_.write(batch_);
    return;
  }
  try {
    read_ = {store_.readSnapshot(), {}};
  } catch (const LogError& error) {
    read_ = {std::nullopt, error.what()};
  }
}

void WriteQueue::finishWork() {
  working_ = false;
  if (batch_.empty()) finishRead();
  else finishWrites();
  if (closing_) finishClose();
  else startWork();
}

void WriteQueue::finishWrites() {
  failure_ = std::exchange(batchError_, std::nullopt);
  if (failure_) {
    retryAt_ = now() + kRetryInterval;
    return;
  }
  // Removed from the queue first, because the callbacks may push further writes.
  const auto end = writes_.begin() + static_cast<std::ptrdiff_t>(batch_.size());
  std::vector<PendingWrite> written(std::make_move_iterator(writes_.begin()), std::make_move_iterator(end));
  writes_.erase(writes_.begin(), end);
  working_ = true;  // so that the next work starts after all callbacks have run
  for (PendingWrite& each : written) {
    pendingBytes_ -= each.bytes;
    each.done(true);
  }
  working_ = false;
}

void WriteQueue::finishRead() {
  const ReadDone done = std::move(reads_.front());
  reads_.pop_front();
  done(std::exchange(read_, {}));
}

void WriteQueue::close(std::function<void()> done) {
  closeDone_ = std::move(done);
  closing_ = true;
  if (!working_) finishClose();
}

// Cancels the newest write first. If the oldest one were cancelled first, the consensus library would remove
// the entries of the later writes along with it, and would then, for each later write, remove entries again
// from below the beginning of its log.
void WriteQueue::finishClose() {
  while (!writes_.empty()) {
    const PendingWrite cancelled = std::move(writes_.back());
    writes_.pop_back();
    cancelled.done(false);
  }
  while (!reads_.empty()) {
    const ReadDone done = std::move(reads_.front());
    reads_.pop_front();
    done({std::nullopt, "closed"});
  }
  std::exchange(closeDone_, nullptr)();
}

}  // namespace cairnjunction::consensus
