// HTTP/1.1 server: accepts connections of clients, limits their number and closes those that time out.
#include "http/server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "common/socket_io.hpp"
#include "http/session.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr auto kSweepInterval = milliseconds(100);    // between two checks of the timeouts
constexpr auto kLingerTimeout = milliseconds(500);    // for the client to close, in a lingering close
constexpr auto kAcceptRetryDelay = milliseconds(20);  // at the connection limit, or without a descriptor
constexpr std::size_t kMaxBacklog = 4096;             // default length of a listener's backlog on Linux
constexpr std::size_t kMaxAcceptsPerTurn = 32;        // connections accepted in one turn of the event loop
constexpr auto kFreshGrace = milliseconds(50);        // most clients send a request within this time
constexpr auto kPartialRequestGrace = milliseconds(2100);  // slow clients send their head within this time
constexpr auto kCrowdedRequestGrace =
    milliseconds(300);                           // the same while most connections are partial requests
constexpr std::size_t kMaxSessionsExamined = 8;  // per queue, by one call of closeOldest()
constexpr std::size_t kReadBufferBytes = 64 << 10;
// A client that sends or reads nothing for so long gives way first when a memory share is exceeded.
constexpr auto kStallGrace = milliseconds(300);

tcp::acceptor openAcceptor(asio::io_context& io, const ListenOptions& listen) {
  if (listen.inheritedDescriptor < 0) return tcp::acceptor(io, listen.endpoint, true);
  const tcp family = listen.endpoint.address().is_v6() ? tcp::v6() : tcp::v4();
  return tcp::acceptor(io, family, listen.inheritedDescriptor);
}

}  // namespace

HttpServer::HttpServer(asio::io_context& io, const ListenOptions& listen, Limits limits, Callbacks callbacks,
                       std::shared_ptr<MemoryAccount> memory)
    : io_(io),
      acceptor_(openAcceptor(io, listen)),
      isInherited_(listen.inheritedDescriptor >= 0),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      sweepTimer_(io),
      acceptRetry_(io),
      memory_(memory ? std::move(memory) : std::make_shared<MemoryAccount>()),
      readBuffer_(kReadBufferBytes) {
  acceptor_.non_blocking(true);
  reportAbortedConnections(acceptor_);
  accept();
  sweep();
}

HttpServer::~HttpServer() {
  onEmpty = nullptr;
  onMemoryShed = nullptr;
  callbacks_.disconnected = [](ExchangeId) {};
  awaitingResponse_.clear();
  for (Queue& sessions : queues_)
    while (!sessions.empty()) sessions.front()->close(HttpCloseReason::shutdown);
}

void HttpServer::drop(ExchangeId exchange) {
  const auto it = awaitingResponse_.find(exchange);
  if (it == awaitingResponse_.end()) return;
  const auto session = std::move(it->second);
  awaitingResponse_.erase(it);
  session->close(HttpCloseReason::routed);
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response) {
  const auto it = awaitingResponse_.find(exchange);
  if (it == awaitingResponse_.end()) return;
  const auto session = std::move(it->second);
  awaitingResponse_.erase(it);
  session->respond(std::move(response));
}

void HttpServer::accept() {
  acceptor_.async_wait(tcp::acceptor::wait_read, lifetime_.guard([this](error_code ec) {
    if (ec || !acceptor_.is_open()) return;
    if (acceptPending(kMaxAcceptsPerTurn)) return accept();
    // At the connection limit, or without a free descriptor, accepting fails but the listener stays readable:
    // waiting for it would return at once and the event loop would spin. So accepting is retried after
    // kAcceptRetryDelay.
    acceptRetry_.expires_after(kAcceptRetryDelay);
    acceptRetry_.async_wait(lifetime_.guard([this](error_code waitError) {
      if (!waitError && acceptor_.is_open()) accept();
    }));
  }));
}

// Accepts up to `max` pending connections; returns false if there is no capacity for more. At the limit an
// idle connection is closed only after another one was accepted: if it were closed before, it would be lost
// for nothing when no connection is pending. So there may be one connection above the limit.
bool HttpServer::acceptPending(std::size_t max) {
  for (std::size_t i = 0; i < max; ++i) {
    if (openCount_ > limits_.connections && !freeCapacity()) return false;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) {
      switch (acceptFailureOf(ec)) {
        case AcceptFailure::nonePending: return true;
        case AcceptFailure::connectionLost: continue;
        case AcceptFailure::noDescriptor: return freeCapacity();
        case AcceptFailure::noResources: return false;
      }
    }
    if (openCount_ >= limits_.connections) freeCapacity();
    addSession(std::move(socket));
    if (openCount_ > limits_.connections) return false;
  }
  return true;
}

