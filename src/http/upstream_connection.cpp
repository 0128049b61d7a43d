// An HTTP/1.1 connection to an endpoint.
#include "http/upstream_connection.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>

#include "common/socket_io.hpp"
#include "common/unacknowledged_bytes.hpp"
#include "http/upstream_pool.hpp"
#include "upstream/connector.hpp"
#include "upstream/idle_connection.hpp"

namespace cairnjunction {

namespace asio = boost::asio;
using boost::system::error_code;
using policy::ConnectionUse;
using policy::Duration;
using policy::FailureReason;
using policy::Outcome;
using tcp = asio::ip::tcp;

namespace {

// Buffer of a streamed response: a few reads only, since there may be one for each client connection.
constexpr std::size_t kStreamCapacityBytes = 32 << 10;
// Limits how long a client that stops reading a streamed response occupies the connection.
constexpr Duration kUnreadTimeout = std::chrono::seconds(10);
// A request that is not written this long before its client's time is over can't be answered in time: its
// client is told that it never ran.
constexpr Duration kUnansweredReserve = std::chrono::milliseconds(20);

}  // namespace

HttpConnection::HttpConnection(asio::io_context& io, HttpConnectionPool& pool, Attempts& attempts,
                               const ResponseEvents& events, policy::EndpointId endpoint)
    : pool_(pool),
      attempts_(attempts),
      events_(events),
      endpoint_(endpoint),
      socket_(io),
      timer_(io),
      responseCharge_(pool.limits().memory, MemoryOwner::endpointResponses) {}

void HttpConnection::start(AttemptKey key, const tcp::endpoint& address, const Call& call,
                           const AttemptDeadlines& deadlines) {
  key_ = key;
  address_ = address;
  call_ = &call;
  deadlines_ = deadlines;
  hasAttempt_ = true;
  mayStream_ = call.acceptsStreaming && events_.started;
  if (established_) return writeWhenQuiet();
  openedForAttempt_ = true;
  connect();
}

void HttpConnection::openSpare(const tcp::endpoint& address) {
  address_ = address;
  deadlines_ = AttemptDeadlines({pool_.limits().connectTimeout}, Clock::now());
  connect();
}

// --- Connecting -----------------------------------------------------------------------------------------

void HttpConnection::connect() {
  // Until the connection is established nothing has been written. So a timeout of the attempt proves that it
  // was not executed, just as the connect timeout does.
  const auto connectBy = deadlines_.startedAt + pool_.limits().connectTimeout;
  const auto attemptEnd = deadlines_.unwrittenEnd();
  if (attemptEnd < connectBy)
    endAt(attemptEnd, AttemptLimit::responseStart, Outcome::connectFailed, FailureReason::attemptTimeout);
  else endAt(connectBy, AttemptLimit::none, Outcome::connectFailed, FailureReason::connectTimeout);
  const ConnectStart begun =
      beginConnect(socket_, address_, [self = shared_from_this()](std::optional<FailureReason> failure) {
        if (self->phase_ != Phase::connecting) return;
        if (failure) self->end(Outcome::connectFailed, *failure);
        else self->onConnected();
      });
  if (begun == ConnectStart::noDescriptor) end(Outcome::connectFailed, FailureReason::noDescriptor);
}

void HttpConnection::onConnected() {
  established_ = true;
  silentSince_ = Clock::now();
  connectTime_ = silentSince_ - deadlines_.startedAt;
  pool_.counts().onEstablished(endpoint_);
  if (!isEndpointServing()) end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
  else if (hasAttempt_) writeWhenQuiet();
  else becomeIdle();
}

// Checked again before the first byte is written: since the attempt began, the endpoint list may have changed
// the endpoint to draining, removed it or changed its address, and it must get no new request after that.
bool HttpConnection::isEndpointServing() const { return pool_.endpoints().isServingAt(endpoint_, address_); }

// The required silence is looked up each time, since unsolicited bytes of an endpoint lengthen it.
void HttpConnection::writeWhenQuiet() {
  const auto now = Clock::now();
  const auto silentEnough = pool_.silentEnough(*this, now);
  if (now < silentEnough) return waitForSilence(silentEnough);
  if (isEndpointServing()) beginWriting();
  else end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
}

void HttpConnection::waitForSilence(Clock::time_point silentEnough) {
  phase_ = Phase::quiet;
  watchIdle();
  const auto attemptEnd = deadlines_.unwrittenEnd();
  timer_.expires_at(std::min(silentEnough, attemptEnd));
  timer_.async_wait([self = shared_from_this(), attemptEnd, wait = ++timerWait_](const error_code& ec) {
    if (ec || wait != self->timerWait_ || self->phase_ != Phase::quiet) return;
    if (Clock::now() < attemptEnd) self->writeWhenQuiet();
    else self->endUnwritten(Outcome::connectFailed, FailureReason::attemptTimeout);
  });
}

void HttpConnection::onQuietInput() {
  switch (idleInput()) {
    case IdleInput::silent: return watchIdle();
    case IdleInput::closed: return end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    case IdleInput::unsolicitedBytes: return onUnsolicitedBytes(Outcome::connectFailed);
  }
}

// --- Writing --------------------------------------------------------------------------------------------

// The request is formatted only now: it contains the remaining time, and connecting or the wait for silence
// may have used much of it. Until the last byte is written the attempt is not executed, so both of its
// timeouts end it as not sent.
void HttpConnection::beginWriting() {
  phase_ = Phase::writing;
  if (requests_++ == 0) firstSilence_ = Clock::now() - silentSince_;
  writer_.begin(*call_, address_, deadlines_.responseStartBy - Clock::now());
  writeBy_ = deadlines_.unwrittenEnd();
  requestDelayed_ = false;
  progress_.begin(Clock::now(), writeBy_);
  callAt(progress_.baselineUntil(), &HttpConnection::watchRequestProgress);
  write();
}

void HttpConnection::write() {
  // Checked here too, since the timer may fire late.
  if (Clock::now() >= writeBy_) return onWriteLimit();
  // What is there before the last byte of the request is written is no response to it.
  switch (idleInput()) {
    case IdleInput::silent: break;
    case IdleInput::closed: return end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    case IdleInput::unsolicitedBytes: return onUnsolicitedBytes(Outcome::connectFailed);
  }
  switch (writer_.write(socket_)) {
    case RequestWriter::Result::blocked: return waitWritable();
    case RequestWriter::Result::failed: return end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    case RequestWriter::Result::written: break;
  }
  attempts_.countWritten();
  call_ = nullptr;
  beginReading();
}

void HttpConnection::waitWritable() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& ec) {
    if (self->phase_ != Phase::writing) return;
    if (ec) self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    else self->write();
  });
}

