#include "jsonrpc/upstream_connection.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "common/socket_io.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/upstream_pool.hpp"
#include "jsonrpc/worker_protocol.hpp"
#include "upstream/connector.hpp"
#include "upstream/idle_connection.hpp"

namespace cairnjunction::jsonrpc {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using policy::ConnectionUse;
using policy::FailureReason;
using policy::Outcome;

namespace {

constexpr std::size_t kKeepCapacity = 64 << 10;  // an empty buffer that is larger is freed

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, UpstreamPool& pool, Attempts& attempts,
                                       const ResponseDelayed& delayed, policy::EndpointId endpoint)
    : endpoint_(endpoint),
      pool_(pool),
      attempts_(attempts),
      delayed_(delayed),
      socket_(io),
      timer_(io),
      frames_(pool.limits().answerBytes + kReplyOverhead, pool.limits().form),
      unsent_(pool.limits().form) {}

// --- Connecting -----------------------------------------------------------------------------------------

void UpstreamConnection::connect(const tcp::endpoint& address) {
  connectBy_ = Clock::now() + pool_.limits().connectTimeout;
  const ConnectStart begun =
      beginConnect(socket_, address, [self = shared_from_this()](std::optional<FailureReason> failure) {
        if (self->closed_) return;
        if (failure) self->close(Outcome::connectFailed, *failure);
        else self->onConnected();
      });
  if (begun == ConnectStart::noDescriptor) {
    // Not from within, since the call that it is opened for is added only after this.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->close(Outcome::connectFailed, FailureReason::noDescriptor);
    });
    return;
  }
  scheduleTimer();
}

void UpstreamConnection::onConnected() {
  connected_ = true;
  pool_.counts().onEstablished(endpoint_);
  // The list has drained or dropped the endpoint meanwhile, and what is written now would be new to it.
  if (draining_) return close(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
  flush();
  waitReadable();
}

// --- Calls ----------------------------------------------------------------------------------------------

bool UpstreamConnection::hasRoom() const {
  return takesCalls() && calls_.size() < pool_.limits().streams &&
         unsent_.unsentBytes() < pool_.limits().unsentBytes;
}

bool UpstreamConnection::isOpen() { return isOpenAndSilent(socket_); }

bool UpstreamConnection::isIdleTooLong(Clock::time_point now) const {
  return isIdle() && cairnjunction::isIdleTooLong(idleSince_, now, pool_.limits().idleClose);
}

UpstreamConnection::AddResult UpstreamConnection::add(AttemptKey key, const Call& call,
                                                      const AttemptTimeouts& timeouts) {
  const std::uint64_t id = pool_.nextCallId();
  const std::string text = requestText(id, call, timeouts.responseStart, pool_.parser());
  if (text.empty()) return AddResult::notEncodable;
  PendingCall& added = calls_[id];
  added.key = key;
  added.deadlines = AttemptDeadlines(timeouts, Clock::now());
  added.bytes = unsent_.appendRequest(text);
  added.isFirst = !std::exchange(hasCarriedCall_, true);
  ids_[key] = id;
  attempts_.add(key, shared_from_this());
  setDeadline(id, added, added.deadlines.unwrittenEnd());
  pool_.flushSoon(shared_from_this());
  return AddResult::added;
}

bool UpstreamConnection::isWritten(const PendingCall& call) const {
  return connected_ && unsent_.isWritten(call.bytes);
}

void UpstreamConnection::cancel(AttemptKey key, Outcome outcome) {
  const auto known = ids_.find(key);
  if (known == ids_.end()) return;
  const std::uint64_t id = known->second;
  PendingCall& call = calls_.at(id);
  if (call.cancelled) return;
  // Nothing was written: that proves that it was not executed, and ending it disturbs no other call.
  if (!connected_) {
    if (calls_.size() == 1) close(Outcome::connectFailed, FailureReason::attemptTimeout);
    else endUnsent(id, FailureReason::attemptTimeout);
    return;
  }
  call.cancelled = true;
  call.cancelOutcome = outcome;
  if (calls_.size() == 1) return close(outcome);
  unsent_.appendNotification(cancelText(id));
  setDeadline(id, call, Clock::now() + pool_.limits().cancelWait);
  pool_.flushSoon(shared_from_this());
}

void UpstreamConnection::cancelIfUnsent(AttemptKey key, FailureReason reason) {
  const auto known = ids_.find(key);
  if (known == ids_.end()) return;
  const std::uint64_t id = known->second;
  const PendingCall& call = calls_.at(id);
  if (call.cancelled || isWritten(call)) return;
  if (calls_.size() == 1) close(Outcome::connectFailed, reason);
  // Half a request can't be taken back from in front of others. Then it goes on.
  else if (!unsent_.isBegun(call.bytes)) endUnsent(id, reason);
}

// Takes a request that is not begun out of what is to be sent.
void UpstreamConnection::endUnsent(std::uint64_t id, FailureReason reason) {
  const PendingCall ended = calls_.at(id);
  unsent_.remove(ended.bytes);
  for (auto& [other, call] : calls_) call.bytes = SendBuffer::moved(call.bytes, ended.bytes);
  ids_.erase(ended.key);
  calls_.erase(id);
  endCall(ended, Outcome::connectFailed, reason);
}

// What is not written yet would be new to the endpoint. It is taken back later and not from within, since
// whoever passes on the list of endpoints is in the middle of it.
void UpstreamConnection::drain() {
  draining_ = true;
  if (isIdle()) return close(Outcome::reset);
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    std::vector<AttemptKey> keys;
    for (const auto& [id, call] : self->calls_) keys.push_back(call.key);
    for (const AttemptKey key : keys) self->cancelIfUnsent(key, FailureReason::cancelledBeforeSend);
    self->closeIfDrained();
  });
}

