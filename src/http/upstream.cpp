#include "http/upstream.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "http/framing.hpp"
#include "upstream/dial.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using ochrehill::Carrier;
using ochrehill::Duration;
using ochrehill::Fault;
using ochrehill::HostId;
using ochrehill::Outcome;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 4096;  // read at a time; most answers are smaller
constexpr int kInterimMost = 8;       // answers ahead of the final one (1xx): more than anyone has use for
constexpr Duration kSweep = std::chrono::milliseconds(250);
// Danger: a request written to a connection that the host is just closing ends as a reset, which may have
// run. Given up earlier than the host would by this, or by a fifth of a short limit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

}  // namespace

struct HttpUpstream::Connection : std::enable_shared_from_this<Connection> {
  enum class Phase { connecting, writing, reading, idle, closed };

  HttpUpstream* pool;
  HostId host;
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer{kHeaderLimit + kBodyLimit};
  std::optional<http::response_parser<http::string_body>> parser;
  std::string request;  // as it is written
  AttemptKey key;
  Phase phase = Phase::connecting;
  Clock::time_point sentAt, idleSince, deadline;
  std::uint64_t turn = 0;  // of the timer: one that is already due when it is moved is told by it
  HeadScanner scanner{HeadScanner::Kind::answer};
  bool watching = false, headSeen = false, up = false, used = false;
  int interim = 0;

  Connection(HttpUpstream& p, HostId h) : pool(&p), host(h), socket(p.io_), timer(p.io_) {
    ++p.open_;
    p.count(h, 1, 0);
  }

  void close() {
    if (phase == Phase::closed) return;
    phase = Phase::closed;
    ++turn;
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
    --pool->open_;
    pool->count(host, -1, up ? -1 : 0);
  }

  void limit(Clock::time_point at, Outcome outcome, Fault fault = Fault::unknown) {
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this(), mine = ++turn, outcome, fault](error_code ec) {
      if (!ec && mine == self->turn && self->phase != Phase::closed) self->end(outcome, fault);
    });
  }

  void connect(const tcp::endpoint& endpoint) {
    // Until the connection is up nothing has been written, so the end of the attempt's own time proves here
    // that it never ran, as the end of the time for connecting does.
    const auto connectBy = sentAt + pool->limits_.connectTimeout;
    if (deadline < connectBy) limit(deadline, Outcome::connectFailed, Fault::outOfTime);
    else limit(connectBy, Outcome::connectFailed, Fault::dialSilent);
    error_code ec;
    socket.open(endpoint.protocol(), ec);  // fails when no descriptor is left
    if (ec) return end(Outcome::connectFailed, Fault::noDescriptor);
    socket.async_connect(endpoint, [self = shared_from_this()](error_code connectError) {
      if (self->phase != Phase::connecting) return;
      if (connectError) return self->end(Outcome::connectFailed, faultOfDial(connectError));
      self->up = true;
      self->pool->count(self->host, 0, 1);
      // Danger: the list may have drained or dropped the host meanwhile, and what is written now would be new
      // to it. Nothing was, so it never ran.
      const auto known = self->pool->hosts_.find(self->host);
      if (known == self->pool->hosts_.end() || !known->second.serving)
        return self->end(Outcome::connectFailed, Fault::withdrawn);
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void write() {
    phase = Phase::writing;
    limit(deadline, Outcome::timeout);
    asio::async_write(socket, asio::buffer(request), [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->phase != Phase::writing) return;
      // An error here means that the last byte was not written: it never ran.
      if (ec) return self->end(Outcome::connectFailed, Fault::lostInWrite);
      self->pool->dispatched();
      self->read();
    });
  }

  void read() {
    phase = Phase::reading;
    interim = 0;
    renew();
    receive();
  }

  void renew() {  // for one answer, or for one ahead of it
    scanner = HeadScanner(HeadScanner::Kind::answer);
    headSeen = false;
    parser.emplace();
    parser->body_limit(kBodyLimit);
    parser->header_limit(kHeaderLimit);
  }

  // Danger: an attempt may end, by its time or by a cancel, with a completed read still in the event loop's
  // queue. So no operation of a library may hold the parser: only the socket is read here, and the phase
  // tells whether what has come is still wanted.
  void receive() {
    socket.async_read_some(buffer.prepare(kChunk), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (self->phase != Phase::reading) return;
      if (ec) return self->end(Outcome::reset);
      self->buffer.commit(n);
      self->received();
    });
  }

  void received() {
    for (;;) {
      if (!headSeen) {
        const auto data = buffer.data();
        const auto state = scanner.scan({static_cast<const char*>(data.data()), data.size()});
        if (state == HeadScanner::State::bad) return end(Outcome::error, Fault::spoilt);
        if (state == HeadScanner::State::more && buffer.size() > kHeaderLimit)
          return end(Outcome::error, Fault::spoilt);
        if (state == HeadScanner::State::more) return receive();
        headSeen = true;
      }
      error_code ec;
      while (buffer.size() > 0 && !parser->is_done() && !ec) {
        buffer.consume(parser->put(buffer.data(), ec));
        // Danger: Beast 1.74 passes over the limit where head and body come in one piece.
        if (parser->is_header_done() && parser->content_length() && *parser->content_length() > kBodyLimit)
          return end(Outcome::error, Fault::spoilt);
      }
      if (ec && ec != http::error::need_more) return end(Outcome::error, Fault::spoilt);
      if (!parser->is_header_done() || !parser->is_done()) {
        if (parser->is_header_done() && !framed()) return end(judge());
        // The parser bounds head and body, not the head of a chunk; the buffer would throw when it is full.
        if (buffer.size() + kChunk > buffer.max_size()) return end(Outcome::error, Fault::spoilt);
        return receive();
      }
      const unsigned status = parser->get().result_int();
      if (status / 100 != 1) return end(judge(), Fault::unknown, reusable());
      // What comes ahead of an answer is none. Nobody asked to change the protocol, so a 101 is nonsense.
      if (status == 101 || ++interim > kInterimMost) return end(Outcome::error, Fault::spoilt);
      renew();
    }
  }

  // Danger: an answer framed by the end of the connection can't be told from one that was cut.
  bool framed() const { return parser->get().chunked() || parser->get().has_content_length(); }

  Outcome judge() const {
    const auto& answer = parser->get();
    const http::status status = answer.result();
    if (status == http::status::ok) return framed() ? Outcome::served : Outcome::reset;
    const bool busy = status == http::status::service_unavailable || status == http::status::gateway_timeout;
    if (busy && answer["X-Not-Run"] == "1") return Outcome::full;
    // Told by the protocol to mean the request, not the host: sent to others it would be turned away again.
    if (status == http::status::bad_request || status == http::status::not_found) return Outcome::rejected;
    return Outcome::error;  // it may have run, whatever the answer says
  }

  // Danger: what comes behind a whole answer would be taken for the next one.
  bool reusable() const { return parser->get().keep_alive() && buffer.size() == 0; }

  // Ends the attempt. The connection is kept only after a whole answer: what comes late on one that was
  // given up would be taken for the answer to the next request.
  void end(Outcome outcome, Fault fault = Fault::unknown, bool keep = false) {
    const auto self = shared_from_this();
    AttemptEnd done{key, host, outcome, Clock::now() - sentAt, {}, fault};
    done.carrier = used ? Carrier::reused : up ? Carrier::fresh : Carrier::none;
    used = true;
    if (outcome == Outcome::served) done.answer = answerOf(parser->release());
    parser.reset();
    pool->busy_.erase(key);
    const auto known = pool->hosts_.find(host);
    done.kept = keep && known != pool->hosts_.end() && known->second.serving;
    if (done.kept) rest(known->second);
    else close();
    pool->ended_(std::move(done));
  }

  void rest(Host& of) {
    phase = Phase::idle;
    ++turn;
    timer.cancel();
    request.clear();
    idleSince = Clock::now();
    buffer.shrink_to_fit();
    of.idle.push_back(shared_from_this());
    watch();
  }

  // An idle connection becomes readable when the host closes it; what a host says unasked ends it as well.
  void watch() {
    if (watching) return;
    watching = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->watching = false;
      if (self->phase == Phase::idle) self->pool->dropIdle(self);
    });
  }

  // Seen at once, also when the event loop has not come to it yet.
  bool usable() {
    char byte;
    error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block || ec == asio::error::try_again;
  }
};

HttpUpstream::HttpUpstream(asio::io_context& io, Limits limits, Ended ended)
    : io_(io), limits_(limits), ended_(std::move(ended)), sweeper_(io) {
  sweep();
}

HttpUpstream::~HttpUpstream() { stop(); }

void HttpUpstream::stop() {
  sweeper_.cancel();
  onConnections(nullptr);
  for (auto& [key, connection] : std::exchange(busy_, {})) connection->close();
  for (auto& [id, host] : hosts_)
    for (auto& connection : std::exchange(host.idle, {})) connection->close();
}

bool HttpUpstream::list(HostId host, const tcp::endpoint& endpoint, bool serving) {
  Host& h = hosts_[host];
  countFrom(host);
  // One that is gone may be named without its address.
  const bool first = h.endpoint.port() == 0;
  const bool moved = endpoint.port() != 0 && endpoint != h.endpoint;
  if (moved || !serving) closeIdle(host);
  if (moved) h.endpoint = endpoint;
  h.serving = serving;
  return moved && !first;
}

void HttpUpstream::unlistAll() {
  for (auto& [id, host] : hosts_) host.serving = false;
}

void HttpUpstream::forget(HostId host) {
  closeIdle(host);
  hosts_.erase(host);
  countNoMore(host);
}

void HttpUpstream::start(AttemptKey key, HostId host, const Call& call, Duration limit) {
  const auto now = Clock::now();
  const auto known = hosts_.find(host);
  if (known == hosts_.end()) return ended_(unreached(key, host, Fault::withdrawn));
  std::shared_ptr<Connection> connection = takeIdle(known->second);
  const bool fresh = !connection;
  if (fresh) {
    if (open_ >= limits_.connections && !closeOldestIdle())
      return ended_(unreached(key, host, Fault::noDescriptor));
    connection = std::make_shared<Connection>(*this, host);
  }
  connection->key = key;
  connection->request = wireText(call, known->second.endpoint, limit);
  connection->sentAt = now;
  connection->deadline = now + std::max(limit, Duration::zero());
  busy_.emplace(key, connection);
  if (fresh) connection->connect(known->second.endpoint);
  else connection->write();
}

void HttpUpstream::cancel(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end()) return;
  const auto connection = it->second;
  connection->end(Outcome::cancelled);
}

void HttpUpstream::closeIdle(HostId host) {
  if (const auto known = hosts_.find(host); known != hosts_.end())
    for (auto& connection : std::exchange(known->second.idle, {})) connection->close();
}

std::shared_ptr<HttpUpstream::Connection> HttpUpstream::takeIdle(Host& host) {
  auto& idle = host.idle;
  while (!idle.empty()) {
    const auto connection = std::move(idle.back());
    idle.pop_back();
    if (!outlived(*connection) && connection->usable()) return connection;
    connection->close();
  }
  return nullptr;
}

bool HttpUpstream::outlived(const Connection& connection) const {
  if (limits_.idleClose <= Duration::zero()) return false;
  const Duration margin = std::min(kIdleMargin, limits_.idleClose / 5);
  return Clock::now() - connection.idleSince >= limits_.idleClose - margin;
}

bool HttpUpstream::closeOldestIdle() {
  std::vector<std::shared_ptr<Connection>>* from = nullptr;
  for (auto& [id, host] : hosts_)
    if (!host.idle.empty() && (!from || host.idle.front()->idleSince < from->front()->idleSince))
      from = &host.idle;
  if (!from) return false;
  from->front()->close();
  from->erase(from->begin());
  return true;
}

void HttpUpstream::dropIdle(const std::shared_ptr<Connection>& connection) {
  if (const auto known = hosts_.find(connection->host); known != hosts_.end())
    std::erase(known->second.idle, connection);
  connection->close();
}

void HttpUpstream::sweep() {
  for (auto& [id, host] : hosts_)
    std::erase_if(host.idle, [&, serving = host.serving](const auto& connection) {
      if (serving && !outlived(*connection)) return false;
      connection->close();
      return true;
    });
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](error_code ec) {
    if (!ec) sweep();
  });
}

}  // namespace cairnjunction
