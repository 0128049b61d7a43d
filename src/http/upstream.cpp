#include "http/upstream.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "http/framing.hpp"
#include "upstream/connect_failure.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using policy::ConnectionUse;
using policy::Duration;
using policy::EndpointId;
using policy::FailureReason;
using policy::Outcome;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 4096;           // read at a time; most answers are smaller
constexpr std::size_t kLargeChunk = 16 << 10;  // and of an answer that is passed on
// Held of an answer that is passed on: a few reads, since there may be as many as connections of clients.
constexpr std::size_t kPassing = 32 << 10;
// Danger: a host that falls silent within an answer, or a client that takes nothing, would hold the
// connection.
constexpr Duration kStalled = std::chrono::seconds(10);
constexpr int kInterimMost = 8;  // answers ahead of the final one (1xx): more than anyone has use for
constexpr Duration kSweep = std::chrono::milliseconds(250);
// Danger: a request written to a connection that the host is just closing ends as a reset, which may have
// run. Given up earlier than the host would by this, or by a fifth of a short limit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

}  // namespace

struct HttpUpstream::Connection : std::enable_shared_from_this<Connection> {
  enum class Phase {
    connecting,
    quiet,  // an attempt has it, and it rests for as long as something may yet come behind the last answer
    writing,
    reading,
    idle,
    closed
  };

  HttpUpstream* pool;
  EndpointId host;
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer{kHeaderLimit + kHeldAnswer};
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::optional<Message> answer;  // once its head is here: the fields behind its last chunk are none of its
  std::shared_ptr<BodyStream> stream;  // it is being passed on
  bool streams = false, paused = false;
  const Call* call = nullptr;  // lives as long as the attempt; of use until it is written
  std::string request;         // as it is written, and behind it
  std::string_view body;       // of the call;
  std::size_t written = 0;     // of both
  tcp::endpoint endpoint;
  bool detached = false;  // passes on an answer: no connection of its host's, as far as they are counted
  AttemptKey key;
  Phase phase = Phase::connecting;
  Clock::time_point sentAt, idleSince, deadline, writeBy;
  std::uint64_t turn = 0;  // of the timer: one that is already due when it is moved is told by it
  HeadScanner scanner{HeadScanner::Kind::answer};
  bool watching = false, headSeen = false, up = false, used = false;
  int interim = 0;
  std::uint64_t bodyBytes = 0;

  Connection(HttpUpstream& p, EndpointId h) : pool(&p), host(h), socket(p.io_), timer(p.io_) {
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
    if (const auto broken = std::exchange(stream, nullptr)) broken->fail();
    --pool->open_;
    if (pool->share_) pool->share_->release();
    if (!detached) pool->count(host, -1, up ? -1 : 0);
  }

  void limit(Clock::time_point at, Outcome outcome, FailureReason fault = FailureReason::unknown) {
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this(), mine = ++turn, outcome, fault](error_code ec) {
      if (!ec && mine == self->turn && self->phase != Phase::closed) self->end(outcome, fault);
    });
  }

  void connect() {
    // Until the connection is up nothing has been written, so the end of the attempt's own time proves here
    // that it never ran, as the end of the time for connecting does.
    const auto connectBy = sentAt + pool->limits_.connectTimeout;
    const auto ownTime = std::min(deadline, writeBy);
    if (ownTime < connectBy) limit(ownTime, Outcome::connectFailed, FailureReason::attemptTimeout);
    else limit(connectBy, Outcome::connectFailed, FailureReason::connectTimeout);
    error_code ec;
    socket.open(endpoint.protocol(), ec);  // fails when no descriptor is left
    if (!ec) socket.non_blocking(true, ec);
    if (ec) return end(Outcome::connectFailed, FailureReason::noDescriptor);
    socket.async_connect(endpoint, [self = shared_from_this()](error_code connectError) {
      if (self->phase != Phase::connecting) return;
      if (connectError) return self->end(Outcome::connectFailed, connectFailureReason(connectError));
      self->up = true;
      self->pool->count(self->host, 0, 1);
      if (!self->wanted()) return self->end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  // Danger: the list may have drained, dropped or moved the host since the attempt began, and what is written
  // then would be new to it. Nothing was, so it never ran.
  bool wanted() const {
    const auto known = pool->hosts_.find(host);
    return known != pool->hosts_.end() && known->second.serving && known->second.endpoint == endpoint;
  }

  // On one that was used before.
  void writeWhenQuiet() {
    const auto at = idleSince + pool->limits_.quiet;
    if (Clock::now() >= at) return write();
    phase = Phase::quiet;
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this(), mine = ++turn](error_code ec) {
      if (ec || mine != self->turn || self->phase != Phase::quiet) return;
      if (!self->wanted()) self->end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
      else if (!self->usable()) self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
      else self->write();
    });
  }

  // Until the last byte is written it never ran, so both its times end it as that. Danger: its text tells the
  // host the time that is left, and a dial or a rest may have taken much of it.
  void write() {
    phase = Phase::writing;
    request = wireText(*call, endpoint, deadline - Clock::now(), body);
    written = 0;
    limit(std::min(deadline, writeBy), Outcome::connectFailed, FailureReason::attemptTimeout);
    writeOn();
  }

  // By non-blocking writes of our own: an operation of the library may be done with its completion still in
  // the event loop's queue, and then it could not be told whether the last byte was written.
  void writeOn() {
    // Danger: the timer may be late.
    if (Clock::now() >= std::min(deadline, writeBy))
      return end(Outcome::connectFailed, FailureReason::attemptTimeout);
    const std::size_t whole = request.size() + body.size();
    while (written < whole) {
      const std::string_view head = std::string_view(request).substr(std::min(written, request.size()));
      const std::string_view rest = body.substr(written - std::min(written, request.size()));
      const std::array<asio::const_buffer, 2> text{asio::buffer(head), asio::buffer(rest)};
      error_code ec;
      written += socket.write_some(text, ec);
      if (ec == asio::error::would_block || ec == asio::error::try_again) return writeSoon();
      if (ec) return end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    }
    pool->dispatched();
    body = {};
    call = nullptr;
    limit(deadline, Outcome::timeout);
    read();
  }

  void writeSoon() {
    socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code ec) {
      if (self->phase != Phase::writing) return;
      if (ec) return self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
      self->writeOn();
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
    headSeen = paused = false;
    bodyBytes = 0;
    answer.reset();
    parser.emplace();
    parser->body_limit(kBodyMost);
    parser->header_limit(kHeaderLimit);
  }

  // Danger: an attempt may end, by its time or by a cancel, with a completed read still in the event loop's
  // queue. So no operation of a library may hold the parser: only the socket is read here, and the phase
  // tells whether what has come is still wanted.
  void receive() {
    if (paused) return;
    const std::size_t most = stream ? kLargeChunk : kChunk;
    socket.async_read_some(buffer.prepare(most), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (self->phase != Phase::reading) return;
      if (ec) return self->over(ec);
      self->buffer.commit(n);
      self->received();
    });
  }

  void received() {
    for (;;) {
      if (!headSeen) {
        const auto data = buffer.data();
        const auto state = scanner.scan({static_cast<const char*>(data.data()), data.size()});
        if (state == HeadScanner::State::bad) return end(Outcome::error, FailureReason::malformedResponse);
        if (state == HeadScanner::State::more && buffer.size() > kHeaderLimit)
          return end(Outcome::error, FailureReason::malformedResponse);
        if (state == HeadScanner::State::more) return receive();
        headSeen = true;
      }
      if (!takeBody()) return end(Outcome::error, FailureReason::malformedResponse);
      // One that says no by its head alone is not waited for to the end of the connection.
      if (answer && !parser->is_done() && !framed() && judge() != Outcome::served) return end(judge());
      if (!parser->is_done()) {
        // The parser bounds head and body, not the head of a chunk; the buffer would throw when it is full.
        if (buffer.size() + kLargeChunk > buffer.max_size())
          return end(Outcome::error, FailureReason::malformedResponse);
        if (!passOn()) return;
        return receive();
      }
      const unsigned status = parser->get().result_int();
      if (status / 100 != 1) return end(judge(), FailureReason::unknown, reusable());
      // What comes ahead of an answer is none. Nobody asked to change the protocol, so a 101 is nonsense.
      if (status == 101 || ++interim > kInterimMost)
        return end(Outcome::error, FailureReason::malformedResponse);
      renew();
    }
  }

  // Moves what has come of the body out of the buffer. False if it can't be read, or is longer than any may
  // be.
  bool takeBody() {
    std::array<char, kLargeChunk> piece;
    while (!parser->is_done()) {
      auto& into = parser->get().body();
      into.data = piece.data();
      into.size = piece.size();
      into.more = true;
      error_code ec;
      const std::size_t taken = buffer.size() > 0 ? parser->put(buffer.data(), ec) : 0;
      buffer.consume(taken);
      if (parser->is_header_done() && !answer) {
        // Danger: Beast 1.74 passes over the limit where head and body come in one piece.
        if (parser->content_length() && *parser->content_length() > kBodyMost) return false;
        answer = answerOf(parser->get().base());
      }
      const std::size_t got = piece.size() - into.size;
      if (stream) stream->put({piece.data(), got});
      else if (answer) answer->body.append(piece.data(), got);
      bodyBytes += got;
      if (bodyBytes > kBodyMost) return false;
      if (ec && ec != http::error::need_buffer && ec != http::error::need_more) return false;
      if (ec == http::error::need_more || (taken == 0 && got == 0)) break;
    }
    return true;
  }

  // Of an answer that is not whole yet. False if there is nothing to read for now, or no more.
  bool passOn() {
    if (!answer && !stream) return true;
    if (!stream) {
      if (answer->body.size() <= kHeldAnswer) return true;
      if (judge() != Outcome::served || !streams)
        return end(Outcome::error, FailureReason::malformedResponse), false;
      stream = std::make_shared<BodyStream>(kPassing);
      stream->onLeft = [self = weak_from_this()] {
        if (const auto here = self.lock()) here->clientLeft();
      };
      stream->onRoom = [self = weak_from_this()] {
        if (const auto here = self.lock()) here->resume();
      };
      AttemptOutcome begun{key, host, Outcome::served, Clock::now() - sentAt, std::move(*answer)};
      answer.emplace();
      begun.connectionUse = used ? ConnectionUse::reused : ConnectionUse::opened;
      begun.response.rest = stream;
      if (parser->content_length()) begun.response.length = *parser->content_length();
      limit(Clock::now() + kStalled, Outcome::reset);
      // Danger: the module takes the attempt for over, and may forget the host and give its id to another.
      detached = true;
      pool->count(host, -1, -1);
      pool->started_(std::move(begun));
      if (phase != Phase::reading || !stream) return false;
    } else {
      limit(Clock::now() + kStalled, Outcome::reset);
    }
    paused = stream->room() == 0;
    return !paused;
  }

  void resume() {
    if (!paused || phase != Phase::reading) return;
    paused = false;
    limit(Clock::now() + kStalled, Outcome::reset);
    receive();
  }

  void clientLeft() {
    if (phase == Phase::reading) end(Outcome::cancelled);
  }

  // The connection has ended. An answer with no length and no chunks ends with it (RFC 9112, 6.3), where the
  // end was no reset.
  void over(error_code ec) {
    const bool untilEnd = ec == asio::error::eof && headSeen && answer && !framed();
    end(untilEnd ? Outcome::served : Outcome::reset);
  }

  bool framed() const { return parser->get().chunked() || parser->get().has_content_length(); }

  Outcome judge() const {
    const auto& head = parser->get();
    const http::status status = head.result();
    if (status == http::status::ok) return Outcome::served;
    const bool busy = status == http::status::service_unavailable || status == http::status::gateway_timeout;
    if (busy && head["X-Not-Run"] == "1") return Outcome::overloaded;
    // Told by the protocol to mean the request, not the host: sent to others it would be turned away again.
    if (status == http::status::bad_request || status == http::status::not_found)
      return Outcome::invalidRequest;
    return Outcome::error;  // it may have run, whatever the answer says
  }

  // Danger: what comes behind a whole answer would be taken for the next one.
  bool reusable() const { return framed() && parser->get().keep_alive() && buffer.size() == 0; }

  // Ends the attempt. The connection is kept only after a whole answer: what comes late on one that was
  // given up would be taken for the answer to the next request.
  void end(Outcome outcome, FailureReason fault = FailureReason::unknown, bool keep = false) {
    const auto self = shared_from_this();
    AttemptOutcome done{key, host, outcome, Clock::now() - sentAt, {}, fault};
    done.connectionUse = used ? ConnectionUse::reused : up ? ConnectionUse::opened : ConnectionUse::none;
    used = true;
    const auto passed = std::exchange(stream, nullptr);
    if (outcome == Outcome::served && answer) done.response = std::move(*answer);
    answer.reset();
    parser.reset();
    pool->busy_.erase(key);
    const auto known = pool->hosts_.find(host);
    done.connectionKept = keep && known != pool->hosts_.end() && known->second.serving &&
                          (!detached || known->second.endpoint == endpoint);
    if (done.connectionKept) {
      if (std::exchange(detached, false)) pool->count(host, 1, 1);
      rest(known->second);
    } else {
      close();
    }
    // The client's side last: it may go on to its next request.
    pool->ended_(std::move(done));
    if (passed) outcome == Outcome::served ? passed->finish() : passed->fail();
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
      else if (self->phase == Phase::quiet)
        self->end(Outcome::connectFailed, FailureReason::brokenWhileWriting);
    });
  }

  // Seen at once, also when the event loop has not come to it yet.
  bool usable() {
    char byte;
    error_code ec;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block || ec == asio::error::try_again;
  }
};

HttpUpstream::HttpUpstream(asio::io_context& io, Limits limits, Ended ended, ResponseStarted started)
    : io_(io), limits_(limits), ended_(std::move(ended)), started_(std::move(started)), sweeper_(io) {
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

bool HttpUpstream::updateEndpoint(EndpointId host, const tcp::endpoint& endpoint, bool serving) {
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

void HttpUpstream::removeAllEndpoints() {
  for (auto& [id, host] : hosts_) host.serving = false;
}

void HttpUpstream::forget(EndpointId host) {
  closeIdle(host);
  hosts_.erase(host);
  countNoMore(host);
}

void HttpUpstream::start(AttemptKey key, EndpointId host, const Call& call, const AttemptTimeouts& limits) {
  const auto now = Clock::now();
  const auto known = hosts_.find(host);
  if (known == hosts_.end()) return ended_(unreached(key, host, FailureReason::cancelledBeforeSend));
  std::shared_ptr<Connection> connection = takeIdle(known->second);
  const bool fresh = !connection;
  if (fresh) {
    if (open_ >= limits_.connections && !closeOldestIdle())
      return ended_(unreached(key, host, FailureReason::noDescriptor));
    // Given back by its end. An idle one of ours may make room for it.
    if (share_ && !share_->acquire() && !(closeOldestIdle() && share_->acquire()))
      return ended_(unreached(key, host, FailureReason::noDescriptor));
    connection = std::make_shared<Connection>(*this, host);
  }
  connection->key = key;
  connection->streams = call.acceptsStreaming && started_;
  connection->call = &call;
  connection->endpoint = known->second.endpoint;
  connection->sentAt = now;
  connection->deadline = now + std::max(limits.response, Duration::zero());
  connection->writeBy = limits.write == Duration::max() ? Clock::time_point::max() : now + limits.write;
  busy_.emplace(key, connection);
  if (fresh) connection->connect();
  else connection->writeWhenQuiet();
}

void HttpUpstream::cancel(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end()) return;
  const auto connection = it->second;
  connection->end(Outcome::cancelled);
}

void HttpUpstream::cancelIfUnsent(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end()) return;
  const auto connection = it->second;
  const Connection::Phase phase = connection->phase;
  if (phase == Connection::Phase::connecting || phase == Connection::Phase::quiet ||
      phase == Connection::Phase::writing)
    connection->end(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
}

void HttpUpstream::closeIdle(EndpointId host) {
  if (const auto known = hosts_.find(host); known != hosts_.end())
    for (auto& connection : std::exchange(known->second.idle, {})) connection->close();
}

std::shared_ptr<HttpUpstream::Connection> HttpUpstream::takeIdle(Host& host) {
  auto& idle = host.idle;
  const auto quietSince = Clock::now() - limits_.quiet;
  while (!idle.empty()) {
    // The latest that has rested, so that few are kept in use; where none has, the one that will be first.
    const auto rested =
        std::find_if(idle.rbegin(), idle.rend(), [&](const auto& c) { return c->idleSince <= quietSince; });
    const auto chosen = rested == idle.rend() ? idle.begin() : std::prev(rested.base());
    const auto connection = std::move(*chosen);
    idle.erase(chosen);
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
  sweeper_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction
