#include "http/server.hpp"

#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "http/session.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr auto kSweep = std::chrono::milliseconds(100);       // slow and idle connections are looked for
constexpr auto kLinger = std::chrono::milliseconds(500);      // for a client to close after the last answer,
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when there was no room or no descriptor left
constexpr std::size_t kBacklogMost = 4096;                    // as long as a listener's queue is by default
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

// Danger: what waits to be accepted may hold requests already; a closed listener would reset them. So all of
// it is taken, past the limit too: there are no others to come, and descriptors bound it.
void HttpServer::takeAll() {
  for (std::size_t i = 0; i < kBacklogMost; ++i) {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) return;
    if (!ec) admit(std::move(socket));
    else if (ec != asio::error::connection_aborted && ec != asio::error::interrupted && !makeRoom()) return;
  }
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
  if (!shared_) takeAll();
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
}

void HttpServer::stopAccepting() {
  stopListening();
  closing_ = true;
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