// Called before the limit, while the request is written or its response has not begun.
void HttpConnection::watchRequestProgress() {
  const auto now = Clock::now();
  const std::size_t taken = takenRequestBytes();
  progress_.sample(now, taken);
  const bool isWriting = phase_ == Phase::writing;
  const auto limit = isWriting ? writeBy_ : deadlines_.responseStartBy;
  const auto next = now + RequestProgress::kSampleInterval;
  if (next < limit && (isWriting || taken < writer_.writtenBytes()))
    callAt(next, &HttpConnection::watchRequestProgress);
  else callAt(limit, isWriting ? &HttpConnection::onWriteLimit : &HttpConnection::onResponseStartLimit);
}

// Bytes of the current request that the endpoint's system has taken.
std::size_t HttpConnection::takenRequestBytes() {
  return writer_.writtenBytes() - std::min(writer_.writtenBytes(), unacknowledgedBytes(socket_));
}

bool HttpConnection::isRequestBeingTaken() {
  const auto now = Clock::now();
  progress_.sample(now, takenRequestBytes());
  return progress_.isBeingTaken(now);
}

// An endpoint that reads a large request slowly is not silent: the request is written to its end, as long as
// the client waits and a repeat is recognized.
void HttpConnection::onWriteLimit() {
  const auto now = Clock::now();
  const auto latest = std::min(deadlines_.clientWaitsUntil - kUnansweredReserve, deadlines_.writtenBy);
  if (!requestDelayed_ && now < latest && isRequestBeingTaken()) {
    requestDelayed_ = true;
    writeBy_ = latest;
    callAt(writeBy_, &HttpConnection::onWriteLimit);
    return waitWritable();
  }
  expiredLimit_ = requestDelayed_ ? AttemptLimit::clientTime : AttemptLimit::responseStart;
  end(Outcome::connectFailed, FailureReason::attemptTimeout);
}

