#include "consensus/raft_log.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <stdexcept>
#include <utility>

#include "common/callback_guard.hpp"
#include "consensus/raft_buffer.hpp"
#include "consensus/raft_library.hpp"
#include "consensus/raft_storage.hpp"
#include "consensus/raft_transport.hpp"
#include "consensus/uv_pump.hpp"

namespace cairnjunction::consensus {
namespace {

// How long stop() waits for another voter to become leader.
constexpr std::chrono::milliseconds kTransferTimeout{500};
// How long pending writes may take before the log is closed.
constexpr std::chrono::milliseconds kWritesTimeout{2000};
constexpr unsigned kConnectRetryMs = 200;
// Until a voter has answered a snapshot or this timeout has passed, a leader sends it nothing else. The voter
// may have been stopped while it was installing the snapshot.
constexpr unsigned kInstallSnapshotTimeoutMs = 2000;

// A proposed entry that is not applied yet; the library owns it until its callback.
struct Proposal {
  struct raft_apply request {};
  ReplicatedLog::Done done;
};

}  // namespace

class RaftLog::Impl {
 public:
  Impl(boost::asio::io_context& io, RaftOptions options, StateMachine& machine)
      : io_(io),
        machine_(machine),
        options_(std::move(options)),
        pump_(io, [this] { update(); }),
        stopTimer_(io) {
    try {
      start();
    } catch (...) {
      if (!closed_) close();
      pump_.runUntilClosed();
      storage_.release();
      transport_.release();
      throw;
    }
  }

  ~Impl() {
    if (!closing_) {
      storage_.dropMessages();
      pump_.runUntil([this] { return storage_.isIdle(); }, kWritesTimeout);
      close();
    }
    pump_.runUntilClosed();
    storage_.release();
    transport_.release();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool isLeader() const { return caughtUp_ && !stopping_ && !storage_.pauseReason(); }
  int leader();
  void onLeadershipChange(std::function<void()> changed) { leadershipChanged_ = std::move(changed); }
  std::optional<std::string> pauseReason() const { return storage_.pauseReason(); }
  void onPauseChange(std::function<void()> changed) { pauseChanged_ = std::move(changed); }
  void propose(const std::string& entry, Done done);
  void stop(std::function<void()> done);

 private:
  void start();
  void openTransport();
  void openStorage();
  void bindStateMachine();
  void openRaft();
  void openLog();
  void bootstrap();
  void startRaft();
  void require(int code, const char* step);

  void update();
  void updatePause();
  void updateLeadership();
  void throwIfUnavailable();
  void requestBarrier();
  void loseLeadership();
  void closeAfterWrites();
  void closeIfIdle();
  void close();

  static Impl& of(raft_fsm* fsm) { return *static_cast<Impl*>(fsm->data); }
  static int applyEntry(raft_fsm* fsm, const raft_buffer* entry, void** result);
  static int takeSnapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count);
  static int restoreSnapshot(raft_fsm* fsm, raft_buffer* snapshot);
  static void onBarrier(struct raft_barrier* request, int status);
  static void onApplied(struct raft_apply* request, int status, void* result);
  static void onClosed(raft* library);

  boost::asio::io_context& io_;
  StateMachine& machine_;
  const RaftOptions options_;
  UvPump pump_;
  RaftTransport transport_;
  RaftStorage storage_;
  raft_fsm fsm_{};
  raft raft_{};
  struct raft_barrier barrier_ {};
  struct raft_transfer transfer_ {};
  std::function<void()> leadershipChanged_;  // callback of onLeadershipChange(); may be empty
  std::function<void()> pauseChanged_;       // callback of onPauseChange(); may be empty
  std::function<void()> stopDone_;           // callback of stop(), until it is called
  boost::asio::steady_timer stopTimer_;      // for the leadership transfer, then for the pending writes
  bool libraryLeads_ = false;                // the library was leader after its last run
  bool barrierRequested_ = false;            // in this leadership and since the last pause
  bool barrierPending_ = false;              // a requested barrier, current or earlier, has not completed
  bool paused_ = false;                      // the storage was paused after the library's last run
  bool caughtUp_ = false;          // the barrier completed: all entries of earlier terms are applied
  bool stopping_ = false;          // stop() was called
  bool waitingForWrites_ = false;  // the transfer has ended: closes once no write is pending
  bool closing_ = true;            // raft_close was called, or there is nothing to close yet
  bool closed_ = true;             // raft_close has completed, or there is nothing to close yet
  std::string snapshotError_;      // why the machine could not restore a snapshot
  CallbackGuard lifetime_;
};

// --- Start ------------------------------------------------------------------------------------------------

void RaftLog::Impl::require(int code, const char* step) {
  if (code == 0) return;
  const std::string detail = raft_errmsg(&raft_);
  throw LogError(options_.folder + ": " + step + ": " + raft_strerror(code) +
                 (detail.empty() ? std::string() : ": " + detail));
}

void RaftLog::Impl::start() {
  openTransport();
  openStorage();
  bindStateMachine();
  openRaft();
  openLog();
  bootstrap();
  startRaft();
  pump_.scheduleRun();
}

void RaftLog::Impl::openTransport() {
  require(transport_.open(pump_.loop()), "links");
  require(transport_.listenAt(options_.listen), "listen");
  transport_.setVoterAddresses(options_.voters);
}

void RaftLog::Impl::openStorage() {
  require(storage_.open(pump_.loop(), options_.folder, transport_), "folder");
  raft_uv_set_connect_retry_delay(&storage_, kConnectRetryMs);
  // With auto-recovery, the library's default, it moves an unreadable log file of an earlier version out of
  // the way, and the voter continues without entries that it had acknowledged.
  raft_uv_set_auto_recovery(&storage_, false);
}

void RaftLog::Impl::bindStateMachine() {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = &Impl::applyEntry;
  fsm_.snapshot = &Impl::takeSnapshot;
  fsm_.restore = &Impl::restoreSnapshot;
}

void RaftLog::Impl::openRaft() {
  const std::string own = RaftTransport::placeholder(options_.number);
  require(raft_init(&raft_, &storage_, &fsm_, static_cast<raft_id>(options_.number), own.c_str()),
          "not initialized");
  closed_ = false;
  closing_ = false;
  raft_set_election_timeout(&raft_, static_cast<unsigned>(options_.electionTimeout.count()));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(options_.heartbeatInterval.count()));
  raft_set_install_snapshot_timeout(&raft_, kInstallSnapshotTimeoutMs);
  raft_set_snapshot_threshold(&raft_, options_.snapshotThreshold);
  raft_set_snapshot_trailing(&raft_, options_.snapshotTrailing);
  raft_set_pre_vote(&raft_, true);
}

void RaftLog::Impl::openLog() { storage_.openLog(raft_, options_.segmentBytes); }

// Writes the list of voters as the first entry of a new log. An existing log has this entry already.
void RaftLog::Impl::bootstrap() {
  raft_configuration voters;
  raft_configuration_init(&voters);
  int code = 0;
  for (const auto& [number, address] : options_.voters)
    if (code == 0)
      code = raft_configuration_add(&voters, static_cast<raft_id>(number),
                                    RaftTransport::placeholder(number).c_str(), RAFT_VOTER);
  if (code == 0) code = raft_bootstrap(&raft_, &voters);
  raft_configuration_close(&voters);
  if (code != RAFT_CANTBOOTSTRAP) require(code, "not bootstrapped");
}

void RaftLog::Impl::startRaft() {
  const int code = raft_start(&raft_);
  if (!snapshotError_.empty()) throw LogError(options_.folder + ": snapshot: " + snapshotError_);
  require(code, "not started");
}

// --- The state machine ------------------------------------------------------------------------------------

int RaftLog::Impl::applyEntry(raft_fsm* fsm, const raft_buffer* entry, void** /*result*/) {
  of(fsm).machine_.apply(fromRaftBuffer(*entry));
  return 0;
}

int RaftLog::Impl::takeSnapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (!*buffers) return RAFT_NOMEM;
  **buffers = toRaftBuffer(of(fsm).machine_.snapshot());
  *count = 1;
  return 0;
}

int RaftLog::Impl::restoreSnapshot(raft_fsm* fsm, raft_buffer* snapshot) {
  try {
    of(fsm).machine_.restore(fromRaftBuffer(*snapshot));
  } catch (const std::invalid_argument& error) {
    of(fsm).snapshotError_ = error.what();
    return RAFT_CORRUPT;
  }
  raft_free(snapshot->base);  // on success the buffer is ours to free
  return 0;
}

// --- Leadership -------------------------------------------------------------------------------------------

// Called after each run of the library, which has no callback for gaining or losing leadership.
void RaftLog::Impl::update() {
  if (closing_) return;
  throwIfUnavailable();
  updatePause();
  updateLeadership();
  if (waitingForWrites_) closeIfIdle();
}

// After a pause this voter counts as leader only once a new barrier has completed, even if the library has
// not stepped down: its own entries from before the pause may not be applied yet.
void RaftLog::Impl::updatePause() {
  const bool paused = storage_.pauseReason().has_value();
  if (std::exchange(paused_, paused) == paused) return;
  if (paused) {
    barrierRequested_ = false;
    loseLeadership();
  }
  if (pauseChanged_) pauseChanged_();
}

void RaftLog::Impl::updateLeadership() {
  const bool leads = raft_state(&raft_) == RAFT_LEADER;
  if (leads && !libraryLeads_) barrierRequested_ = false;
  if (!leads && libraryLeads_) {
    libraryLeads_ = false;
    loseLeadership();
  }
  libraryLeads_ = leads;
  if (libraryLeads_ && !paused_ && !barrierRequested_ && !barrierPending_ && !stopping_) requestBarrier();
  if (stopping_ && !libraryLeads_) closeAfterWrites();
}

// If the library can't continue, it becomes unavailable without a notification. The voter would then look as
// if it were cut off from the others, so this throws.
void RaftLog::Impl::throwIfUnavailable() {
  if (const auto damage = storage_.damage()) throw LogError(*damage);
  if (stopping_ || raft_state(&raft_) != RAFT_UNAVAILABLE) return;
  throw LogError(options_.folder + ": the voter can't go on: " + raft_errmsg(&raft_));
}

// A new leader's machine may not have applied all committed entries of earlier terms yet. The barrier
// completes after them.
void RaftLog::Impl::requestBarrier() {
  barrier_.data = this;
  barrierRequested_ = raft_barrier(&raft_, &barrier_, &Impl::onBarrier) == 0;
  barrierPending_ = barrierRequested_;
  pump_.scheduleRun();
}

void RaftLog::Impl::onBarrier(struct raft_barrier* request, int status) {
  Impl& self = *static_cast<Impl*>(request->data);
  self.barrierPending_ = false;
  self.caughtUp_ = status == 0 && self.barrierRequested_;
  if (self.caughtUp_ && self.leadershipChanged_)
    boost::asio::post(self.io_, self.lifetime_.guard([&self] { self.leadershipChanged_(); }));
}

void RaftLog::Impl::loseLeadership() {
  if (std::exchange(caughtUp_, false) && leadershipChanged_) leadershipChanged_();
}

int RaftLog::Impl::leader() {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &id, &address);
  return static_cast<int>(id);
}

// --- Proposals --------------------------------------------------------------------------------------------

void RaftLog::Impl::propose(const std::string& entry, Done done) {
  if (!isLeader() || entry.size() > kMaxEntryBytes) return done(false);
  auto proposal = std::make_unique<Proposal>();
  proposal->done = std::move(done);
  proposal->request.data = proposal.get();
  raft_buffer buffer = toRaftBuffer(entry);
  const int code = raft_apply(&raft_, &proposal->request, &buffer, 1, &Impl::onApplied);
  pump_.scheduleRun();
  if (code != 0) {
    raft_free(buffer.base);
    return proposal->done(false);
  }
  (void)proposal.release();  // owned by the library until onApplied
}

void RaftLog::Impl::onApplied(struct raft_apply* request, int status, void* /*result*/) {
  const std::unique_ptr<Proposal> proposal(static_cast<Proposal*>(request->data));
  proposal->done(status == 0);
}

// --- Stop -------------------------------------------------------------------------------------------------

void RaftLog::Impl::stop(std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  stopDone_ = std::move(done);
  loseLeadership();
  if (!libraryLeads_ || raft_transfer(&raft_, &transfer_, 0, nullptr) != 0) return closeAfterWrites();
  pump_.scheduleRun();
  stopTimer_.expires_after(kTransferTimeout);
  stopTimer_.async_wait(lifetime_.guard([this](boost::system::error_code ec) {
    if (!ec && !closing_) closeAfterWrites();
  }));
}

void RaftLog::Impl::closeAfterWrites() {
  if (waitingForWrites_) return;
  waitingForWrites_ = true;
  storage_.dropMessages();
  stopTimer_.expires_after(kWritesTimeout);
  stopTimer_.async_wait(lifetime_.guard([this](boost::system::error_code ec) {
    if (!ec && !closing_) close();
  }));
  pump_.scheduleRun();  // update() then calls closeIfIdle()
}

void RaftLog::Impl::closeIfIdle() {
  if (closing_ || !storage_.isIdle()) return;
  stopTimer_.cancel();
  close();
}

void RaftLog::Impl::close() {
  closing_ = true;
  raft_.data = this;
  raft_close(&raft_, &Impl::onClosed);
  pump_.scheduleRun();
}

// Posts the stop callback, because it may destroy the log, which the library does not allow within its own
// callback.
void RaftLog::Impl::onClosed(raft* library) {
  Impl& self = *static_cast<Impl*>(library->data);
  self.closed_ = true;
  if (self.stopDone_) boost::asio::post(self.io_, std::exchange(self.stopDone_, nullptr));
}

// --- RaftLog ----------------------------------------------------------------------------------------------

RaftLog::RaftLog(boost::asio::io_context& io, const RaftOptions& options, StateMachine& machine)
    : impl_(std::make_unique<Impl>(io, options, machine)) {}

RaftLog::~RaftLog() = default;

bool RaftLog::isLeader() const { return impl_->isLeader(); }
int RaftLog::leader() const { return impl_->leader(); }
void RaftLog::onLeadershipChange(std::function<void()> changed) {
  impl_->onLeadershipChange(std::move(changed));
}
void RaftLog::propose(std::string entry, Done done) { impl_->propose(entry, std::move(done)); }
std::optional<std::string> RaftLog::pauseReason() const { return impl_->pauseReason(); }
void RaftLog::onPauseChange(std::function<void()> changed) { impl_->onPauseChange(std::move(changed)); }
void RaftLog::stop(std::function<void()> done) { impl_->stop(std::move(done)); }

}  // namespace cairnjunction::consensus
