#include "http/server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "http/framing.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 4096;                      // read at a time,
constexpr std::size_t kLargeChunk = 64 << 10;             // and of a body that is on its way
constexpr std::size_t kReadMost = 2 * kLargeChunk;        // not parsed yet
constexpr auto kSweep = std::chrono::milliseconds(100);   // slow and idle connections are looked for
constexpr auto kLinger = std::chrono::milliseconds(500);  // for a client to close after the last answer,
constexpr std::size_t kDiscardMost = 256 << 10;           // and so much of what it sends is read out
// What a client sends ahead of its answer is read, or its leaving behind it would not be seen: so much is
// kept for its turn, within the bound on bodies; one that sends more is answered for the last time, and the
// rest is read and dropped, up to what no client in its senses sends.
constexpr std::size_t kAheadMost = 64 << 10;
constexpr std::size_t kAheadDropMost = 4 << 20;
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when there was no room or no descriptor left
constexpr std::size_t kAcceptAtOnce = 32;                     // then those that are connected have a turn
constexpr auto kSettle = std::chrono::milliseconds(50);       // a usual client has sent its request by then
constexpr auto kHalf = std::chrono::milliseconds(2100);       // a slow client has sent its head by then
constexpr std::size_t kLookAt = 8;                            // sessions of a queue that are asked for room