// Connections in the listener's backlog may carry requests already, and closing the listener would reset
// them. So all are accepted, even above the limit: no further ones can arrive, and the number of descriptors
// bounds them.
void HttpServer::acceptAll() {
  for (std::size_t i = 0; i < kMaxBacklog; ++i) {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (!ec) {
      addSession(std::move(socket));
      continue;
    }
    const AcceptFailure failure = acceptFailureOf(ec);
    if (failure == AcceptFailure::nonePending) return;
    if (failure == AcceptFailure::noDescriptor && !freeCapacity()) return;
  }
}

void HttpServer::addSession(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  Queue& fresh = queue(State::fresh);
  fresh.push_back(std::make_shared<Session>(*this, std::move(socket)));
  ++openCount_;
  fresh.back()->start(std::prev(fresh.end()));
}

// Closes one connection and returns whether there was one to close. In this order: one in its lingering
// close, one that has sent nothing since it connected, an idle keep-alive connection, and last one with a
// partial request, which is lost. Hundreds of clients that connect and send nothing, or stop within a
// request, would displace the connections of all others. So while theirs are more than half of the limit, no
// idle keep-alive connection is closed, and new clients wait until the oldest of theirs has used up its
// grace.
bool HttpServer::freeCapacity() {
  const auto now = Clock::now();
  if (closeOldest(State::lingering, now - kFreshGrace) || closeOldest(State::fresh, now - kFreshGrace))
    return true;
  if (queue(State::fresh).size() + queue(State::begun).size() > limits_.connections / 2)
    return closeOldest(State::fresh, now - kFreshGrace, true) ||
           closeOldest(State::begun, now - kCrowdedRequestGrace, true);
  return closeOldest(State::idle, now) || closeOldest(State::fresh, now - kFreshGrace, true) ||
         closeOldest(State::begun, now - kPartialRequestGrace, true);
}

// A proxy in front of the gateway passes only a limited number of connections and refuses the rest, which the
// gateway does not see. Clients that keep a connection open after one request would use up that number, and
// others could not connect. So capacity is freed early: when a new client sends its first request and more
// than `kept` connections have sent one, the longest idle keep-alive connection is closed. The cost: clients
// that rarely send a request have to reconnect, and one that sends a request at that moment has to repeat it.
void HttpServer::limitKeptConnections() {
  const std::size_t active = queue(State::idle).size() + queue(State::begun).size() +
                             queue(State::waiting).size() + queue(State::writing).size() +
                             queue(State::streaming).size();
  if (active > limits_.kept) closeOldest(State::idle, Clock::now());
}

// Closes the oldest session of a queue, among the first kMaxSessionsExamined, that entered its state by
// `before` and has no unread input; with `allowPartial` also one with a partial request. Returns false if
// there is none.
bool HttpServer::closeOldest(State state, Clock::time_point before, bool allowPartial) {
  std::size_t looked = 0;
  for (const auto& session : queue(state)) {
    if (session->stateSince() > before || ++looked > kMaxSessionsExamined) return false;
    if (state != State::lingering && !session->hasNoInput() && !(allowPartial && !session->hasUnreadBytes()))
      continue;
    const auto chosen = session;
    chosen->close(HttpCloseReason::capacity);
    return true;
  }
  return false;
}

// --- Memory -----------------------------------------------------------------------------------------------

// Called when `current` has read more of its request. While the share is exceeded, partial requests that have
// stalled give way. Returns whether `current` may go on: also above the share if it holds less than an equal
// part of half of it, so that clients with small requests are served beside a crowd with large ones.
bool HttpServer::makeRequestRoom(const Session& current) {
  const auto isExceeded = [this] { return memory_->held(MemoryOwner::clientRequests) > limits_.bodyBytes; };
  while (isExceeded())
    if (!shedStalledRequest()) break;
  return !isExceeded() ||
         current.requestBytes() <= limits_.bodyBytes / 2 / std::max<std::size_t>(limits_.connections, 1);
}

// Of the sessions in `state` that have made no progress for `grace`, the one that holds most for longest;
// null if there is none. `heldOf(session)`: the bytes that it holds.
template <class Held>
std::shared_ptr<HttpServer::Session> HttpServer::heaviest(State state, milliseconds grace, Held heldOf) {
  const auto now = Clock::now();
  std::shared_ptr<Session> chosen;
  double largest = 0;
  for (const auto& session : queue(state)) {
    const auto stalledFor = now - session->lastProgressAt();
    if (stalledFor < grace) continue;
    const double weight =
        static_cast<double>(heldOf(*session)) * std::chrono::duration<double>(stalledFor).count();
    if (weight <= largest) continue;
    largest = weight;
    chosen = session;
  }
  return chosen;
}

// Rejects one partial request that has stalled. Returns false if there is none.
bool HttpServer::shedStalledRequest() {
  const auto heldOf = [](const Session& session) {
    return session.hasUnreadBytes() ? 0 : session.requestBytes();  // it goes on
  };
  const auto chosen = heaviest(State::begun, kStallGrace, heldOf);
  if (!chosen) return false;
  reportShed(*chosen, chosen->requestBytes(), "request");
  chosen->shedPartialRequest();
  return true;
}