// --- Reading --------------------------------------------------------------------------------------------

void HttpConnection::beginReading() {
  phase_ = Phase::reading;
  readingPaused_ = false;
  responseBegun_ = false;
  responseDelayed_ = false;
  lateReplyLimited_ = false;
  reader_.begin();
  if (requestDelayed_) callAt(deadlines_.clientWaitsUntil, &HttpConnection::onClientTime);
  else callAt(progress_.baselineUntil(), &HttpConnection::watchRequestProgress);
  receive();
}

// The load balancer's limit is there to decide on a retry, or on giving up a silent endpoint. A response that
// has begun is neither: the rest of it is awaited.
void HttpConnection::onResponseStartLimit() {
  if (hasResponseBegun() || isRequestBeingTaken() ||
      progress_.isPartlyTaken(Clock::now(), writer_.writtenBytes()))
    return delayResponse();
  expiredLimit_ = AttemptLimit::responseStart;
  end(Outcome::timeout);
}

// Also looks at the socket, since the timer may have been handled before a read that is ready as well.
bool HttpConnection::hasResponseBegun() {
  return reader_.hasBegun() || peekInput(socket_) != SocketInput::none;
}

// More of a response has been read that is not complete and not streamed.
void HttpConnection::onResponseProgress() {
  if (!reader_.hasBegun()) return;
  const auto now = Clock::now();
  if (now >= deadlines_.passOnAt) return passOn();
  if (!std::exchange(responseBegun_, true) && deadlines_.passOnAt < deadlines_.responseStartBy)
    callAt(deadlines_.passOnAt, &HttpConnection::onClientTimeNear);
  if (responseDelayed_) delayResponse();
}

// The limit for the begin of the response has passed.
void HttpConnection::delayResponse() {
  if (!std::exchange(responseDelayed_, true)) callAt(deadlines_.passOnAt, &HttpConnection::onClientTimeNear);
  if (!reader_.isBuffering()) return;
  // Of any other status nothing more has to be known.
  if (reader_.outcome() != Outcome::served) return end(reader_.outcome());
  reportDelay();
}

void HttpConnection::onClientTimeNear() {
  if (hasResponseBegun()) passOn();
  else callAt(deadlines_.clientWaitsUntil, &HttpConnection::onClientTime);
}

// The endpoint still took the request when its response should have begun.
void HttpConnection::onClientTime() {
  if (hasResponseBegun()) return passOn();
  expiredLimit_ = AttemptLimit::clientTime;
  end(Outcome::timeout);
}

// The client's time is about to be over, or has been since before the response began: what has come of it is
// passed on, and the rest while it comes. A response whose head is not complete, or whose client takes it
// only as a whole, has until the latest time of a final answer.
void HttpConnection::passOn() {
  if (!std::exchange(lateReplyLimited_, true))
    endAt(deadlines_.lateReplyAt, AttemptLimit::clientTime, Outcome::timeout);
  responseDelayed_ = true;
  if (!reader_.hasBegun()) return;  // a read is ready
  if (reader_.isBuffering() && reader_.outcome() != Outcome::served) return end(reader_.outcome());
  reportDelay();
  if (phase_ == Phase::reading && reader_.isBuffering() && mayStream_)
    startStreaming(StreamReason::clientTime);
}

// The load balancer counts the attempt as ended.
void HttpConnection::reportDelay() {
  if (onlyTransferring_ || !events_.delayed) return;
  excludeFromCounts();
  events_.delayed(servedOutcome(responseBegunAt_ - deadlines_.startedAt, {}));
}

// An attempt may end, by a timeout or by cancel(), while a completed read is still queued in the event loop.
// So no library operation may refer to the parser: only the socket is read here, and the phase shows whether
// the received bytes are still needed.
void HttpConnection::receive() {
  if (readingPaused_) return;
  socket_.async_read_some(reader_.prepare(),
                          [self = shared_from_this()](const error_code& ec, std::size_t bytes) {
                            if (self->phase_ != Phase::reading) return;
                            if (ec) return self->onReadFailed(ec);
                            self->lastReceivedAt_ = Clock::now();
                            if (self->reader_.receivedBytes() == 0)
                              self->responseBegunAt_ = self->lastReceivedAt_;
                            self->reader_.commit(bytes);
                            self->onReceived();
                          });
}

