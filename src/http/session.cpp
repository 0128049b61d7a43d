// One client connection.
#include "http/session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <cstring>
#include <new>
#include <string_view>
#include <utility>

#include "common/socket_io.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 4096;                       // bytes per read
constexpr std::size_t kBodyReadSize = 64 << 10;               // bytes per read within a body
constexpr std::size_t kMaxUnparsedBytes = 2 * kBodyReadSize;  // buffered at any time, beside a head
constexpr std::size_t kMaxLingerBytes = 256 << 10;            // dropped in a lingering close
// Pipelined requests are read while a response is pending, since a disconnect is detected only after them.
// Up to kMaxAheadBytes are buffered, within Limits::bodyBytes. If a client sends more, its connection is
// closed after the response; the rest is read and dropped, kMaxDroppedAheadBytes between two pauses
// (Limits::floodPause).
constexpr std::size_t kMaxAheadBytes = 64 << 10;
constexpr std::size_t kMaxDroppedAheadBytes = 4 << 20;
// Arrival times of pipelined bytes are recorded at this resolution, for up to kMaxArrivals pieces; further
// bytes count as part of the last piece.
constexpr auto kArrivalResolution = std::chrono::milliseconds(10);
constexpr std::size_t kMaxArrivals = 64;

http::status statusOf(RequestError error) {
  switch (error) {
    case RequestError::malformed: return http::status::bad_request;
    case RequestError::tooSlow: return http::status::request_timeout;
    case RequestError::tooLarge: return http::status::payload_too_large;
    case RequestError::tooManyFields: return http::status::request_header_fields_too_large;
    case RequestError::outOfMemory: return http::status::service_unavailable;
  }
  return http::status::bad_request;
}

}  // namespace

HttpServer::Session::Session(HttpServer& server, tcp::socket socket)
    : server_(&server),
      socket_(std::move(socket)),
      buffer_(kHeaderLimit + kMaxUnparsedBytes),
      requestCharge_(server.memory_, MemoryOwner::clientRequests),
      responseCharge_(server.memory_, MemoryOwner::clientResponses) {
  resetParser();
}

void HttpServer::Session::start(Queue::iterator queuePosition) {
  queuePosition_ = queuePosition;
  waitReadable();
}

void HttpServer::Session::close(HttpCloseReason reason) {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  requestCharge_.set(0);
  responseCharge_.set(0);
  server_->queue(state_).erase(queuePosition_);
  state_ = State::closed;
  error_code ignored;
  socket_.close(ignored);
  if (const auto stream = std::exchange(rest_, nullptr)) stream->leave();
  server_->onSessionClosed(reason);
}

bool HttpServer::Session::hasUnreadBytes() const {
  error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

// Whether the socket has no bytes to read and the client has disconnected (end of stream or reset).
bool HttpServer::Session::isDisconnectNext() { return peekInput(socket_) == SocketInput::ended; }

void HttpServer::Session::enter(State state) {
  Queue& to = server_->queue(state);
  to.splice(to.end(), server_->queue(state_), queuePosition_);
  state_ = state;
  stateSince_ = Clock::now();
}

// Waits for the socket to become readable. Also while a response is pending: this detects a disconnect.
void HttpServer::Session::waitReadable() {
  if (waitingReadable_) return;
  waitingReadable_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->waitingReadable_ = false;
    if (ec) self->close(HttpCloseReason::clientClosed);
    else self->readable();
  });
}

// Called when the socket is readable. Bytes are read into the server's buffer, and only those that wait for
// more, or for their turn, are kept in the session's.
void HttpServer::Session::readable() {
  if (state_ == State::closed) return;
  if (isAnswering()) return readBehindResponse();
  error_code ec;
  const std::size_t size = bodyBegun_ || aheadOverrun_ ? kBodyReadSize : kReadSize;
  const std::size_t received = readSome(socket_, asio::buffer(server_->readBuffer_.data(), size), ec);
  if (wouldBlock(ec)) return waitReadable();
  if (ec) return onReadFailed();
  lastInputAt_ = Clock::now();
  if (state_ == State::lingering) {
    lingerBytes_ += received;
    return lingerBytes_ > kMaxLingerBytes ? close(HttpCloseReason::answered) : waitReadable();
  }
  if (state_ == State::waiting && aheadOverrun_) return dropAhead(received);
  try {
    append({server_->readBuffer_.data(), received});
    if (state_ == State::waiting) return readAhead();
  } catch (const std::bad_alloc&) {
    return onOutOfMemory();
  }
  parseRequest();
}

void HttpServer::Session::onReadFailed() {
  if (state_ == State::waiting) onDisconnect();
  else close(HttpCloseReason::clientClosed);
}

