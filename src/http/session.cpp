// One client connection.
#include "http/session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
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
constexpr std::size_t kMaxUnparsedBytes = 2 * kBodyReadSize;  // read, but not parsed
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

}  // namespace

HttpServer::Session::Session(HttpServer& server, tcp::socket socket)
    : server_(&server), socket_(std::move(socket)), buffer_(kHeaderLimit + kMaxUnparsedBytes) {
  resetParser();
}

void HttpServer::Session::start(Queue::iterator queuePosition) {
  queuePosition_ = queuePosition;
  waitReadable();
}

void HttpServer::Session::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  releaseBody();
  releaseAhead();
  server_->queue(state_).erase(queuePosition_);
  state_ = State::closed;
  error_code ignored;
  // If the response body ends with the connection, a normal close would make a truncated response look
  // complete. So the connection is reset instead.
  if (rest_ && framing_ == Framing::close) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  if (const auto stream = std::exchange(rest_, nullptr)) stream->leave();
  server_->onSessionClosed();
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
  if (state == State::writing) releaseBody();
}

// Waits for the socket to become readable. Also while a response is pending: this detects a disconnect.
void HttpServer::Session::waitReadable() {
  if (waitingReadable_) return;
  waitingReadable_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->waitingReadable_ = false;
    if (ec) self->close();
    else self->readable();
  });
}

// Called when the socket is readable. The buffer is allocated only now, so that an idle keep-alive connection
// has none, and bytes that have arrived can be read before the connection is closed.
void HttpServer::Session::readable() {
  if (state_ == State::writing || state_ == State::closed) return;
  error_code ec;
  const std::size_t n =
      readSome(socket_, buffer_.prepare(bodyBegun_ || aheadOverrun_ ? kBodyReadSize : kReadSize), ec);
  if (wouldBlock(ec)) return waitReadable();
  if (ec) return state_ == State::waiting ? onDisconnect() : close();
  buffer_.commit(n);
  switch (state_) {
    case State::fresh:
    case State::idle:
    case State::begun: return parseRequest();
    case State::waiting: return readAhead();
    case State::lingering:
      lingerBytes_ += n;
      buffer_.consume(buffer_.size());
      return lingerBytes_ > kMaxLingerBytes ? close() : waitReadable();
    case State::writing:
    case State::closed: return;
  }
}

// --- A request --------------------------------------------------------------------------------------------

void HttpServer::Session::resetParser() {
  scanner_ = HeadScanner(HeadScanner::Kind::request);
  headComplete_ = requestBegun_ = bodyBegun_ = false;
  chunkedHead_ = {};
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
  if (!headComplete_) {
    const auto data = buffer_.data();
    const auto head = scanner_.scan({static_cast<const char*>(data.data()), data.size()});
    if (head == HeadScanner::State::bad) return reject(http::status::bad_request);
    if (head == HeadScanner::State::more && buffer_.size() > kHeaderLimit)
      return reject(http::status::payload_too_large);
    if (head == HeadScanner::State::more) return waitReadable();
    headComplete_ = true;
  }
  error_code ec;
  const std::size_t bodyBytesBefore = parser_->get().body().size();
  while (buffer_.size() > 0 && !parser_->is_done() && !ec) {
    const std::size_t parsed = parser_->put(buffer_.data(), ec);
    buffer_.consume(parsed);
    parsedBytes_ += parsed;
    if (parser_->is_header_done() && !bodyBegun_) {
      bodyBegun_ = true;
      // The parser adds trailer fields, which follow the last chunk, to those of the head: a client could set
      // fields there that the checks of the head have not covered. So the head is copied before the body is
      // read, and restored in handOver().
      if (parser_->chunked()) chunkedHead_ = parser_->get().base();
      if (!parser_->is_done() && buffer_.size() == 0) sendContinue();
    }
  }
  if (ec && ec != http::error::need_more) {
    const bool large = ec == http::error::header_limit || ec == http::error::body_limit;
    return reject(large ? http::status::payload_too_large : http::status::bad_request);
  }
  const std::size_t bodyBytes = parser_->get().body().size();
  chargedBodyBytes_ += bodyBytes - bodyBytesBefore;
  server_->bodyBytes_ += bodyBytes - bodyBytesBefore;
  if (server_->bodyBytes_ > server_->limits_.bodyBytes) return reject(http::status::service_unavailable);
  // The parser limits head and body, but not the line that begins a chunk. An endless one would fill the
  // buffer, which then throws, and the exception would end the process. So the request is rejected while the
  // buffer still has room for one more read.
  if (!parser_->is_done() && buffer_.size() + kBodyReadSize > buffer_.max_size())
    return reject(http::status::payload_too_large);
  if (!parser_->is_done()) {
    if (bodyBegun_) enter(State::begun);  // progress: restarts the timeout
    return isTooSlow(bodyBytes) ? reject(http::status::request_timeout) : waitReadable();
  }
  handOver();
}

// The request is complete: passes it to the `request` callback.
void HttpServer::Session::handOver() {
  // The client may have disconnected before its request was read, while the connection waited in the backlog
  // or while the previous response was written. The request would be forwarded to an endpoint before the
  // disconnect is detected, and executed for nobody. So the connection is closed if only the disconnect is
  // left to read.
  if (isDisconnectNext()) return close();
  keepAlive_ = parser_->get().keep_alive();
  isHttp10_ = parser_->get().version() < 11;
  const bool first = std::exchange(firstRequest_, false);
  HttpRequest message = parser_->release();
  if (message.chunked()) message.base() = std::move(chunkedHead_);
  ClientRequest request{exchange_ = ++server_->lastExchange_, std::move(message), requestArrival(), {}};
  if (server_->recordClientAddresses_) request.client = client();
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
  if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
  if (parser_->get().version() < 11) return;
  constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;  // a broken connection is detected by the next read
  writeSome(socket_, asio::buffer(interim), ignored);
}

void HttpServer::Session::reject(http::status status) {
  keepAlive_ = false;
  HttpResponse response;
  response.status = status;
  if (status == http::status::service_unavailable) response.fields.add("Retry-After", "1");
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
  if (!aheadOverrun_) {
    recordAhead();
    aheadOverrun_ = buffer_.size() > kMaxAheadBytes || server_->bodyBytes_ > server_->limits_.bodyBytes;
  }
  if (aheadOverrun_) {
    droppedAheadBytes_ += buffer_.size();
    buffer_.consume(buffer_.size());
    releaseAhead();
  }
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
  server_->bodyBytes_ += buffer_.size() - aheadBytes_;
  aheadBytes_ = buffer_.size();
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
  close();
  server_->callbacks_.disconnected(exchange);
}

// --- Its response -----------------------------------------------------------------------------------------

void HttpServer::Session::respond(HttpResponse response) {
  releaseAhead();
  enter(State::writing);
  exchange_ = 0;
  // After a client error that the gateway found itself, the connection is closed: the bytes that follow may
  // be no request, and each error costs as much as a valid request.
  const bool error = http::to_status_class(response.status) == http::status_class::client_error;
  // In a graceful shutdown pipelined requests that have already arrived would be lost if the connection
  // closed after this response. So it stays open until none is left.
  const bool last = server_->closeAfterResponse_ && hasNoInput();
  const bool keep = keepAlive_ && !aheadOverrun_ && !last && (response.fromEndpoint || !error);
  rest_ = std::move(response.rest);
  // HTTP/1.0 has no chunked coding: there the response ends with the connection.
  framing_ = !rest_ || response.length ? Framing::length : isHttp10_ ? Framing::close : Framing::chunks;
  keepAfter_ = keep && framing_ != Framing::close;
  responseBytes_ = responseText(response, keepAfter_, framing_);
  if (rest_)
    rest_->onChange = [self = weak_from_this()] {
      if (const auto here = self.lock()) here->writeRest();
    };
  write();
}

void HttpServer::Session::write() {
  writing_ = true;
  asyncWriteAll(socket_, asio::buffer(responseBytes_),
                [self = shared_from_this()](error_code ec, std::size_t) {
                  self->writing_ = false;
                  if (self->state_ != State::writing) return;
                  if (ec) return self->close();
                  self->responseBytes_ = {};
                  self->writeRest();
                });
}

// Writes the available part of a streamed response body, or ends the response.
void HttpServer::Session::writeRest() {
  if (writing_ || state_ != State::writing) return;
  if (rest_) {
    const std::string bytes = rest_->take();
    if (!bytes.empty()) {
      responseBytes_ = framing_ == Framing::chunks ? chunkText(bytes) : bytes;
      enter(State::writing);  // progress: restarts the client's timeout for reading
      return write();
    }
    if (rest_->state() == BodyStream::State::flowing) {
      enter(State::writing);
      return;
    }
    if (rest_->state() == BodyStream::State::broken) return close();
    rest_ = nullptr;
    if (framing_ == Framing::chunks) {
      responseBytes_ = kLastChunk;
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
  if (server_->closeIdle_ && hasNoInput()) return close();
  buffer_.shrink_to_fit();
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
  waitReadable();
}

}  // namespace cairnjunction
