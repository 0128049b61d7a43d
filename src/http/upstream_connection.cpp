// An HTTP/1.1 connection to an endpoint.
#include "http/upstream_connection.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>

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
// Limits how long an endpoint that stops sending within a response, or a client that stops reading, occupies
// the connection.
constexpr Duration kStallTimeout = std::chrono::seconds(10);

}  // namespace

void HttpConnection::start(AttemptKey key, const tcp::endpoint& address, const Call& call,
                           const AttemptDeadlines& deadlines) {
  key_ = key;
  address_ = address;
  call_ = &call;
  deadlines_ = deadlines;
  mayStream_ = call.acceptsStreaming && responseStarted_;
  if (reused_) writeWhenQuiet();
  else connect();
}

// --- Connecting -----------------------------------------------------------------------------------------

void HttpConnection::connect() {
  // Until the connection is established nothing has been written. So a timeout of the attempt proves that it
  // was not executed, just as the connect timeout does.
  const auto connectBy = deadlines_.startedAt + pool_.limits().connectTimeout;
  const auto attemptEnd = deadlines_.unwrittenEnd();
  if (attemptEnd < connectBy) endAt(attemptEnd, Outcome::connectFailed, FailureReason::attemptTimeout);
  else endAt(connectBy, Outcome::connectFailed, FailureReason::connectTimeout);
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
  pool_.counts().onEstablished(endpoint_);
  if (isEndpointServing()) beginWriting();
  else end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
}

// Checked again before the first byte is written: since the attempt began, the endpoint list may have changed
// the endpoint to draining, removed it or changed its address, and it must get no new request after that.
bool HttpConnection::isEndpointServing() const { return pool_.endpoints().isServingAt(endpoint_, address_); }

void HttpConnection::writeWhenQuiet() {
  const auto quietAt = idleSince_ + pool_.limits().quiet;
  if (Clock::now() >= quietAt) return beginWriting();
  phase_ = Phase::quiet;
  timer_.expires_at(quietAt);
  timer_.async_wait([self = shared_from_this(), wait = ++timerWait_](const error_code& ec) {
    if (!ec && wait == self->timerWait_ && self->phase_ == Phase::quiet) self->onQuiet();
  });
}

void HttpConnection::onQuiet() {
  if (!isEndpointServing()) end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
  else if (!isUsable()) end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
  else beginWriting();
}

// --- Writing --------------------------------------------------------------------------------------------

// The request is formatted only now: it contains the remaining time, and connecting or the quiet period may
// have used much of it. Until the last byte is written the attempt is not executed, so both of its timeouts
// end it as not sent.
void HttpConnection::beginWriting() {
  phase_ = Phase::writing;
  writer_.begin(*call_, address_, deadlines_.responseBy - Clock::now());
  endAt(deadlines_.unwrittenEnd(), Outcome::connectFailed, FailureReason::attemptTimeout);
  write();
}

void HttpConnection::write() {
  // Checked here too, since the timer may fire late.
  if (Clock::now() >= deadlines_.unwrittenEnd())
    return end(Outcome::connectFailed, FailureReason::attemptTimeout);
  switch (writer_.write(socket_)) {
    case RequestWriter::Result::blocked: return waitWritable();
    case RequestWriter::Result::failed: return end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    case RequestWriter::Result::written: break;
  }
  attempts_.countWritten();
  call_ = nullptr;
  endAt(deadlines_.responseBy, Outcome::timeout);
  beginReading();
}

void HttpConnection::waitWritable() {
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& ec) {
    if (self->phase_ != Phase::writing) return;
    if (ec) self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    else self->write();
  });
}

// --- Reading --------------------------------------------------------------------------------------------

void HttpConnection::beginReading() {
  phase_ = Phase::reading;
  readingPaused_ = false;
  reader_.begin();
  receive();
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
                            self->reader_.commit(bytes);
                            self->onReceived();
                          });
}

void HttpConnection::onReceived() {
  switch (reader_.read()) {
    case ResponseReader::State::incomplete:
      if (streamBody()) receive();
      return;
    case ResponseReader::State::complete:
      return end(reader_.outcome(), FailureReason::unknown, reader_.mayReuseConnection());
    case ResponseReader::State::decidedByHead: return end(reader_.outcome());
    case ResponseReader::State::malformed: return end(Outcome::error, FailureReason::malformedResponse);
    case ResponseReader::State::abandoned: return;  // the consumer of the stream has ended the attempt
  }
}

void HttpConnection::onReadFailed(const error_code& ec) {
  const bool whole = ec == asio::error::eof && reader_.endsWithConnection();
  end(whole ? Outcome::served : Outcome::reset);
}