// The system has no memory for what was just read. A request that is not handed over yet is rejected; behind
// one whose response is pending the bytes are dropped, and the response is the last of the connection.
void HttpServer::Session::onOutOfMemory() {
  if (state_ != State::waiting) return reject(RequestError::outOfMemory);
  aheadOverrun_ = true;
  dropAhead(0);
}

void HttpServer::Session::append(std::string_view bytes) {
  const auto space = buffer_.prepare(bytes.size());
  std::memcpy(space.data(), bytes.data(), bytes.size());
  buffer_.commit(bytes.size());
}

void HttpServer::Session::freeEmptyBuffer() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

// --- A request --------------------------------------------------------------------------------------------

void HttpServer::Session::resetParser() {
  scanner_ = HeadScanner(HeadScanner::Kind::request);
  headComplete_ = requestBegun_ = bodyBegun_ = false;
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(server_->limits_.bodyMost);
}

void HttpServer::Session::parseRequest() {
  if (!requestBegun_) {
    requestBegun_ = true;
    requestBegunAt_ = Clock::now();
    enter(State::begun);
  }
  std::optional<RequestError> error;
  try {
    if (!headComplete_) error = parseHead();
    if (!error && headComplete_) error = parseBody();
    freeEmptyBuffer();
  } catch (const std::bad_alloc&) {
    error = RequestError::outOfMemory;
  }
  if (error) return reject(*error);
  chargeRequest();
  if (!server_->makeRequestRoom(*this)) return reject(RequestError::outOfMemory);
  if (parser_->is_done()) return handOver();
  if (server_->rejectPartial_) return endPartialRequest();
  if (bodyBegun_) enter(State::begun);  // progress: restarts the timeout
  return isTooSlow(parser_->request().body().size()) ? reject(RequestError::tooSlow) : waitReadable();
}

// Checks the head as far as it is there; headComplete_ tells whether it is whole.
std::optional<RequestError> HttpServer::Session::parseHead() {
  const auto data = buffer_.data();
  switch (scanner_.scan({static_cast<const char*>(data.data()), data.size()})) {
    case HeadScanner::State::bad: return RequestError::malformed;
    case HeadScanner::State::tooManyFields: return RequestError::tooManyFields;
    case HeadScanner::State::more:
      if (buffer_.size() > kHeaderLimit) return RequestError::tooLarge;
      return std::nullopt;
    case HeadScanner::State::whole: break;
  }
  headComplete_ = true;
  return std::nullopt;
}

// Parses the head, which is whole, and the body as far as it is there.
std::optional<RequestError> HttpServer::Session::parseBody() {
  error_code ec;
  while (buffer_.size() > 0 && !parser_->is_done() && !ec) {
    const std::size_t parsed = parser_->put(buffer_.data(), ec);
    buffer_.consume(parsed);
    parsedBytes_ += parsed;
    if (parser_->is_header_done() && !bodyBegun_) {
      bodyBegun_ = true;
      if (!parser_->is_done() && buffer_.size() == 0) sendContinue();
    }
  }
  if (ec && ec != http::error::need_more) {
    if (parser_->hasTooManyFields()) return RequestError::tooManyFields;
    const bool large = ec == http::error::header_limit || ec == http::error::body_limit;
    return large ? RequestError::tooLarge : RequestError::malformed;
  }
  // The parser limits head and body, but neither the line that begins a chunk nor the length of trailers.
  if (!parser_->is_done() && buffer_.size() > kHeaderLimit) return RequestError::tooLarge;
  return std::nullopt;
}

void HttpServer::Session::chargeRequest() {
  requestCharge_.set(buffer_.capacity() + (requestBegun_ ? parser_->heldBytes() : 0));
}

// The request is complete: passes it to the `request` callback.
void HttpServer::Session::handOver() {
  // The client may have disconnected before its request was read, while the connection waited in the backlog
  // or while the previous response was written. The request would be forwarded to an endpoint before the
  // disconnect is detected, and executed for nobody. So the connection is closed if only the disconnect is
  // left to read.
  if (isDisconnectNext()) return close(HttpCloseReason::clientClosed);
  keepAlive_ = parser_->request().keep_alive();
  isHttp10_ = parser_->request().version() < 11;
  const bool first = std::exchange(firstRequest_, false);
  MemoryCharge charge(server_->memory_, MemoryOwner::clientRequests);
  charge.set(parser_->heldBytes());
  ClientRequest request{
      exchange_ = ++server_->lastExchange_, parser_->release(), requestArrival(), {}, std::move(charge)};
  if (server_->recordClientAddresses_) request.client = client();
  requestBegun_ = false;
  enter(State::waiting);
  server_->awaitingResponse_.emplace(exchange_, shared_from_this());
  recordAhead();
  waitReadable();
  if (first) server_->limitKeptConnections();
  server_->callbacks_.request(std::move(request));
}

