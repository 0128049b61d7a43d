#include "consensus/raft_storage.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include "consensus/former_log_files.hpp"
#include "consensus/raft_records.hpp"

namespace cairnjunction::consensus {
namespace {

// With more data pending to be written, the voter is paused.
constexpr std::size_t kMaxPendingBytes = 8 << 20;
// With more messages deferred until the vote is written, the voter is paused.
constexpr std::size_t kMaxDeferredMessages = 64;

// Frees the parts of a received message that its receiver owns.
void freeMessage(raft_message& message) {
  if (message.type == RAFT_IO_APPEND_ENTRIES && message.append_entries.n_entries > 0) {
    raft_free(message.append_entries.entries[0].batch);
    raft_free(message.append_entries.entries);
  } else if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
    raft_configuration_close(&message.install_snapshot.conf);
    raft_free(message.install_snapshot.data.base);
  }
}

// Sets the error message that the library reports; returns the result code.
int fail(raft_io* storage, const std::string& text) {
  const std::size_t length = std::min(text.size(), sizeof storage->errmsg - 1);
  std::memcpy(storage->errmsg, text.data(), length);
  storage->errmsg[length] = '\0';
  return RAFT_IOERR;
}

}  // namespace

RaftStorage::RaftStorage() : raft_io{} {}

RaftStorage::~RaftStorage() = default;

// --- Opening and closing ----------------------------------------------------------------------------------

int RaftStorage::open(uv_loop_t* loop, const std::string& folder, RaftTransport& transport) {
  const int code = raft_uv_init(this, loop, folder.c_str(), &transport);
  if (code != 0) return code;
  loop_ = loop;
  folder_ = folder;
  replaceLibraryFunctions();
  return 0;
}

void RaftStorage::replaceLibraryFunctions() {
  libraryClose_ = std::exchange(close, &RaftStorage::closeStorage);
  libraryLoad_ = std::exchange(load, &RaftStorage::loadLog);
  libraryStart_ = std::exchange(start, &RaftStorage::startReceiving);
  librarySend_ = std::exchange(send, &RaftStorage::sendMessage);
  bootstrap = &RaftStorage::bootstrapLog;
  recover = &RaftStorage::recoverLog;
  set_term = &RaftStorage::setTerm;
  set_vote = &RaftStorage::setVote;
  append = &RaftStorage::appendEntries;
  truncate = &RaftStorage::truncateEntries;
  snapshot_put = &RaftStorage::putSnapshot;
  snapshot_get = &RaftStorage::getSnapshot;
}

void RaftStorage::openLog(const raft& voter, std::size_t checkpointBytes) {
  voter_ = &voter;
  guard_.emplace(voter);
  store_.emplace(folder_, checkpointBytes);
  loaded_ = store_->load();
  if (loaded_.isNew() && hasFormerLogFiles(folder_)) {
    loaded_ = readFormerLog();
    if (const auto error = importFormerLog(*store_, loaded_)) throw LogError(error->text);
  }
  // Done at every start, because an earlier one may have ended after the import and before the removal.
  removeFormerLogFiles(folder_);
  queue_.emplace(loop_, *store_);
}

StoredLog RaftStorage::readFormerLog() {
  StoredLog former;
  raft_snapshot* snapshot = nullptr;
  raft_index first = 0;
  raft_entry* entries = nullptr;
  std::size_t count = 0;
  raft_term term = 0;
  raft_id votedFor = 0;
  const int code = libraryLoad_(this, &term, &votedFor, &snapshot, &first, &entries, &count);
  if (code != 0) throw LogError(folder_ + ": " + raft_strerror(code) + ": " + errmsg);
  const RaftSnapshotPtr owned(snapshot);
  former.vote = {term, votedFor};
  if (snapshot) former.snapshot = toStoredSnapshot(*snapshot);
  former.entries = toStoredEntries(first, entries, count);
  freeRaftEntries(entries, count);
  if (former.snapshot && !former.entries.empty() && former.entries.back().index < former.snapshot->index)
    former.entries.clear();
  return former;
}

void RaftStorage::release() {
  queue_.reset();
  store_.reset();
  if (impl) raft_uv_close(this);
}

void RaftStorage::closeStorage(raft_io* storage, raft_io_close_cb done) {
  RaftStorage& self = of(storage);
  self.closeCallback_ = done;
  const auto closeLibrary = [&self] {
    self.failDeferredMessages();
    self.libraryClose_(&self, self.closeCallback_);
  };
  if (self.queue_) self.queue_->close(closeLibrary);
  else closeLibrary();
}