// Streams an incomplete response if it must be. Returns whether to read on: false if the stream is full or
// the attempt has ended.
bool HttpConnection::streamBody() {
  if (reader_.isStreaming()) {
    endAt(Clock::now() + kStallTimeout, Outcome::reset);
  } else {
    if (!reader_.exceedsBuffer()) return true;
    if (reader_.outcome() != Outcome::served || !mayStream_) {
      end(Outcome::error, FailureReason::malformedResponse);
      return false;
    }
    startStreaming();
    if (phase_ != Phase::reading || !reader_.isStreaming()) return false;  // ended by the callback
  }
  readingPaused_ = reader_.streamRoom() == 0;
  return !readingPaused_;
}

void HttpConnection::startStreaming() {
  const auto stream = std::make_shared<BodyStream>(kStreamCapacityBytes);
  stream->onLeft = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamLeft();
  };
  stream->onRoom = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamRoom();
  };
  AttemptOutcome started{key_, endpoint_, Outcome::served, Clock::now() - deadlines_.startedAt,
                         reader_.streamTo(stream)};
  started.connectionUse = connectionUse();
  endAt(Clock::now() + kStallTimeout, Outcome::reset);
  onlyStreaming_ = true;
  pool_.counts().exclude(endpoint_);
  responseStarted_(std::move(started));
}

void HttpConnection::onStreamRoom() {
  if (!readingPaused_ || phase_ != Phase::reading) return;
  readingPaused_ = false;
  endAt(Clock::now() + kStallTimeout, Outcome::reset);
  receive();
}

void HttpConnection::onStreamLeft() {
  if (phase_ == Phase::reading) end(Outcome::cancelled);
}

// --- The end of an attempt ------------------------------------------------------------------------------

void HttpConnection::cancel() { end(Outcome::cancelled); }

void HttpConnection::cancelIfUnsent() {
  if (phase_ == Phase::connecting || phase_ == Phase::quiet || phase_ == Phase::writing)
    end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
}

// The connection is reused only after a complete response: otherwise the rest of the response may still
// arrive, and would be taken for the response to the next request.
void HttpConnection::end(Outcome outcome, FailureReason reason, bool reusable) {
  const auto self = shared_from_this();
  AttemptOutcome ended{key_, endpoint_, outcome, Clock::now() - deadlines_.startedAt, {}, reason};
  ended.connectionUse = connectionUse();
  reused_ = true;
  const auto stream = reader_.takeStream();
  auto message = reader_.takeMessage();
  if (outcome == Outcome::served && message) ended.response = std::move(*message);
  reader_.clear();
  const auto* const entry = pool_.endpoints().find(endpoint_);
  // While the connection was excluded from the counts, the endpoint's id may have been reused for another
  // one.
  ended.connectionKept =
      reusable && entry != nullptr && entry->serving && (!onlyStreaming_ || entry->address == address_);
  if (ended.connectionKept) {
    if (std::exchange(onlyStreaming_, false)) pool_.counts().include(endpoint_);
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
  if (reused_) return ConnectionUse::reused;
  return established_ ? ConnectionUse::opened : ConnectionUse::none;
}

void HttpConnection::close() {
  if (phase_ == Phase::closed) return;
  phase_ = Phase::closed;
  stopTimer();
  error_code ignored;
  socket_.close(ignored);
  if (const auto stream = reader_.takeStream()) stream->fail();
  pool_.onClosed(endpoint_, established_, onlyStreaming_);
}

// --- Idle -----------------------------------------------------------------------------------------------

void HttpConnection::becomeIdle() {
  phase_ = Phase::idle;
  stopTimer();
  writer_.clear();
  reader_.freeBuffer();
  idleSince_ = Clock::now();
  pool_.addIdle(shared_from_this());
  watchIdle();
}

// An idle connection becomes readable when the endpoint closes it or sends unsolicited bytes. Either way the
// connection is closed.
void HttpConnection::watchIdle() {
  if (std::exchange(watchingIdle_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code&) {
    self->watchingIdle_ = false;
    if (self->phase_ == Phase::idle) self->pool_.closeIdle(self);
    else if (self->phase_ == Phase::quiet)
      self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
  });
}

bool HttpConnection::isUsable() { return isOpenAndSilent(socket_); }

// --- Timer ----------------------------------------------------------------------------------------------

// Ends the attempt at `time`. The wait number makes a wait ineffective that had already expired when the
// timer was set again.
void HttpConnection::endAt(Clock::time_point time, Outcome outcome, FailureReason reason) {
  timer_.expires_at(time);
  timer_.async_wait([self = shared_from_this(), wait = ++timerWait_, outcome, reason](const error_code& ec) {
    if (!ec && wait == self->timerWait_ && self->phase_ != Phase::closed) self->end(outcome, reason);
  });
}

void HttpConnection::stopTimer() {
  ++timerWait_;
  timer_.cancel();
}

}  // namespace cairnjunction