// Each byte that arrives restarts the timeout, so a client that sends one byte per second could occupy a
// connection and the memory of its body for hours. So after `slow`, the mean rate must be at least
// `minBodyRate`.
bool HttpServer::Session::isTooSlow(std::size_t bodyBytes) const {
  const auto passed = Clock::now() - requestBegunAt_;
  if (passed < server_->limits_.slow) return false;
  const double seconds = std::chrono::duration<double>(passed - server_->limits_.slow).count();
  return static_cast<double>(bodyBytes) < seconds * static_cast<double>(server_->limits_.minBodyRate);
}

// A client may wait for this interim response before it sends the body (RFC 9110, 10.1.1).
void HttpServer::Session::sendContinue() {
  if (!boost::beast::iequals(parser_->request()[http::field::expect], "100-continue")) return;
  if (parser_->request().version() < 11) return;
  constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;  // a broken connection is detected by the next read
  writeSome(socket_, asio::buffer(interim), ignored);
}

void HttpServer::Session::reject(RequestError error) {
  ++server_->rejections_[static_cast<std::size_t>(error)];
  HttpResponse response;
  response.status = statusOf(error);
  if (error == RequestError::outOfMemory) response.fields.add("Retry-After", "1");
  respondToUnread(std::move(response));
}

void HttpServer::Session::endPartialRequest() {
  HttpResponse response;
  response.status = http::status::service_unavailable;
  respondToUnread(std::move(response));
}

// The rest of the request is not read, so the response is the last of the connection.
void HttpServer::Session::respondToUnread(HttpResponse response) {
  keepAlive_ = false;
  buffer_.consume(buffer_.size());
  resetParser();
  respond(std::move(response));
}

// The client's address; cached after the first call.
const asio::ip::address& HttpServer::Session::client() {
  error_code ec;
  if (!client_) client_ = socket_.remote_endpoint(ec).address();
  return *client_;
}

// --- While its response is pending ------------------------------------------------------------------------

void HttpServer::Session::readAhead() {
  recordAhead();
  if (buffer_.size() <= kMaxAheadBytes && server_->makeRequestRoom(*this)) return waitReadable();
  aheadOverrun_ = true;
  dropAhead(buffer_.size());
}

// While a response is written, which may go on for as long as its endpoint writes, pipelined requests are
// read for the time of their arrival: their client timeout runs. What is above the limit waits at the socket,
// and a disconnect is seen by the next write.
void HttpServer::Session::readBehindResponse() {
  if (!keepAfter_ || buffer_.size() >= kMaxAheadBytes) return;
  error_code ec;
  const std::size_t received = readSome(socket_, asio::buffer(server_->readBuffer_.data(), kReadSize), ec);
  if (wouldBlock(ec)) return waitReadable();
  if (ec) return;
  lastInputAt_ = Clock::now();
  try {
    append({server_->readBuffer_.data(), received});
  } catch (const std::bad_alloc&) {
    keepAfter_ = false;  // the connection ends behind the response
    return;
  }
  recordAhead();
  if (server_->makeRequestRoom(*this)) waitReadable();
}

// Drops the pipelined bytes, of which `bytes` have just been read.
void HttpServer::Session::dropAhead(std::size_t bytes) {
  droppedAheadBytes_ += bytes;
  buffer_.consume(buffer_.size());
  freeEmptyBuffer();
  chargeRequest();
  if (droppedAheadBytes_ <= kMaxDroppedAheadBytes) waitReadable();
  else pauseReading();
}

// Read throttling. A client that sends endlessly while its request is in flight would keep the event loop
// busy. Reading can't stop altogether, since a disconnect is detected only after all bytes in the kernel's
// buffer. So reading resumes after a pause.
void HttpServer::Session::pauseReading() {
  droppedAheadBytes_ = 0;
  pauseTimer_.emplace(socket_.get_executor(), server_->limits_.floodPause);
  pauseTimer_->async_wait([self = weak_from_this()](error_code ec) {
    const auto here = self.lock();
    if (!ec && here && here->state_ == State::waiting) here->waitReadable();
  });
}

void HttpServer::Session::recordAhead() {
  chargeRequest();
  const std::uint64_t end = parsedBytes_ + buffer_.size();
  if (buffer_.size() == 0 || (!arrivals_.empty() && arrivals_.back().end >= end)) return;
  const auto now = Clock::now();
  const bool same = !arrivals_.empty() &&
                    (arrivals_.size() >= kMaxArrivals || now - arrivals_.back().at < kArrivalResolution);
  if (same) arrivals_.back().end = end;
  else arrivals_.push_back({end, now});
}