void UpstreamConnection::closeIfDrained() {
  if (draining_ && isIdle()) close(Outcome::reset);
}

void UpstreamConnection::close(Outcome outcome, FailureReason reason) {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  pool_.onClosed(*this, connected_);
  const auto calls = std::exchange(calls_, {});
  ids_.clear();
  for (const auto& [id, call] : calls) {
    if (isWritten(call)) {
      endCall(call, call.cancelled ? call.cancelOutcome : outcome, reason);
      continue;
    }
    // Only what was not written to its last byte has provably not been executed.
    FailureReason unsentReason = reason;
    if (connected_ && reason == FailureReason::unknown)
      unsentReason = call.cancelled ? FailureReason::attemptTimeout : FailureReason::brokenWhileWriting;
    endCall(call, Outcome::connectFailed, unsentReason);
  }
}

void UpstreamConnection::endCall(const PendingCall& call, Outcome outcome, FailureReason reason,
                                 Message answer) {
  AttemptOutcome ended{call.key,
                       endpoint_,
                       outcome,
                       Clock::now() - call.deadlines.startedAt,
                       std::move(answer),
                       reason,
                       connectionUseOf(call),
                       takesCalls()};
  ended.limit = call.expiredLimit;
  ended.receivedBytes = received_.size();
  attempts_.end(std::move(ended));
}

ConnectionUse UpstreamConnection::connectionUseOf(const PendingCall& call) const {
  if (!connected_) return ConnectionUse::none;
  return call.isFirst ? ConnectionUse::opened : ConnectionUse::reused;
}

// --- Writing --------------------------------------------------------------------------------------------

void UpstreamConnection::flush() {
  if (closed_ || !connected_ || waitingWritable_) return;
  onDeadlines();  // what may not be written any more is taken back first, also if the timer is late
  if (closed_) return;
  const SendBuffer::Written written = unsent_.write(socket_);
  for (std::size_t i = 0; i < written.requests; ++i) attempts_.countWritten();
  switch (written.status) {
    case SendBuffer::Status::empty: return;
    case SendBuffer::Status::failed: return close(Outcome::reset);
    case SendBuffer::Status::blocked: break;
  }
  waitingWritable_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& ec) {
    self->waitingWritable_ = false;
    if (self->closed_) return;
    if (ec) self->close(Outcome::reset);
    else self->flush();
  });
}