// Posted, since what exceeds the share may come from within a callback of the connection that has to give
// way.
void HttpServer::scheduleResponseRoom() {
  if (memory_->held(MemoryOwner::clientResponses) <= limits_.responseBytes) return;
  if (std::exchange(responseRoomScheduled_, true)) return;
  asio::post(io_, lifetime_.guard([this] {
    responseRoomScheduled_ = false;
    makeResponseRoom();
  }));
}

// Above twice the share clients give way that were reading until now.
void HttpServer::makeResponseRoom() {
  const auto held = [this] { return memory_->held(MemoryOwner::clientResponses); };
  while (held() > limits_.responseBytes)
    if (!shedUnreadResponse(kStallGrace)) break;
  while (held() > 2 * limits_.responseBytes)
    if (!shedUnreadResponse(milliseconds(0))) break;
}

// Closes one connection whose client has read nothing for so long. Returns false if there is none.
bool HttpServer::shedUnreadResponse(milliseconds unreadFor) {
  const auto heldOf = [](const Session& session) { return session.responseBytes(); };
  const auto chosen = heaviest(State::writing, unreadFor, heldOf);
  if (!chosen) return false;
  reportShed(*chosen, chosen->responseBytes(), "response");
  chosen->close(HttpCloseReason::outOfMemory);
  return true;
}

void HttpServer::reportShed(const Session& session, std::size_t heldBytes, std::string_view what) const {
  if (!onMemoryShed) return;
  const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - session.stateSince());
  onMemoryShed("connection-shed reason=out_of_memory held=" + std::string(what) +
               " bytes=" + std::to_string(heldBytes) + " age_ms=" + std::to_string(age.count()));
}

void HttpServer::onSessionClosed(HttpCloseReason reason) {
  ++closes_[static_cast<std::size_t>(reason)];
  --openCount_;
  if (openCount_ == 0 && !acceptor_.is_open() && onEmpty)
    asio::post(io_, lifetime_.guard([this] { notifyEmpty(); }));
}

// Calls onEmpty at most once: the callback may destroy this object, or close sessions, which would call it
// again.
void HttpServer::notifyEmpty() {
  if (const auto callback = std::exchange(onEmpty, nullptr)) callback();
}

void HttpServer::lastAnswers() {
  closeAfterResponse_ = true;
  if (isInherited_) stopListening();  // other processes that share the socket accept new connections
}

void HttpServer::stopListening() {
  if (!acceptor_.is_open()) return;
  if (!isInherited_) acceptAll();
  error_code ignored;
  acceptor_.close(ignored);
  acceptRetry_.cancel();
}

void HttpServer::stopAccepting() {
  stopListening();
  closeIdle_ = true;
  for (const State state : {State::fresh, State::idle}) {
    const std::vector<std::shared_ptr<Session>> all(queue(state).begin(), queue(state).end());
    for (const auto& session : all)
      if (session->hasNoInput()) session->close(HttpCloseReason::shutdown);
  }
  if (openCount_ == 0) notifyEmpty();
}

std::size_t HttpServer::stopReading() {
  rejectPartial_ = true;
  const std::vector<std::shared_ptr<Session>> partial(queue(State::begun).begin(), queue(State::begun).end());
  std::size_t rejected = 0;
  for (const auto& session : partial) {
    // The last byte of the request may have arrived just now.
    if (session->hasUnreadBytes()) session->readable();
    if (session->state() != State::begun) continue;
    session->endPartialRequest();
    ++rejected;
  }
  return rejected;
}

void HttpServer::sweep() {
  struct Timeout {
    State state;
    milliseconds after;
    HttpCloseReason reason;
  };
  const auto now = Clock::now();
  const std::array<Timeout, 5> timeouts{{{State::fresh, limits_.slow, HttpCloseReason::requestLate},
                                         {State::begun, limits_.slow, HttpCloseReason::requestLate},
                                         {State::idle, limits_.idle, HttpCloseReason::idle},
                                         {State::writing, 2 * limits_.slow, HttpCloseReason::responseUnread},
                                         {State::lingering, kLingerTimeout, HttpCloseReason::answered}}};
  for (const Timeout& timeout : timeouts) {
    Queue& sessions = queue(timeout.state);
    while (!sessions.empty() && now - sessions.front()->stateSince() > timeout.after) {
      const auto session = sessions.front();
      // The last byte of the request may have arrived just now, and closing would lose a complete request. So
      // available bytes are read before the timeout is checked again.
      if (session->hasUnreadBytes()) session->readable();
      if (session->state() == timeout.state && now - session->stateSince() > timeout.after)
        session->close(timeout.reason);
    }
  }
  sweepTimer_.expires_after(kSweepInterval);
  sweepTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction
