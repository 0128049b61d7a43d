#include "http/session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>
#include <utility>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kChunk = 4096;                // bytes read at a time
constexpr std::size_t kLargeChunk = 64 << 10;       // the same within a body
constexpr std::size_t kReadMost = 2 * kLargeChunk;  // bytes read and not parsed
constexpr std::size_t kDiscardMost = 256 << 10;     // read and dropped in a lingering close
// Pipelined requests are read while a response is pending, since a disconnect is seen only behind them.
// kAheadMost bytes are kept, within the bound on bodies. A client that sends more gets its last response; the
// rest is read and dropped, kAheadDropMost bytes between two pauses (Limits::floodPause).
constexpr std::size_t kAheadMost = 64 << 10;
constexpr std::size_t kAheadDropMost = 4 << 20;
// Arrival times of pipelined bytes are kept at this resolution, for so many pieces; further bytes count as
// having arrived with the last piece.
constexpr auto kSameMoment = std::chrono::milliseconds(10);
constexpr std::size_t kArrivalsMost = 64;

}  // namespace

HttpServer::Session::Session(HttpServer& server, tcp::socket socket)
    : server_(&server), socket_(std::move(socket)), buffer_(kHeaderLimit + kReadMost) {
  renew();
}

void HttpServer::Session::start(Queue::iterator place) {
  place_ = place;
  arm();
}

void HttpServer::Session::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  release();
  leaveAhead();
  server_->queue(state_).erase(place_);
  state_ = State::closed;
  error_code ignored;
  // Where the end of the connection ends the response body, a normal close would make a truncated response
  // look complete. So the connection is reset instead.
  if (rest_ && framing_ == Framing::close) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  if (const auto left = std::exchange(rest_, nullptr)) left->leave();
  server_->ended();
}

bool HttpServer::Session::unread() const {
  error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

// Whether only the client's disconnect (end or reset) is left to read.
bool HttpServer::Session::endIsNext() {
  char byte;
  error_code ec;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec && ec != asio::error::would_block && ec != asio::error::try_again;
}

void HttpServer::Session::become(State state) {
  Queue& to = server_->queue(state);
  to.splice(to.end(), server_->queue(state_), place_);
  state_ = state;
  since_ = Clock::now();
  if (state == State::writing) release();
}

// Armed also while a response is pending: this is how a disconnect is detected.
void HttpServer::Session::arm() {
  if (armed_) return;
  armed_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->armed_ = false;
    if (ec) self->close();
    else self->readable();
  });
}

// Waits for readiness and reads only then, so that an idle keep-alive connection holds no buffer, and bytes
// that have arrived are seen before it is closed.
void HttpServer::Session::readable() {
  if (state_ == State::writing || state_ == State::closed) return;
  error_code ec;
  const std::size_t n = socket_.read_some(buffer_.prepare(bodyBegun_ || overrun_ ? kLargeChunk : kChunk), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) return arm();
  if (ec) return state_ == State::waiting ? gone() : close();
  buffer_.commit(n);
  switch (state_) {
    case State::fresh:
    case State::idle:
    case State::begun: return consume();
    case State::waiting: return ahead();
    case State::lingering:
      discarded_ += n;
      buffer_.consume(buffer_.size());
      return discarded_ > kDiscardMost ? close() : arm();
    case State::writing:
    case State::closed: return;
  }
}

// --- A request --------------------------------------------------------------------------------------------

void HttpServer::Session::renew() {
  scanner_ = HeadScanner(HeadScanner::Kind::request);
  headSeen_ = begun_ = bodyBegun_ = false;
  head_ = {};
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(server_->limits_.bodyMost);
}

void HttpServer::Session::consume() {
  if (!begun_) {
    begun_ = true;
    begunAt_ = Clock::now();
    become(State::begun);
  }
  if (!headSeen_) {
    const auto data = buffer_.data();
    const auto head = scanner_.scan({static_cast<const char*>(data.data()), data.size()});
    if (head == HeadScanner::State::bad) return reject(http::status::bad_request);
    if (head == HeadScanner::State::more && buffer_.size() > kHeaderLimit)
      return reject(http::status::payload_too_large);
    if (head == HeadScanner::State::more) return arm();
    headSeen_ = true;
  }
  error_code ec;
  const std::size_t heldBefore = parser_->get().body().size();
  while (buffer_.size() > 0 && !parser_->is_done() && !ec) {
    const std::size_t parsed = parser_->put(buffer_.data(), ec);
    buffer_.consume(parsed);
    parsed_ += parsed;
    if (parser_->is_header_done() && !bodyBegun_) {
      bodyBegun_ = true;
      // The parser adds trailer fields, which follow the last chunk, to those of the head: a client could set
      // fields there that the checks of the head have not seen. So the head is copied before the body is
      // read, and restored in taken().
      if (parser_->chunked()) head_ = parser_->get().base();
      if (!parser_->is_done() && buffer_.size() == 0) goOn();
    }
  }
  if (ec && ec != http::error::need_more) {
    const bool large = ec == http::error::header_limit || ec == http::error::body_limit;
    return reject(large ? http::status::payload_too_large : http::status::bad_request);
  }
  const std::size_t held = parser_->get().body().size();
  charged_ += held - heldBefore;
  server_->bodies_ += held - heldBefore;
  if (server_->bodies_ > server_->limits_.bodyBytes) return reject(http::status::service_unavailable);
  // The parser limits head and body, but not the line that begins a chunk. An endless one would fill the
  // buffer, which then throws, and the exception would end the process. So the request is rejected while the
  // buffer still has room for one more read.
  if (!parser_->is_done() && buffer_.size() + kLargeChunk > buffer_.max_size())
    return reject(http::status::payload_too_large);
  if (!parser_->is_done()) {
    if (bodyBegun_) become(State::begun);  // progress: restarts the timeout
    return tooSlow(held) ? reject(http::status::request_timeout) : arm();
  }
  taken();
}

// The request is complete: hands it over, and from now on the client waits for a response.
void HttpServer::Session::taken() {
  // The client may have disconnected before its request was read, while the connection waited in the backlog
  // or while the previous response was written. The request would be sent to an endpoint before the
  // disconnect is read, and run for nobody. So it is not started if only the end of the connection is left to
  // read.
  if (endIsNext()) return close();
  keepAlive_ = parser_->get().keep_alive();
  old_ = parser_->get().version() < 11;
  const bool first = std::exchange(first_, false);
  HttpRequest message = parser_->release();
  if (message.chunked()) message.base() = std::move(head_);
  ClientRequest request{exchange_ = ++server_->lastExchange_, std::move(message), cameAt(), {}};
  if (server_->tellClients_) request.client = client();
  become(State::waiting);
  server_->waiting_.emplace(exchange_, shared_from_this());
  holdAhead();
  arm();
  if (first) server_->keepRoom();
  server_->callbacks_.request(std::move(request));
}

// Each byte that arrives renews the timeout, so a client that sends one byte a second could hold a connection
// and its body for hours. So after `slow`, the mean rate must be at least `leastPace`.
bool HttpServer::Session::tooSlow(std::size_t held) const {
  const auto passed = Clock::now() - begunAt_;
  if (passed < server_->limits_.slow) return false;
  const double seconds = std::chrono::duration<double>(passed - server_->limits_.slow).count();
  return static_cast<double>(held) < seconds * static_cast<double>(server_->limits_.leastPace);
}

// A client may wait for this interim response before it sends the body (RFC 9110, 10.1.1).
void HttpServer::Session::goOn() {
  if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
  if (parser_->get().version() < 11) return;
  constexpr std::string_view word = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;  // a broken connection shows at the next read
  socket_.write_some(asio::buffer(word), ignored);
}

void HttpServer::Session::reject(http::status status) {
  keepAlive_ = false;
  HttpAnswer refusal;
  refusal.status = status;
  if (status == http::status::service_unavailable) refusal.fields.add("Retry-After", "1");
  answer(std::move(refusal));
}

// The client's address, read from the socket once.
const asio::ip::address& HttpServer::Session::client() {
  error_code ec;
  if (!client_) client_ = socket_.remote_endpoint(ec).address();
  return *client_;
}

// --- While its response is pending ------------------------------------------------------------------------

void HttpServer::Session::ahead() {
  if (!overrun_) {
    holdAhead();
    overrun_ = buffer_.size() > kAheadMost || server_->bodies_ > server_->limits_.bodyBytes;
  }
  if (overrun_) {
    droppedAhead_ += buffer_.size();
    buffer_.consume(buffer_.size());
    leaveAhead();
  }
  if (droppedAhead_ <= kAheadDropMost) arm();
  else pause();
}

// Read throttling. A client that sends without end while its request is in flight would keep the event loop
// busy. Reading can't stop altogether: a disconnect is seen only behind all bytes that the kernel still
// holds. So reading goes on after a pause.
void HttpServer::Session::pause() {
  droppedAhead_ = 0;
  pause_.emplace(socket_.get_executor(), server_->limits_.floodPause);
  pause_->async_wait([self = weak_from_this()](error_code ec) {
    const auto here = self.lock();
    if (!ec && here && here->state_ == State::waiting) here->arm();
  });
}

void HttpServer::Session::holdAhead() {
  server_->bodies_ += buffer_.size() - ahead_;
  ahead_ = buffer_.size();
  const std::uint64_t end = parsed_ + buffer_.size();
  if (buffer_.size() == 0 || (!arrivals_.empty() && arrivals_.back().end >= end)) return;
  const auto now = Clock::now();
  const bool same =
      !arrivals_.empty() && (arrivals_.size() >= kArrivalsMost || now - arrivals_.back().at < kSameMoment);
  if (same) arrivals_.back().end = end;
  else arrivals_.push_back({end, now});
}

// When the request just parsed was complete: the client timeout counts from then, also for a pipelined
// request that waited. May be earlier than the true time, never later.
std::chrono::steady_clock::time_point HttpServer::Session::cameAt() {
  std::erase_if(arrivals_, [this](const Arrival& a) { return a.end < parsed_; });
  return arrivals_.empty() ? Clock::now() : arrivals_.front().at;
}

void HttpServer::Session::gone() {
  const ExchangeId exchange = exchange_;
  server_->waiting_.erase(exchange);
  close();
  server_->callbacks_.gone(exchange);
}

// --- Its response -----------------------------------------------------------------------------------------

void HttpServer::Session::answer(HttpAnswer answer) {
  leaveAhead();
  become(State::writing);
  exchange_ = 0;
  // After a client error that the gateway found itself, the connection is closed: what follows may not be a
  // request, and each error costs as much as a good request.
  const bool error = http::to_status_class(answer.status) == http::status_class::client_error;
  // In a graceful shutdown pipelined requests that have already arrived would be lost if the connection
  // closed after this response. So it stays open until none is left.
  const bool last = server_->last_ && silent();
  const bool keep = keepAlive_ && !overrun_ && !last && (answer.fromHost || !error);
  rest_ = std::move(answer.rest);
  // HTTP/1.0 has no chunked coding: there the end of the connection ends the response.
  framing_ = !rest_ || answer.length ? Framing::length : old_ ? Framing::close : Framing::chunks;
  keepAfter_ = keep && framing_ != Framing::close;
  response_ = wireText(answer, keepAfter_, framing_);
  if (rest_)
    rest_->onChange = [self = weak_from_this()] {
      if (const auto here = self.lock()) here->pump();
    };
  write();
}

void HttpServer::Session::write() {
  writing_ = true;
  asio::async_write(socket_, asio::buffer(response_),
                    [self = shared_from_this()](error_code ec, std::size_t) {
                      self->writing_ = false;
                      if (self->state_ != State::writing) return;
                      if (ec) return self->close();
                      self->response_ = {};
                      self->pump();
                    });
}

// Writes what has arrived of a streamed response body, or ends the response.
void HttpServer::Session::pump() {
  if (writing_ || state_ != State::writing) return;
  if (rest_) {
    const std::string bytes = rest_->take();
    if (!bytes.empty()) {
      response_ = framing_ == Framing::chunks ? chunkText(bytes) : bytes;
      become(State::writing);  // progress: restarts the client's timeout for reading
      return write();
    }
    if (rest_->state() == BodyStream::State::flowing) {
      become(State::writing);
      return;
    }
    if (rest_->state() == BodyStream::State::broken) return close();
    rest_ = nullptr;
    if (framing_ == Framing::chunks) {
      response_ = kLastChunk;
      return write();
    }
  }
  if (keepAfter_) next();
  else linger();
}

void HttpServer::Session::next() {
  renew();
  become(State::idle);
  if (buffer_.size() > 0) return consume();
  // A graceful shutdown closed the idle keep-alive connections while this response was still being written.
  // Nothing would close this one later, and the shutdown would last until the process is killed.
  if (server_->closing_ && silent()) return close();
  buffer_.shrink_to_fit();
  arm();
}

// Lingering close. Closing a socket with unread bytes sends a reset, which may reach the client before the
// response and discard it. So only our sending side is shut down, and what the client still sends is read and
// dropped, up to kDiscardMost bytes and for kLinger.
void HttpServer::Session::linger() {
  become(State::lingering);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.consume(buffer_.size());
  arm();
}

}  // namespace cairnjunction