// --- Reading --------------------------------------------------------------------------------------------

void UpstreamConnection::waitReadable() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& ec) {
    if (self->closed_) return;
    if (ec) self->close(Outcome::reset);
    else self->onReadable();
  });
}

void UpstreamConnection::onReadable() {
  error_code ec;
  std::vector<char>& buffer = pool_.readBuffer();
  const std::size_t bytes = readSome(socket_, asio::buffer(buffer), ec);
  if (wouldBlock(ec)) return waitReadable();
  if (ec) return close(Outcome::reset);
  received_.append(buffer.data(), bytes);
  received_.reserve(received_.size() + kPadding);
  if (!readFrames()) return close(Outcome::reset, FailureReason::malformedResponse);
  if (closed_) return;
  if (received_.empty()) endDelayedCalls();
  if (closed_) return;
  if (isIdle()) idleSince_ = Clock::now();
  closeIfDrained();
  if (closed_) return;
  scheduleTimer();
  waitReadable();
}

// False if the worker can't be understood, and so neither can what follows.
bool UpstreamConnection::readFrames() {
  std::string_view rest = received_;
  while (!closed_) {
    std::string_view text;
    const FrameReader::State state = frames_.next(rest, text);
    rest.remove_prefix(frames_.taken());
    if (state == FrameReader::State::more) break;
    if (state != FrameReader::State::frame || !onAnswer(text)) return false;
  }
  received_.erase(0, received_.size() - rest.size());
  if (received_.empty() && received_.capacity() > kKeepCapacity) std::string().swap(received_);
  return true;
}

// False if it is no answer to a call here. A reply that nobody asked for, or a second one to a call that has
// ended, belongs to some other call, and it can't be known to which.
bool UpstreamConnection::onAnswer(std::string_view text) {
  const Answer& answer = pool_.parser().parseAnswer(text);
  if (!answer.readable || !answer.hasId) return false;
  const auto known = calls_.find(answer.id);
  if (known == calls_.end()) return false;
  const PendingCall call = known->second;
  if (!unsent_.isWritten(call.bytes)) return false;  // it can't be the answer to what was not asked yet
  Outcome outcome = outcomeOf(answer);
  // A result that crossed the cancel is as good as any; an error says that the worker has stopped.
  if (call.cancelled && answer.failed && outcome != Outcome::overloaded) outcome = call.cancelOutcome;
  Message message;
  if (outcome == Outcome::served) {
    message.format = Format::json;
    message.declined = answer.failed;
    message.body = std::string(answer.failed ? answer.error : answer.result);
  }
  calls_.erase(known);
  ids_.erase(call.key);
  endCall(call, outcome, FailureReason::unknown, std::move(message));
  return true;
}

// --- Deadlines ------------------------------------------------------------------------------------------

void UpstreamConnection::setDeadline(std::uint64_t id, PendingCall& call, Clock::time_point time) {
  call.nextDeadline = time;
  deadlines_.add({time, id});
  if (deadlines_.hasTooManyFormer(calls_.size())) {
    std::vector<DeadlineQueue::Deadline> current;
    current.reserve(2 * calls_.size());
    for (const auto& [each, pending] : calls_) current.push_back({pending.nextDeadline, each});
    deadlines_.replace(std::move(current));
  }
  scheduleTimer();
}

bool UpstreamConnection::isCurrent(const DeadlineQueue::Deadline& deadline) const {
  const auto known = calls_.find(deadline.call);
  return known != calls_.end() && known->second.nextDeadline == deadline.time;
}

// One timer for all deadlines of the connection. A timer that is too early does no harm.
void UpstreamConnection::scheduleTimer() {
  auto time = deadlines_.earliest([this](const auto& deadline) { return isCurrent(deadline); })
                  .value_or(Clock::time_point::max());
  if (!connected_) time = std::min(time, connectBy_);
  if (time == Clock::time_point::max() || (timerAt_ && *timerAt_ <= time)) return;
  timerAt_ = time;
  timer_.expires_at(time);
  timer_.async_wait([self = shared_from_this()](const error_code& ec) {
    if (ec || self->closed_) return;
    self->timerAt_.reset();
    self->onDeadlines();
  });
}

