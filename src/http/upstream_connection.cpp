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

// Held of an answer that is passed on: a few reads, since there may be as many as clients have connections.
constexpr std::size_t kStreamCapacity = 32 << 10;
// An endpoint that falls silent within an answer, or a client that reads nothing, would hold the connection.
constexpr Duration kStallTimeout = std::chrono::seconds(10);

}  // namespace

void HttpConnection::start(AttemptKey key, const tcp::endpoint& address, const Call& call,
                           const AttemptDeadlines& deadlines) {
  key_ = key;
  address_ = address;
  call_ = &call;
  deadlines_ = deadlines;
  mayPassOn_ = call.acceptsStreaming && responseStarted_;
  if (reused_) writeWhenQuiet();
  else connect();
}

// --- Connecting -----------------------------------------------------------------------------------------

void HttpConnection::connect() {
  // Until the connection is up nothing has been written, so the end of the attempt's own time proves that it
  // was not executed, as the end of the time for connecting does.
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

// The list may have drained, dropped or moved the endpoint since the attempt began, and what is written after
// that would be new to it. So it is asked again ahead of the first byte.
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

// The text is made only now: it tells the endpoint the time that is left, and connecting or waiting may have
// taken much of it. Until the last byte is written the attempt was not executed, so both of its timeouts end
// it as that.
void HttpConnection::beginWriting() {
  phase_ = Phase::writing;
  writer_.begin(*call_, address_, deadlines_.responseBy - Clock::now());
  endAt(deadlines_.unwrittenEnd(), Outcome::connectFailed, FailureReason::attemptTimeout);
  write();
}

void HttpConnection::write() {
  // Also here, since the timer may be late.
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

// An attempt may end, by its time or by a cancel, with a completed read still in the event loop's queue. So
// no operation of a library may hold the parser: only the socket is read here, and the phase tells whether
// what has come is still wanted.
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
      if (passOnBody()) receive();
      return;
    case ResponseReader::State::whole:
      return end(reader_.outcome(), FailureReason::unknown, reader_.mayReuseConnection());
    case ResponseReader::State::decidedByHead: return end(reader_.outcome());
    case ResponseReader::State::malformed: return end(Outcome::error, FailureReason::malformedResponse);
    case ResponseReader::State::abandoned: return;  // the attempt has ended from within
  }
}

void HttpConnection::onReadFailed(const error_code& ec) {
  const bool whole = ec == asio::error::eof && reader_.endsWithConnection();
  end(whole ? Outcome::served : Outcome::reset);
}

// Of an answer that is not whole yet. False if there is nothing to read for now, or no more.
bool HttpConnection::passOnBody() {
  if (reader_.passesOn()) {
    endAt(Clock::now() + kStallTimeout, Outcome::reset);
  } else {
    if (!reader_.holdsTooMuch()) return true;
    if (reader_.outcome() != Outcome::served || !mayPassOn_) {
      end(Outcome::error, FailureReason::malformedResponse);
      return false;
    }
    startPassingOn();
    if (phase_ != Phase::reading || !reader_.passesOn()) return false;  // ended from within
  }
  readingPaused_ = reader_.streamRoom() == 0;
  return !readingPaused_;
}

void HttpConnection::startPassingOn() {
  const auto stream = std::make_shared<BodyStream>(kStreamCapacity);
  stream->onLeft = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamLeft();
  };
  stream->onRoom = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->onStreamRoom();
  };
  AttemptOutcome started{key_, endpoint_, Outcome::served, Clock::now() - deadlines_.startedAt,
                         reader_.passOnTo(stream)};
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

// The connection is kept only after a whole answer: on any other the rest of the answer may still come, and
// would be taken for the answer to the next request.
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
  // While it was only streaming, the endpoint's id may have been given to another one.
  ended.connectionKept =
      reusable && entry != nullptr && entry->serving && (!onlyStreaming_ || entry->address == address_);
  if (ended.connectionKept) {
    if (std::exchange(onlyStreaming_, false)) pool_.counts().include(endpoint_);
    becomeIdle();
  } else {
    close();
  }
  // The stream last: the client may go on to its next request.
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

// An idle connection becomes readable when the endpoint closes it; what an endpoint sends unasked ends it
// too.
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

// --- Time -----------------------------------------------------------------------------------------------

// The number of a wait tells one that is already due when the timer is moved.
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