// --- Start ------------------------------------------------------------------------------------------------

int RaftStorage::loadLog(raft_io* storage, raft_term* term, raft_id* votedFor, raft_snapshot** snapshot,
                         raft_index* startIndex, raft_entry** entries, std::size_t* count) {
  RaftStorage& self = of(storage);
  const StoredLog loaded = std::exchange(self.loaded_, {});
  try {
    RaftSnapshotPtr restored;
    if (loaded.snapshot) restored = toRaftSnapshot(*loaded.snapshot);
    *entries = toRaftEntries(loaded.entries);
    *snapshot = restored.release();
  } catch (const std::exception& error) {
    return fail(storage, self.folder_ + ": " + error.what());
  }
  self.vote_ = loaded.vote;
  const raft_index covered = loaded.snapshot ? loaded.snapshot->index : 0;
  *term = loaded.vote.term;
  *votedFor = loaded.vote.candidate;
  *count = loaded.entries.size();
  *startIndex = loaded.entries.empty() ? covered + 1 : loaded.entries.front().index;
  self.lastIndex_ = *startIndex + *count - 1;
  return 0;
}

// Writes the configuration as the first entry of a new log.
int RaftStorage::bootstrapLog(raft_io* storage, const raft_configuration* configuration) {
  RaftStorage& self = of(storage);
  if (!self.loaded_.isNew()) return RAFT_CANTBOOTSTRAP;
  raft_entry first{1, RAFT_CHANGE, {}, nullptr};
  if (const int code = raft_configuration_encode(configuration, &first.buf); code != 0) return code;
  const StoredLog bootstrapped{{1, 0}, std::nullopt, toStoredEntries(1, &first, 1)};
  raft_free(first.buf.base);
  const LogWrite vote = SaveVote{bootstrapped.vote};
  const LogWrite entries = AppendEntries{bootstrapped.entries};
  if (const auto error = self.store_->write({&vote, &entries})) return fail(storage, error->text);
  self.loaded_ = bootstrapped;
  return 0;
}

// Not supported: a recovery with a new configuration is done by hand only, with a program of the library's.
int RaftStorage::recoverLog(raft_io* /*storage*/, const raft_configuration* /*configuration*/) {
  return RAFT_INVALID;
}

// --- Writes -----------------------------------------------------------------------------------------------

int RaftStorage::setTerm(raft_io* storage, raft_term term) {
  RaftStorage& self = of(storage);
  self.vote_ = {term, 0};
  self.saveVote();
  return 0;
}

int RaftStorage::setVote(raft_io* storage, raft_id candidate) {
  RaftStorage& self = of(storage);
  self.vote_.candidate = candidate;
  self.saveVote();
  return 0;
}

// The library treats term and vote as written once it has set them, so messages are deferred until they are
// on the disk.
void RaftStorage::saveVote() {
  ++pendingVotes_;
  queue_->push(SaveVote{vote_}, [this](bool written) {
    if (--pendingVotes_ == 0 && written) sendDeferredMessages();
  });
}

int RaftStorage::appendEntries(raft_io* storage, raft_io_append* request, const raft_entry* entries,
                               unsigned count, raft_io_append_cb done) {
  RaftStorage& self = of(storage);
  AppendEntries write{toStoredEntries(self.lastIndex_ + 1, entries, count)};
  self.lastIndex_ += count;
  self.queue_->push(std::move(write),
                    [request, done](bool written) { done(request, written ? 0 : RAFT_CANCELED); });
  return 0;
}

int RaftStorage::truncateEntries(raft_io* storage, raft_index first) {
  RaftStorage& self = of(storage);
  self.lastIndex_ = first - 1;
  self.queue_->push(RemoveEntries{first}, [](bool /*written*/) {});
  return 0;
}

// This voter's own snapshot keeps the last `trailing` entries. A leader's snapshot, for which the library
// passes 0, replaces all entries.
int RaftStorage::putSnapshot(raft_io* storage, unsigned trailing, raft_io_snapshot_put* request,
                             const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
  RaftStorage& self = of(storage);
  const bool isInstall = trailing == 0;
  SaveSnapshot write{toStoredSnapshot(*snapshot), SaveSnapshot::kKeepNone};
  if (!isInstall) write.firstKept = snapshot->index > trailing ? snapshot->index - trailing + 1 : 1;
  if (isInstall) {
    self.lastIndex_ = snapshot->index;
    ++self.pendingInstalls_;
  }
  self.queue_->push(std::move(write), [&self, isInstall, request, done](bool written) {
    if (isInstall) --self.pendingInstalls_;
    done(request, written ? 0 : RAFT_CANCELED);
  });
  return 0;
}

int RaftStorage::getSnapshot(raft_io* storage, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
  RaftStorage& self = of(storage);
  self.queue_->readSnapshot([request, done](WriteQueue::SnapshotRead read) {
    if (!read.snapshot) return done(request, nullptr, read.error.empty() ? RAFT_NOTFOUND : RAFT_IOERR);
    RaftSnapshotPtr snapshot;
    try {
      snapshot = toRaftSnapshot(*read.snapshot);
    } catch (const std::exception&) {
      return done(request, nullptr, RAFT_CORRUPT);
    }
    done(request, snapshot.release(), 0);
  });
  return 0;
}

// --- Pausing ----------------------------------------------------------------------------------------------

bool RaftStorage::isPaused() const {
  return queue_ && (queue_->failure() || queue_->pendingBytes() > kMaxPendingBytes ||
                    deferredMessages_.size() > kMaxDeferredMessages);
}

std::optional<std::string> RaftStorage::pauseReason() const {
  if (!isPaused()) return std::nullopt;
  if (queue_->failure()) return queue_->failure()->text;
  return std::to_string(queue_->pendingBytes()) + " bytes and " + std::to_string(deferredMessages_.size()) +
         " messages are waiting for the disk";
}

std::optional<std::string> RaftStorage::damage() const {
  if (!queue_ || !queue_->failure() || !queue_->failure()->isDamaged) return std::nullopt;
  return queue_->failure()->text;
}

// --- Messages ---------------------------------------------------------------------------------------------

int RaftStorage::startReceiving(raft_io* storage, unsigned tickMs, raft_io_tick_cb tick,
                                raft_io_recv_cb receive) {
  RaftStorage& self = of(storage);
  self.tickCallback_ = tick;
  self.receiveCallback_ = receive;
  return self.libraryStart_(storage, tickMs, &RaftStorage::onTick, &RaftStorage::onMessage);
}

// A paused leader still gets ticks, so that it steps down once it has not heard from a majority for the
// election timeout.
void RaftStorage::onTick(raft_io* storage) {
  RaftStorage& self = of(storage);
  self.queue_->retryIfDue();
  if (self.isPaused()) {
    self.failDeferredMessages();
    if (self.voter_->state != RAFT_LEADER) return;
  }
  if (self.pendingInstalls_ == 0) self.tickCallback_(storage);
}

void RaftStorage::onMessage(raft_io* storage, raft_message* message) {
  RaftStorage& self = of(storage);
  if (self.droppingMessages_ || self.isPaused()) return freeMessage(*message);
  if (message->type != RAFT_IO_APPEND_ENTRIES) return self.receiveCallback_(storage, message);
  self.guard_->beginReceiving(message->append_entries);
  self.receiveCallback_(storage, message);
  self.guard_->endReceiving();
}

int RaftStorage::sendMessage(raft_io* storage, raft_io_send* request, const raft_message* message,
                             raft_io_send_cb done) {
  RaftStorage& self = of(storage);
  if (!message->server_address) return RAFT_NOCONNECTION;
  raft_message sent = *message;
  if (sent.type == RAFT_IO_APPEND_ENTRIES_RESULT) self.guard_->limitResult(sent.append_entries_result);
  if (self.pendingVotes_ == 0 && !self.isPaused()) return self.librarySend_(storage, request, &sent, done);
  self.deferredMessages_.push_back({sent, message->server_address, request, done});
  return 0;
}

void RaftStorage::sendDeferredMessages() {
  std::deque<DeferredMessage> held = std::exchange(deferredMessages_, {});
  for (DeferredMessage& each : held) {
    each.message.server_address = each.address.c_str();
    const int code = librarySend_(this, each.request, &each.message, each.done);
    if (code != 0) each.done(each.request, code);
  }
}

// Reports to the library that the messages could not be sent, as if the connection were down.
void RaftStorage::failDeferredMessages() {
  std::deque<DeferredMessage> held = std::exchange(deferredMessages_, {});
  for (const DeferredMessage& each : held) each.done(each.request, RAFT_NOCONNECTION);
}

}  // namespace cairnjunction::consensus