void UpstreamConnection::onDeadlines() {
  const auto now = Clock::now();
  if (!connected_ && now >= connectBy_) return close(Outcome::connectFailed, FailureReason::connectTimeout);
  while (!closed_) {
    const auto due = deadlines_.takeDue(now, [this](const auto& deadline) { return isCurrent(deadline); });
    if (!due) break;
    onDeadline(*due);
  }
  if (!closed_) scheduleTimer();
}

void UpstreamConnection::onDeadline(std::uint64_t id) {
  PendingCall& call = calls_.at(id);
  const auto now = Clock::now();
  if (call.cancelled) {
    if (awaitsAnswerBesideCancelled(now)) return setDeadline(id, call, now + pool_.limits().cancelWait);
    // It is silent even to the cancel. On an open connection the attempt might run beside the next one.
    return close(Outcome::reset);
  }
  if (call.nextDeadline < call.deadlines.responseStartBy) return onWriteTimeout(id);
  if (mayDelay(call, now)) return delayCall(id, call, now);
  const AttemptKey key = call.key;
  call.expiredLimit = call.delayed ? AttemptLimit::clientTime : AttemptLimit::responseStart;
  cancel(key, Outcome::timeout);
}

// Also looks at the socket, since the timer may have been handled before a read that is ready as well.
bool UpstreamConnection::isAnswerUnderWay() {
  return !received_.empty() || peekInput(socket_) == SocketInput::bytes;
}

// Whose answer is under way is known only at its end: of each call that is written, it may be that one's, and
// no other answer can come before it.
bool UpstreamConnection::mayDelay(const PendingCall& call, Clock::time_point now) {
  return isWritten(call) && now < call.deadlines.lateReplyAt && isAnswerUnderWay();
}

// An answer is not passed on in parts, so it is awaited for as long as a final answer may be late. The load
// balancer is told before it ends the request itself.
void UpstreamConnection::delayCall(std::uint64_t id, PendingCall& call, Clock::time_point now) {
  call.delayed = true;
  if (now < call.deadlines.passOnAt) return setDeadline(id, call, call.deadlines.passOnAt);
  setDeadline(id, call, call.deadlines.lateReplyAt);
  if (!delayed_ || std::exchange(call.reported, true)) return;
  AttemptOutcome outcome{call.key, endpoint_, Outcome::served, now - call.deadlines.startedAt, {}};
  outcome.connectionUse = connectionUseOf(call);
  outcome.receivedBytes = received_.size();
  delayed_(std::move(outcome));
}

// Whether closing the connection would cut off the answer to a call whose client still waits.
bool UpstreamConnection::awaitsAnswerBesideCancelled(Clock::time_point now) {
  if (!isAnswerUnderWay()) return false;
  return std::any_of(calls_.begin(), calls_.end(), [now](const auto& each) {
    return !each.second.cancelled && now < each.second.deadlines.lateReplyAt;
  });
}

// No answer is under way: calls that were delayed for one are silent after all.
void UpstreamConnection::endDelayedCalls() {
  std::vector<AttemptKey> keys;
  for (auto& [id, call] : calls_) {
    if (!call.delayed || call.cancelled) continue;
    call.expiredLimit = AttemptLimit::responseStart;
    keys.push_back(call.key);
  }
  for (const AttemptKey key : keys) cancel(key, Outcome::timeout);
}

// Half a request that others stand behind would become whole later: then all end with the connection.
void UpstreamConnection::onWriteTimeout(std::uint64_t id) {
  PendingCall& call = calls_.at(id);
  setDeadline(id, call, call.deadlines.responseStartBy);
  if (isWritten(call)) return;
  const AttemptKey key = call.key;
  cancelIfUnsent(key, FailureReason::attemptTimeout);
  if (ids_.contains(key)) close(Outcome::reset);
}

}  // namespace cairnjunction::jsonrpc