void HttpConnection::onReceived() {
  switch (reader_.read()) {
    case ResponseReader::State::incomplete:
      chargeResponse();
      if (!reader_.isStreaming()) onResponseProgress();
      if (phase_ == Phase::reading && streamBody()) receive();
      return;
    case ResponseReader::State::complete: return onComplete();
    case ResponseReader::State::decidedByHead: return end(reader_.outcome());
    case ResponseReader::State::malformed: return end(Outcome::error, FailureReason::malformedResponse);
    case ResponseReader::State::abandoned: return;  // the consumer of the stream has ended the attempt
  }
}

void HttpConnection::onComplete() {
  const Outcome outcome = reader_.outcome();
  silentSince_ = Clock::now();
  if (reader_.hasSurplus()) return onUnsolicitedBytes(outcome);
  end(outcome, FailureReason::unknown, reader_.mayReuseConnection());
}

void HttpConnection::onReadFailed(const error_code& ec) {
  const bool whole = ec == asio::error::eof && reader_.endsWithConnection();
  end(whole ? Outcome::served : Outcome::reset);
}

void HttpConnection::chargeResponse() { responseCharge_.set(reader_.heldBytes()); }

// Whether responses that are buffered exceed their share of the memory. This one is then streamed, so that
// its client's connection holds it, or given up.
bool HttpConnection::exceedsMemory() const {
  const auto& limits = pool_.limits();
  return limits.memory && limits.memory->held(MemoryOwner::endpointResponses) > limits.responseBytes &&
         reader_.isBuffering();
}

// Streams an incomplete response if it must be. Returns whether to read on: false if the stream is full or
// the attempt has ended.
bool HttpConnection::streamBody() {
  if (reader_.isStreaming()) {
    limitSilence(lastReceivedAt_);
  } else {
    const StreamReason reason = streamReason();
    if (reason == StreamReason::none) return true;
    if (reader_.outcome() != Outcome::served || !mayStream_) {
      end(Outcome::error, FailureReason::malformedResponse);
      return false;
    }
    startStreaming(reason);
    if (phase_ != Phase::reading || !reader_.isStreaming()) return false;  // ended by the callback
  }
  readingPaused_ = reader_.streamRoom() == 0;
  // Now it is the client that is waited for, and its response is limited by the frontend too.
  if (readingPaused_) endAt(Clock::now() + kUnreadTimeout, AttemptLimit::silence, Outcome::reset);
  return !readingPaused_;
}

StreamReason HttpConnection::streamReason() const {
  if (reader_.exceedsBuffer()) return StreamReason::size;
  return exceedsMemory() ? StreamReason::memory : StreamReason::none;
}

void HttpConnection::startStreaming(StreamReason reason) {
  const auto stream = std::make_shared<BodyStream>(kStreamCapacityBytes);
  stream->onLeft = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamLeft();
  };
  stream->onRoom = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamRoom();
  };
  AttemptOutcome started = servedOutcome(Clock::now() - deadlines_.startedAt, reader_.streamTo(stream));
  started.streamReason = reason;
  limitSilence(lastReceivedAt_);
  excludeFromCounts();
  events_.started(std::move(started));
}

void HttpConnection::excludeFromCounts() {
  if (!std::exchange(onlyTransferring_, true)) pool_.counts().exclude(endpoint_);
}

// Of an attempt whose response is on its way.
AttemptOutcome HttpConnection::servedOutcome(Duration elapsed, Message response) const {
  AttemptOutcome outcome{key_, endpoint_, Outcome::served, elapsed, std::move(response)};
  outcome.connectionUse = connectionUse();
  outcome.receivedBytes = reader_.receivedBytes();
  return outcome;
}

// Since the latest byte of the current response.
Duration HttpConnection::silence() const {
  return reader_.receivedBytes() > 0 ? Clock::now() - lastReceivedAt_ : Duration::zero();
}

