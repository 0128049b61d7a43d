#include "net/client_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 4096;                          // read at a time
constexpr auto kSweep = std::chrono::milliseconds(100);       // slow and idle connections are looked for
constexpr auto kLinger = std::chrono::milliseconds(1000);     // for a client to close after the last answer
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when no descriptor was left

}  // namespace

class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
    renew();
  }

  void start() { read(); }

  void answer(HttpResponse response) {
    state_ = State::writing;
    exchange_ = 0;
    response_ = std::move(response);
    response_.version(11);
    const bool keep = keepAlive_ && !server_->last_;
    response_.keep_alive(keep);
    response_.prepare_payload();
    since_ = Clock::now();
    http::async_write(socket_, response_, [self = shared_from_this(), keep](error_code ec, std::size_t) {
      if (self->state_ != State::writing) return;
      if (ec || self->left_) return self->close();
      self->response_ = {};
      if (keep) self->next();
      else self->linger();
    });
  }

  void close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    error_code ignored;
    socket_.close(ignored);
    server_->ended(shared_from_this());
  }

  // Between requests, with nothing of the next one come.
  bool idle() const {
    if (state_ != State::reading || begun_) return false;
    error_code ec;
    return socket_.available(ec) == 0 || ec;
  }
  Clock::time_point since() const { return since_; }

  bool overdue(Clock::time_point now) const {
    switch (state_) {
      case State::reading: return now - since_ > (begun_ ? server_->limits_.slow : server_->limits_.idle);
      case State::writing: return now - since_ > server_->limits_.slow;  // a client that doesn't read
      case State::lingering: return now - since_ > kLinger;
      default: return false;
    }
  }

 private:
  enum class State { reading, waiting, writing, lingering, closed };

  void renew() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kBodyLimit);
    state_ = State::reading;
    begun_ = false;
    since_ = Clock::now();
  }

  void next() {
    renew();
    if (!receiving_) consume();
  }

  // One read is always out, also while an answer is awaited: this is how a client's leaving is noticed.
  void read() {
    receiving_ = true;
    socket_.async_read_some(buffer_.prepare(kChunk),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->receiving_ = false;
                              self->received(ec, n);
                            });
  }

  void received(error_code ec, std::size_t n) {
    if (state_ == State::closed) return;
    if (ec) {
      if (state_ == State::writing) left_ = true;  // the answer may still arrive
      else if (state_ == State::waiting) gone();
      else close();
      return;
    }
    buffer_.commit(n);
    switch (state_) {
      case State::reading: return consume();
      case State::lingering: buffer_.consume(buffer_.size()); return read();
      default: return;  // sent before it was asked for: kept for the next turn, and no more is read till then
    }
  }

  void consume() {
    if (buffer_.size() > 0 && !begun_) {
      begun_ = true;
      since_ = Clock::now();
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
      error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec == http::error::need_more) break;
      if (ec) return reject(ec);
    }
    // Danger: the parser bounds head and body, not the head of a chunk; the buffer throws when it is full,
    // and that would end the process.
    if (!parser_->is_done() && buffer_.size() + kChunk > buffer_.max_size())
      return reject(http::error::header_limit);
    if (!parser_->is_done()) return read();
    keepAlive_ = parser_->get().keep_alive();
    ClientRequest request{exchange_ = ++server_->lastExchange_, parser_->release(), since_};
    state_ = State::waiting;
    server_->waiting_.emplace(exchange_, shared_from_this());
    if (buffer_.size() == 0) read();
    server_->callbacks_.request(std::move(request));
  }

  void reject(error_code ec) {
    const bool large = ec == http::error::header_limit || ec == http::error::body_limit;
    keepAlive_ = false;
    HttpResponse response;
    response.result(large ? http::status::payload_too_large : http::status::bad_request);
    answer(std::move(response));
    if (!receiving_) discard();
  }

  void discard() {
    buffer_.consume(buffer_.size());
    read();
  }

  void gone() {
    const ExchangeId exchange = exchange_;
    server_->waiting_.erase(exchange);
    close();
    server_->callbacks_.gone(exchange);
  }

  // Danger: a connection that is closed with unread bytes in it is reset, and the reset may overtake the
  // answer. So our side ends first, and the client's is read out.
  void linger() {
    state_ = State::lingering;
    since_ = Clock::now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!receiving_) discard();
  }

  ClientServer* server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + kBodyLimit};
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
  State state_ = State::reading;
  ExchangeId exchange_ = 0;
  Clock::time_point since_;  // of the state; of a request's first byte, once it is there
  bool begun_ = false, receiving_ = false, keepAlive_ = false, left_ = false;
};

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& listen, Limits limits,
                           Callbacks callbacks)
    : io_(io),
      acceptor_(io, listen, true),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      sweeper_(io),
      again_(io) {
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

ClientServer::~ClientServer() {
  onEmpty = nullptr;
  callbacks_.gone = [](ExchangeId) {};
  waiting_.clear();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->close();
}

void ClientServer::answer(ExchangeId exchange, HttpResponse response) {
  const auto it = waiting_.find(exchange);
  if (it == waiting_.end()) return;
  const auto session = std::move(it->second);
  waiting_.erase(it);
  session->answer(std::move(response));
}

void ClientServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code ec) {
    if (ec || !acceptor_.is_open()) return;
    if (takeWaiting()) return accept();
    // Danger: with no descriptor left the listener stays readable, and the loop would spin.
    again_.expires_after(kAcceptAgain);
    again_.async_wait([this](error_code waitError) {
      if (!waitError && acceptor_.is_open()) accept();
    });
  });
}

// Takes all that wait; false if there was no room for more. Danger: at the limit, room may be made only for
// a connection that is there: an idle client is not sent away for nobody. So there may be one over it.
bool ClientServer::takeWaiting() {
  for (;;) {
    if (sessions_.size() > limits_.connections && !closeOldestIdle()) return false;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) return true;
    if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) continue;
    if (ec) return closeOldestIdle();
    if (sessions_.size() >= limits_.connections) closeOldestIdle();
    admit(std::move(socket));
    if (sessions_.size() > limits_.connections) return false;
  }
}

void ClientServer::admit(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

bool ClientServer::closeOldestIdle() {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_)
    if ((!oldest || session->since() < oldest->since()) && session->idle()) oldest = session;
  if (!oldest) return false;
  oldest->close();
  return true;
}

void ClientServer::ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (sessions_.empty() && !acceptor_.is_open() && onEmpty)
    asio::post(io_, [this] {
      if (onEmpty) onEmpty();
    });
}

void ClientServer::lastAnswers() { last_ = true; }

void ClientServer::stopAccepting() {
  // Danger: what waits to be accepted may hold requests already; a closed listener would reset them.
  takeWaiting();
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all)
    if (session->idle()) session->close();
  if (sessions_.empty() && onEmpty) onEmpty();
}

void ClientServer::sweep() {
  const auto now = Clock::now();
  std::vector<std::shared_ptr<Session>> overdue;
  for (const auto& session : sessions_)
    if (session->overdue(now)) overdue.push_back(session);
  for (const auto& session : overdue) session->close();
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec) sweep();
  });
}

}  // namespace cairnjunction