tcp::acceptor openAcceptor(asio::io_context& io, const Listen& listen) {
  if (listen.inherited < 0) return tcp::acceptor(io, listen.endpoint, true);
  const tcp family = listen.endpoint.address().is_v6() ? tcp::v6() : tcp::v4();
  return tcp::acceptor(io, family, listen.inherited);
}

}  // namespace

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) { renew(); }

  void start(Queue::iterator place) {
    place_ = place;
    arm();
  }

  void answer(HttpAnswer answer) {
    leaveAhead();
    become(State::writing);
    exchange_ = 0;
    // A client in error is left: the next it sends may be anything, and the same again costs as much.
    const bool error = http::to_status_class(answer.status) == http::status_class::client_error;
    const bool keep = keepAlive_ && !overrun_ && !server_->last_ && (answer.fromHost || !error);
    rest_ = std::move(answer.rest);
    // An old client knows no chunks: for it the end of the connection is the end of the answer.
    framing_ = !rest_ || answer.length ? Framing::length : old_ ? Framing::close : Framing::chunks;
    keepAfter_ = keep && framing_ != Framing::close;
    response_ = wireText(answer, keepAfter_, framing_);
    if (rest_)
      rest_->onChange = [self = weak_from_this()] {
        if (const auto here = self.lock()) here->pump();
      };
    write();
  }

  void close() {
    if (state_ == State::closed) return;
    const auto self = shared_from_this();
    release();
    leaveAhead();
    server_->queue(state_).erase(place_);
    state_ = State::closed;
    error_code ignored;
    // Danger: where the end of the connection is the end of the answer, one that was cut must end otherwise.
    if (rest_ && framing_ == Framing::close) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    if (const auto left = std::exchange(rest_, nullptr)) left->leave();
    server_->ended();
  }

  // Nothing of a request is here or has come to the socket.
  bool silent() const {
    error_code ec;
    return buffer_.size() == 0 && (socket_.available(ec) == 0 || ec);
  }
  bool unread() const {
    error_code ec;
    return socket_.available(ec) > 0 && !ec;
  }
  Clock::time_point since() const { return since_; }
  State state() const { return state_; }

  // The socket is only waited for, and read when there is something: so an idle connection holds no buffer,
  // and what has come but was not read is seen before one is closed.
  void readable() {
    if (state_ == State::writing || state_ == State::closed) return;
    error_code ec;
    const std::size_t n = socket_.read_some(buffer_.prepare(bodyBegun_ ? kLargeChunk : kChunk), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) return arm();
    if (ec) return state_ == State::waiting ? gone() : close();
    buffer_.commit(n);
    switch (state_) {
      case State::fresh:
      case State::idle:
      case State::begun: return consume();
      case State::lingering:
        discarded_ += n;
        buffer_.consume(buffer_.size());
        return discarded_ > kDiscardMost ? close() : arm();
      case State::waiting: return ahead();
      default: return;
    }
  }

 private:
  void write() {
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

  // Writes on what has come of the answer's rest, or ends it.
  void pump() {
    if (writing_ || state_ != State::writing) return;
    if (rest_) {
      const std::string bytes = rest_->take();
      if (!bytes.empty()) {
        response_ = framing_ == Framing::chunks ? chunkText(bytes) : bytes;
        become(State::writing);  // it goes on: the client's time to take it begins anew
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

  void become(State state) {
    Queue& to = server_->queue(state);
    to.splice(to.end(), server_->queue(state_), place_);
    state_ = state;
    since_ = Clock::now();
    if (state == State::writing) release();
  }

  void release() { server_->bodies_ -= std::exchange(charged_, 0); }

  // More came while the answer is awaited.
  void ahead() {
    if (!overrun_) {
      holdAhead();
      overrun_ = buffer_.size() > kAheadMost || server_->bodies_ > server_->limits_.bodyBytes;
    }
    if (overrun_) {
      droppedAhead_ += buffer_.size();
      buffer_.consume(buffer_.size());
      leaveAhead();
    }
    // Danger: a flood would keep the event loop busy. What is not read any more holds the client up.
    if (droppedAhead_ <= kAheadDropMost) arm();
  }
  void holdAhead() {
    server_->bodies_ += buffer_.size() - ahead_;
    ahead_ = buffer_.size();
  }
  void leaveAhead() { server_->bodies_ -= std::exchange(ahead_, 0); }

  void renew() {
    scanner_ = HeadScanner(HeadScanner::Kind::request);
    headSeen_ = begun_ = bodyBegun_ = false;
    head_ = {};
    parser_.emplace();
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(server_->limits_.bodyMost);
  }

  void next() {
    renew();
    become(State::idle);
    if (buffer_.size() > 0) return consume();
    buffer_.shrink_to_fit();
    arm();
  }

  // Armed also while an answer is awaited: this is how a client's leaving is noticed.
  void arm() {
    if (armed_) return;
    armed_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->armed_ = false;
      if (ec) self->close();
      else self->readable();
    });
  }

  void consume() {
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
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (parser_->is_header_done() && !bodyBegun_) {
        bodyBegun_ = true;
        // Danger: the parser takes what stands behind the last chunk for fields of the head.
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
    // Danger: the parser bounds head and body, not the head of a chunk; the buffer throws when it is full,
    // and that would end the process.
    if (!parser_->is_done() && buffer_.size() + kLargeChunk > buffer_.max_size())
      return reject(http::status::payload_too_large);
    if (!parser_->is_done()) {
      if (bodyBegun_) become(State::begun);  // it goes on: the time for standing still begins anew
      return tooSlow(held) ? reject(http::status::request_timeout) : arm();
    }
    keepAlive_ = parser_->get().keep_alive();
    old_ = parser_->get().version() < 11;
    const bool first = std::exchange(first_, false);
    HttpRequest message = parser_->release();
    if (message.chunked()) message.base() = std::move(head_);
    ClientRequest request{exchange_ = ++server_->lastExchange_, std::move(message), Clock::now(), {}};
    if (server_->tellClients_) request.client = client();
    become(State::waiting);
    server_->waiting_.emplace(exchange_, shared_from_this());
    holdAhead();
    arm();
    if (first) server_->keepRoom();
    server_->callbacks_.request(std::move(request));
  }

  // Danger: a body of a byte a second would be held for hours.
  bool tooSlow(std::size_t held) const {
    const auto passed = Clock::now() - begunAt_;
    if (passed < server_->limits_.slow) return false;
    const double seconds = std::chrono::duration<double>(passed - server_->limits_.slow).count();
    return static_cast<double>(held) < seconds * static_cast<double>(server_->limits_.leastPace);
  }

  // A client may wait for this word before it sends the body (RFC 9110, 10.1.1).
  void goOn() {
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
    if (parser_->get().version() < 11) return;
    constexpr std::string_view word = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ignored;  // of a client that takes not even these few bytes the next read tells
    socket_.write_some(asio::buffer(word), ignored);
  }

  // Asked for once.
  const asio::ip::address& client() {
    error_code ec;
    if (!client_) client_ = socket_.remote_endpoint(ec).address();
    return *client_;
  }

  void reject(http::status status) {
    keepAlive_ = false;
    HttpAnswer refusal;
    refusal.status = status;
    if (status == http::status::service_unavailable) refusal.fields.add("Retry-After", "1");
    answer(std::move(refusal));
  }

  void gone() {
    const ExchangeId exchange = exchange_;
    server_->waiting_.erase(exchange);
    close();
    server_->callbacks_.gone(exchange);
  }

  // Danger: a connection that is closed with unread bytes in it is reset, and the reset may overtake the
  // answer. So our side ends first, and the client's is read out, within bounds.
  void linger() {
    become(State::lingering);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    buffer_.consume(buffer_.size());
    arm();
  }

  HttpServer* server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + kReadMost};
  HeadScanner scanner_{HeadScanner::Kind::request};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_;
  State state_ = State::fresh;
  Queue::iterator place_;
  ExchangeId exchange_ = 0;
  std::optional<asio::ip::address> client_;
  Clock::time_point since_ = Clock::now(), begunAt_;  // of the state; of a request's first byte
  std::size_t discarded_ = 0, charged_ = 0;
  std::size_t ahead_ = 0, droppedAhead_ = 0;  // sent before its turn: held, and read without being kept
  bool overrun_ = false;                      // of that there was too much
  bool begun_ = false, headSeen_ = false, bodyBegun_ = false, armed_ = false, keepAlive_ = false;
  bool first_ = true, old_ = false, writing_ = false, keepAfter_ = false;
  boost::beast::http::request_header<> head_;  // of a body in chunks, without what stood behind them
  std::shared_ptr<BodyStream> rest_;           // of the answer
  Framing framing_ = Framing::length;
};

HttpServer::HttpServer(asio::io_context& io, const Listen& listen, Limits limits, Callbacks callbacks)
    : io_(io),
      acceptor_(openAcceptor(io, listen)),
      shared_(listen.inherited >= 0),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      sweeper_(io),
      again_(io) {
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

HttpServer::~HttpServer() {
  onEmpty = nullptr;
  callbacks_.gone = [](ExchangeId) {};
  waiting_.clear();
  for (Queue& sessions : queues_)
    while (!sessions.empty()) sessions.front()->close();
}

void HttpServer::drop(ExchangeId exchange) {
  const auto it = waiting_.find(exchange);
  if (it == waiting_.end()) return;
  const auto session = std::move(it->second);
  waiting_.erase(it);
  session->close();
}

void HttpServer::answer(ExchangeId exchange, HttpAnswer answer) {
  const auto it = waiting_.find(exchange);
  if (it == waiting_.end()) return;
  const auto session = std::move(it->second);
  waiting_.erase(it);
  session->answer(std::move(answer));
}

void HttpServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, lifetime_.guard([this](error_code ec) {
    if (ec || !acceptor_.is_open()) return;
    if (takeWaiting(kAcceptAtOnce)) return accept();
    // Danger: with no descriptor left the listener stays readable, and the loop would spin.
    again_.expires_after(kAcceptAgain);
    again_.async_wait(lifetime_.guard([this](error_code waitError) {
      if (!waitError && acceptor_.is_open()) accept();
    }));
  }));
}