void HttpConnection::onStreamRoom() {
  if (!readingPaused_ || phase_ != Phase::reading) return;
  readingPaused_ = false;
  limitSilence(Clock::now());
  receive();
}

// Ends the attempt if the endpoint sends nothing more of a streamed response. One that makes progress goes on
// for as long as the client stays, also past the client's time.
void HttpConnection::limitSilence(Clock::time_point silentFrom) {
  callAt(silentFrom + pool_.limits().responseSilence, &HttpConnection::onSilence);
}

// Looks at the socket first, since the timer may have been handled before a read that is ready as well.
void HttpConnection::onSilence() {
  if (peekInput(socket_) != SocketInput::none) return limitSilence(Clock::now());
  expiredLimit_ = AttemptLimit::silence;
  end(Outcome::reset);
}

void HttpConnection::onStreamLeft() {
  if (phase_ == Phase::reading) end(Outcome::cancelled);
}

// --- The end of an attempt ------------------------------------------------------------------------------

void HttpConnection::cancel() {
  if (phase_ == Phase::quiet) endUnwritten(Outcome::cancelled, FailureReason::unknown);
  else end(Outcome::cancelled);
}

void HttpConnection::cancelIfUnsent() {
  if (phase_ == Phase::quiet) endUnwritten(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
  else if (phase_ == Phase::connecting || phase_ == Phase::writing)
    end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
}

// Ends an attempt that waits for silence. A new connection is kept, since its silence goes on.
void HttpConnection::endUnwritten(Outcome outcome, FailureReason reason) { end(outcome, reason, !isUsed()); }

// --- Unsolicited bytes ----------------------------------------------------------------------------------

UnsolicitedAfter HttpConnection::unsolicitedAfter() const {
  const auto now = Clock::now();
  ConnectionHistory before = history(now);
  // Bytes before the end of a request follow what was there before it.
  if (phase_ == Phase::writing) --before.requests;
  return pool_.trust().classify(before, now);
}

// The endpoint has sent bytes that answer no request. `outcome` is the attempt's if its response, where there
// is one, is trusted. The pool is told first, since the end of an attempt may start the next one at once.
void HttpConnection::onUnsolicitedBytes(Outcome outcome) {
  const auto self = shared_from_this();
  const UnsolicitedAfter after = unsolicitedAfter();
  pool_.onUnsolicitedBytes(*this);
  if (!hasAttempt_) return;  // ended meanwhile
  if (outcome == Outcome::connectFailed) end(outcome, FailureReason::unsolicitedBytes);
  else if (isTrusted(after)) end(outcome);
  else end(Outcome::error, FailureReason::unsolicitedBytes);
}

// Whether the response to the current request is its own although the endpoint sends unsolicited bytes.
bool HttpConnection::isTrusted(UnsolicitedAfter after) const {
  const bool isFirst = requests_ == 1;
  if (!isFirst) return after == UnsolicitedAfter::connecting;
  const bool mayBeFromConnecting =
      after == UnsolicitedAfter::connecting || after == UnsolicitedAfter::connectingOrResponse;
  return !mayBeFromConnecting || firstSilence_ >= pool_.limits().silence.inDoubt;
}

void HttpConnection::onEndpointDistrusted(UnsolicitedAfter after) {
  switch (phase_) {
    case Phase::quiet:
      if (isUsed() && after != UnsolicitedAfter::connecting)
        end(Outcome::connectFailed, FailureReason::unsolicitedBytes);
      return;
    case Phase::writing:
      if (!isTrusted(after)) end(Outcome::connectFailed, FailureReason::unsolicitedBytes);
      return;
    case Phase::reading:
      if (isTrusted(after)) return;
      // Unsolicited bytes come at once; a response that comes in parts is most likely the request's own.
      closesAfterResponse_ = true;
      if (!reader_.hasBegun()) end(Outcome::error, FailureReason::unsolicitedBytes);
      return;
    case Phase::connecting:
    case Phase::idle:
    case Phase::closed: return;
  }
}

// The connection is reused only after a complete response: otherwise the rest of the response may still
// arrive, and would be taken for the response to the next request.
void HttpConnection::end(Outcome outcome, FailureReason reason, bool reusable) {
  const auto self = shared_from_this();
  if (!std::exchange(hasAttempt_, false)) return close();  // opened for a later attempt
  AttemptOutcome ended{key_, endpoint_, outcome, Clock::now() - deadlines_.startedAt, {}, reason};
  ended.connectionUse = connectionUse();
  ended.limit = std::exchange(expiredLimit_, AttemptLimit::none);
  ended.receivedBytes = reader_.receivedBytes();
  ended.silence = silence();
  openedForAttempt_ = false;
  const auto stream = reader_.takeStream();
  auto message = reader_.takeMessage();
  if (outcome == Outcome::served && message) ended.response = std::move(*message);
  reader_.clear();
  responseCharge_.set(0);
  const auto* const entry = pool_.endpoints().find(endpoint_);
  // While the connection was excluded from the counts, the endpoint's id may have been reused for another
  // one.
  ended.connectionKept = reusable && !closesAfterResponse_ && entry != nullptr && entry->serving &&
                         (!onlyTransferring_ || entry->address == address_) &&
                         !(isUsed() && pool_.trust().isSingleUse(endpoint_, Clock::now()));
  if (ended.connectionKept) {
    if (std::exchange(onlyTransferring_, false)) pool_.counts().include(endpoint_);
    becomeIdle();
  } else {
    close();
  }
  // The stream is ended last, since the client may then send its next request.
  attempts_.end(std::move(ended));
  if (!stream) return;
  if (outcome == Outcome::served) stream->finish();
  else stream->fail();
}

ConnectionUse HttpConnection::connectionUse() const {
  if (!established_) return ConnectionUse::none;
  return openedForAttempt_ ? ConnectionUse::opened : ConnectionUse::reused;
}

void HttpConnection::close() {
  if (phase_ == Phase::closed) return;
  phase_ = Phase::closed;
  stopTimer();
  error_code ignored;
  socket_.close(ignored);
  if (const auto stream = reader_.takeStream()) stream->fail();
  responseCharge_.set(0);
  pool_.onClosed(*this, established_, onlyTransferring_);
}

// --- Idle -----------------------------------------------------------------------------------------------

void HttpConnection::becomeIdle() {
  phase_ = Phase::idle;
  stopTimer();
  writer_.clear();
  reader_.freeBuffer();
  call_ = nullptr;
  pool_.addIdle(shared_from_this());
  watchIdle();
}

// A connection on which no response is due becomes readable when the endpoint closes it or sends unsolicited
// bytes.
void HttpConnection::watchIdle() {
  if (std::exchange(watchingIdle_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code&) {
    self->watchingIdle_ = false;
    if (self->phase_ == Phase::idle) self->onIdleInput();
    else if (self->phase_ == Phase::quiet) self->onQuietInput();
  });
}

void HttpConnection::onIdleInput() {
  const auto self = shared_from_this();
  const IdleInput input = idleInput();
  if (input == IdleInput::silent) return watchIdle();
  if (input == IdleInput::unsolicitedBytes) pool_.onUnsolicitedBytes(*this);
  pool_.closeIdle(self);
}

// --- Timer ----------------------------------------------------------------------------------------------

// The wait number makes a wait ineffective that had already expired when the timer was set again.
void HttpConnection::callAt(Clock::time_point time, void (HttpConnection::*action)()) {
  timer_.expires_at(time);
  timer_.async_wait([self = shared_from_this(), wait = ++timerWait_, action](const error_code& ec) {
    if (!ec && wait == self->timerWait_ && self->phase_ != Phase::closed) (self.get()->*action)();
  });
}

// Ends the attempt at `time`; otherwise like callAt().
void HttpConnection::endAt(Clock::time_point time, AttemptLimit limit, Outcome outcome,
                           FailureReason reason) {
  timer_.expires_at(time);
  timer_.async_wait(
      [self = shared_from_this(), wait = ++timerWait_, limit, outcome, reason](const error_code& ec) {
        if (ec || wait != self->timerWait_ || self->phase_ == Phase::closed) return;
        self->expiredLimit_ = limit;
        self->end(outcome, reason);
      });
}

void HttpConnection::stopTimer() {
  ++timerWait_;
  timer_.cancel();
}

}  // namespace cairnjunction
