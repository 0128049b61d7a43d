// The connections of JSON-RPC clients together: accepting, bounds, timeouts, a graceful shutdown.
#include "jsonrpc/server.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "common/socket_io.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/server_connection.hpp"

namespace cairnjunction::jsonrpc {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kSweep = std::chrono::milliseconds(100);       // interval of sweep()
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // retry after no room or no descriptor
constexpr std::size_t kAcceptAtOnce = 32;                     // accepted in one turn of the event loop
constexpr std::size_t kBacklogMost = 4096;                    // length of a listener's backlog by default

}  // namespace

Server::Server(asio::io_context& io, const tcp::endpoint& listen, const FrontendLimits& limits,
               std::chrono::milliseconds userTimeout, Callbacks callbacks,
               std::shared_ptr<MemoryAccount> memory)
    : io_(io),
      acceptor_(io, listen, true),
      limits_(limits),
      userTimeout_(userTimeout),
      callbacks_(std::move(callbacks)),
      sweeper_(io),
      again_(io),
      scratch_(kChunk + kPadding),
      held_(std::move(memory), MemoryOwner::jsonRpcClients) {
  acceptor_.non_blocking(true);
  reportAbortedConnections(acceptor_);
  accept();
  sweep();
}

Server::~Server() {
  for (auto& [id, connection] : connections_) connection->reset();
}

void Server::write(ConnectionId id, std::string_view text) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->write(text);
  if (std::exchange(flushing_, true)) return;
  asio::post(io_, lifetime_.guard([this] {
    flushing_ = false;
    for (const auto& each : std::exchange(unflushed_, {})) each->flush();
    keepWithin();
  }));
}

void Server::closeAfterReplies(ConnectionId id) {
  if (const auto it = connections_.find(id); it != connections_.end()) it->second->closeAfterReplies();
}

void Server::close(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->reset();
  erase(id);
}

void Server::holds(ConnectionId id, std::size_t calls) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const auto connection = it->second;
  connection->setOpenCalls(calls);
  if (stopping_) connection->endIfSilent();
}

void Server::erase(ConnectionId id) {
  connections_.erase(id);
  if (connections_.empty() && stopping_)
    asio::post(io_, lifetime_.guard([this] {
      if (onEmpty && connections_.empty()) std::exchange(onEmpty, nullptr)();
    }));
}

void Server::accept() {
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

bool Server::takeWaiting(std::size_t most) {
  for (std::size_t i = 0; i < most; ++i) {
    if (connections_.size() >= limits_.connections && !makeRoom()) return false;
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) {
      switch (acceptFailureOf(ec)) {
        case AcceptFailure::nonePending: return true;
        case AcceptFailure::connectionLost: continue;
        case AcceptFailure::noDescriptor: return makeRoom();
        case AcceptFailure::noResources: return false;
      }
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(userTimeout_.count())), ignored);
    socket.non_blocking(true, ignored);
    const ConnectionId id = ++last_;
    const auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
    connections_.emplace(id, connection);
    connection->start();
  }
  return true;
}

// Of those with nothing open, the one that has been so for the longest time.
bool Server::makeRoom() {
  for (const Queue queue : {Queue::lingering, Queue::idle})
    for (Connection* connection : list(queue))
      if (queue == Queue::lingering || connection->isSilent()) {
        connection->dropByReset();
        return true;
      }
  return false;
}

// Clients that send endless texts or do not read their responses could together use any amount of memory.
// Above the bound, connections are closed until it holds: first the one whose responses have waited longest,
// then the one that has been sending an incomplete text for longest.
void Server::keepWithin() {
  while (bytes() > limits_.bytes) {
    List& from = !list(Queue::stalled).empty() ? list(Queue::stalled) : list(Queue::reading);
    if (from.empty()) return;
    from.front()->dropByReset();
  }
}

void Server::stopAccepting() {
  takeWaiting(kBacklogMost);  // what waits may hold calls already
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  const std::vector<Connection*> idle(list(Queue::idle).begin(), list(Queue::idle).end());
  for (Connection* connection : idle) connection->endIfSilent();
  if (connections_.empty() && onEmpty) std::exchange(onEmpty, nullptr)();
}

void Server::stopReading() {
  std::vector<std::shared_ptr<Connection>> all;  // what one does may close it
  for (const auto& [id, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->closeAfterReplies();
}

void Server::sweep() {
  const auto now = Clock::now();
  const std::array<std::pair<Queue, std::chrono::milliseconds>, 4> bounds{
      {{Queue::reading, limits_.slow},
       {Queue::stalled, limits_.stalled},
       {Queue::idle, stopping_ ? std::chrono::milliseconds(0) : limits_.idle},
       {Queue::lingering, std::chrono::milliseconds(0)}}};
  for (const auto& [queue, bound] : bounds) {
    std::vector<std::shared_ptr<Connection>> late;  // by hand: what one does may close another
    for (Connection* connection : list(queue)) {
      if (now - connection->queuedSince() <= bound) break;
      late.push_back(connection->shared_from_this());
    }
    for (const auto& connection : late)
      if (connections_.count(connection->id())) connection->onTimeout(queue);
  }
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction::jsonrpc