// Arrival time of the last byte of the request just parsed: its client timeout starts then, also for a
// pipelined request that waited. May be earlier than the true time, never later.
std::chrono::steady_clock::time_point HttpServer::Session::requestArrival() {
  std::erase_if(arrivals_, [this](const Arrival& a) { return a.end < parsedBytes_; });
  return arrivals_.empty() ? Clock::now() : arrivals_.front().at;
}

void HttpServer::Session::onDisconnect() {
  const ExchangeId exchange = exchange_;
  server_->awaitingResponse_.erase(exchange);
  close(HttpCloseReason::clientLeft);
  server_->callbacks_.disconnected(exchange);
}

// --- Its response -----------------------------------------------------------------------------------------

void HttpServer::Session::respond(HttpResponse response) {
  enter(State::writing);
  exchange_ = 0;
  // In a graceful shutdown pipelined requests that have already arrived would be lost if the connection
  // closed after this response. So it stays open until none is left.
  const bool last = server_->closeAfterResponse_ && hasNoInput();
  const bool keep = keepAlive_ && !aheadOverrun_ && !last;
  rest_ = std::move(response.rest);
  // HTTP/1.0 has no chunked coding: there the response ends with the connection.
  framing_ = !rest_ || response.length ? Framing::length : isHttp10_ ? Framing::close : Framing::chunks;
  if (framing_ == Framing::close) resetOnClose(true);
  keepAfter_ = keep && framing_ != Framing::close;
  responseBytes_ = responseText(response, keepAfter_, framing_);
  if (rest_)
    rest_->onChange = [self = weak_from_this()] {
      if (const auto here = self.lock()) here->onStreamChanged();
    };
  chargeRequest();
  write();
}

// If the response body ends with the connection, a normal end would make a truncated response look complete.
// The system ends the connection by a reset instead while this is set, also when the process is killed.
void HttpServer::Session::resetOnClose(bool reset) {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void HttpServer::Session::onStreamChanged() {
  chargeResponse();
  writeRest();
}

void HttpServer::Session::chargeResponse() {
  responseCharge_.set(heapBytes(responseBytes_) + (rest_ ? rest_->heldBytes() : 0));
  server_->scheduleResponseRoom();
}

// Writes at once what the socket takes, so that only what is left is held.
void HttpServer::Session::write() {
  writing_ = true;
  asyncWriteAll(socket_, asio::buffer(responseBytes_),
                [self = shared_from_this()](error_code ec, std::size_t) {
                  self->writing_ = false;
                  if (!self->isAnswering()) return;
                  if (ec) return self->close(HttpCloseReason::clientLeft);
                  freeText(self->responseBytes_);
                  self->chargeResponse();
                  self->writeRest();
                });
  chargeResponse();
}

// Writes the available part of a streamed response body, or ends the response.
void HttpServer::Session::writeRest() {
  if (writing_ || !isAnswering()) return;
  if (rest_) {
    const std::string bytes = rest_->take();
    if (!bytes.empty()) {
      responseBytes_ = framing_ == Framing::chunks ? chunkText(bytes) : bytes;
      enter(State::writing);  // progress: restarts the client's timeout for reading
      return write();
    }
    // The client has read all there is: the endpoint is waited for, whose time is the upstream's.
    if (rest_->state() == BodyStream::State::flowing) return enter(State::streaming);
    if (rest_->state() == BodyStream::State::broken) return close(HttpCloseReason::endpointBroke);
    rest_ = nullptr;
    if (framing_ == Framing::close) resetOnClose(false);
    if (framing_ == Framing::chunks) {
      responseBytes_ = kLastChunk;
      enter(State::writing);
      return write();
    }
  }
  if (keepAfter_) beginNextRequest();
  else lingeringClose();
}

void HttpServer::Session::beginNextRequest() {
  resetParser();
  enter(State::idle);
  if (buffer_.size() > 0) return parseRequest();
  // A graceful shutdown may have closed the idle keep-alive connections while this response was being
  // written. Nothing would close this one later, and the shutdown would last until the process is killed.
  if (server_->closeIdle_ && hasNoInput()) return close(HttpCloseReason::shutdown);
  freeEmptyBuffer();
  chargeRequest();
  waitReadable();
}

// Lingering close. Closing a socket with unread bytes sends a reset, which may reach the client before the
// response and discard it. So only the sending side is shut down, and further input of the client is read and
// dropped, up to kMaxLingerBytes and for kLingerTimeout.
void HttpServer::Session::lingeringClose() {
  enter(State::lingering);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.consume(buffer_.size());
  freeEmptyBuffer();
  chargeRequest();
  waitReadable();
}

}  // namespace cairnjunction