// Takes what waits; false if there was no room for more. Danger: at the limit, room may be made only for
// a connection that is there: an idle client is not sent away for nobody. So there may be one over it.
bool HttpServer::takeWaiting(std::size_t most) {
  for (std::size_t i = 0; i < most; ++i) {
    if (open_ > limits_.connections && !makeRoom()) return false;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) return true;
    if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) continue;
    if (ec) return makeRoom();
    if (open_ >= limits_.connections) makeRoom();
    admit(std::move(socket));
    if (open_ > limits_.connections) return false;
  }
  return true;
}

void HttpServer::admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  Queue& fresh = queue(State::fresh);
  fresh.push_back(std::make_shared<Session>(*this, std::move(socket)));
  ++open_;
  fresh.back()->start(std::prev(fresh.end()));
}

// First those that were answered for the last time, then those that connected and say nothing, then those
// between two requests, and last those whose first request is slow to come: they would lose it. Danger:
// clients that connect by hundreds and say nothing would drive out all the usual ones; with so many of them,
// new ones wait until the silent ones have had their time.
bool HttpServer::makeRoom() {
  const auto now = Clock::now();
  if (closeOneOf(State::lingering, now - kSettle) || closeOneOf(State::fresh, now - kSettle)) return true;
  if (queue(State::fresh).size() > limits_.connections / 2)
    return closeOneOf(State::fresh, now - kSettle, true);
  return closeOneOf(State::idle, now) || closeOneOf(State::fresh, now - kSettle, true) ||
         closeOneOf(State::begun, now - kHalf, true);
}

// Danger: whoever is before the clients lets only so many connections through, and what finds no room there
// is turned away without our seeing anything: clients that ask once and keep their connection stand in the
// way of all the others. So room is made before it is needed, by the connection that was not used for the
// longest time. It guards as well against clients that forget to close. It could do harm to many clients that
// each ask seldom: they connect anew, and one that asks in this moment has to ask once more.
void HttpServer::keepRoom() {
  const std::size_t asked = queue(State::idle).size() + queue(State::begun).size() +
                            queue(State::waiting).size() + queue(State::writing).size();
  if (asked > limits_.kept) closeOneOf(State::idle, Clock::now());
}

// The first of a queue's oldest that is silent, or also one with half a request.
bool HttpServer::closeOneOf(State state, Clock::time_point before, bool half) {
  std::size_t looked = 0;
  for (const auto& session : queue(state)) {
    if (session->since() > before || ++looked > kLookAt) return false;
    if (state != State::lingering && !session->silent() && !(half && !session->unread())) continue;
    const auto chosen = session;
    chosen->close();
    return true;
  }
  return false;
}

void HttpServer::ended() {
  --open_;
  if (open_ == 0 && !acceptor_.is_open() && onEmpty)
    asio::post(io_, lifetime_.guard([this] { toldEmpty(); }));
}

// Once: whoever is told may destroy us, or have us told again by what it closes.
void HttpServer::toldEmpty() {
  if (const auto told = std::exchange(onEmpty, nullptr)) told();
}

void HttpServer::lastAnswers() {
  last_ = true;
  if (shared_) stopListening();  // what comes from now on is for those who hold it beside us
}

void HttpServer::stopListening() {
  if (!acceptor_.is_open()) return;
  // Danger: what waits to be accepted may hold requests already; a closed listener would reset them.
  if (!shared_) takeWaiting(limits_.connections);
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
}

void HttpServer::stopAccepting() {
  stopListening();
  for (const State state : {State::fresh, State::idle}) {
    const std::vector<std::shared_ptr<Session>> all(queue(state).begin(), queue(state).end());
    for (const auto& session : all)
      if (session->silent()) session->close();
  }
  if (open_ == 0) toldEmpty();
}

void HttpServer::sweep() {
  const auto now = Clock::now();
  const std::array<std::pair<State, std::chrono::milliseconds>, 5> bounds{
      {{State::fresh, limits_.slow},
       {State::begun, limits_.slow},
       {State::idle, limits_.idle},
       {State::writing, 2 * limits_.slow},  // a client that doesn't read
       {State::lingering, kLinger}}};
  for (const auto& [state, bound] : bounds)
    while (!queue(state).empty() && now - queue(state).front()->since() > bound) {
      const auto session = queue(state).front();
      // Danger: the last byte may have come in this moment, and then an answer is owed.
      if (session->unread()) session->readable();
      if (session->state() == state && now - session->since() > bound) session->close();
    }
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction
