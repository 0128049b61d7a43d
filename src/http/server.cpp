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

constexpr auto kSweep = std::chrono::milliseconds(100);       // interval of sweep()
constexpr auto kLinger = std::chrono::milliseconds(500);      // lingering close: time for the client to close
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // retry after no room or no descriptor
constexpr std::size_t kBacklogMost = 4096;                    // length of a listener's backlog by default
constexpr std::size_t kAcceptAtOnce = 32;                     // accepted in one turn of the event loop
constexpr auto kSettle = std::chrono::milliseconds(50);       // most clients have sent a request within it
constexpr auto kHalf = std::chrono::milliseconds(2100);       // slow clients have sent their head within it
constexpr std::size_t kLookAt = 8;                            // sessions of a queue that makeRoom looks at

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
    // With no descriptor or no room left, accepting fails but the listener stays readable: waiting for it
    // would return at once and the event loop would spin. So the next attempt waits for kAcceptAgain.
    again_.expires_after(kAcceptAgain);
    again_.async_wait(lifetime_.guard([this](error_code waitError) {
      if (!waitError && acceptor_.is_open()) accept();
    }));
  }));
}

// Accepts up to `most` waiting connections; false if there is no room for more. At the limit an idle
// connection is closed only after another was accepted: closed before, it would be lost for nothing if no
// connection waits. So there may be one connection above the limit.
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

// Connections in the listener's backlog may carry requests already, and closing the listener would reset
// them. So all are accepted, also above the limit: no more can follow, and the descriptors bound their
// number.
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

// Closes one connection, in this order: one in its lingering close, one that has sent nothing since it
// connected, an idle keep-alive connection, and last one with a partial request, which is lost. Hundreds of
// clients that connect and send nothing would drive out the connections of all others. So when more than half
// of the limit has sent nothing yet, no idle keep-alive connection is closed, and new clients wait until
// those that sent nothing are kSettle old.
bool HttpServer::makeRoom() {
  const auto now = Clock::now();
  if (closeOneOf(State::lingering, now - kSettle) || closeOneOf(State::fresh, now - kSettle)) return true;
  if (queue(State::fresh).size() > limits_.connections / 2)
    return closeOneOf(State::fresh, now - kSettle, true);
  return closeOneOf(State::idle, now) || closeOneOf(State::fresh, now - kSettle, true) ||
         closeOneOf(State::begun, now - kHalf, true);
}

// A proxy in front of the gateway passes only a limited number of connections and refuses the rest, which the
// gateway does not see. Clients that keep a connection open after one request would use up that number, and
// others could not connect. So room is made early: when a new client sends its first request and more than
// `kept` connections have sent one, the longest idle keep-alive connection is closed. The cost: many clients
// that rarely send a request connect again, and one that sends a request at that moment has to repeat it.
void HttpServer::keepRoom() {
  const std::size_t asked = queue(State::idle).size() + queue(State::begun).size() +
                            queue(State::waiting).size() + queue(State::writing).size();
  if (asked > limits_.kept) closeOneOf(State::idle, Clock::now());
}

// Closes the oldest session of a queue, among kLookAt, that has sent nothing; with `half` also one with a
// partial request. False if there is none.
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

// Calls onEmpty at most once: the callback may destroy this object or close sessions, which would call it
// again.
void HttpServer::toldEmpty() {
  if (const auto told = std::exchange(onEmpty, nullptr)) told();
}

void HttpServer::lastAnswers() {
  last_ = true;
  if (shared_) stopListening();  // new connections go to the other processes that have the socket
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
       {State::writing, 2 * limits_.slow},  // the client does not read its response
       {State::lingering, kLinger}}};
  for (const auto& [state, bound] : bounds)
    while (!queue(state).empty() && now - queue(state).front()->since() > bound) {
      const auto session = queue(state).front();
      // The last byte of the request may have arrived just now. Closing would lose a complete request, so
      // what has arrived is read before the timeout is checked again.
      if (session->unread()) session->readable();
      if (session->state() == state && now - session->since() > bound) session->close();
    }
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction
