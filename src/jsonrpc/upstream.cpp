// Attempts over JSON-RPC.
#include "jsonrpc/upstream.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <queue>
#include <string>
#include <utility>

#include "jsonrpc/socket.hpp"
#include "upstream/connect_failure.hpp"

namespace cairnjunction::jsonrpc {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using policy::ConnectionUse;
using policy::Duration;
using policy::EndpointId;
using policy::FailureReason;
using policy::Outcome;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kChunk = 64 << 10;       // read at a time
constexpr std::size_t kKeepBuffer = 64 << 10;  // an empty buffer larger than this is given back
constexpr Duration kSweep = std::chrono::milliseconds(250);
// Danger: a call written to a connection that the host is just closing ends as a reset, which may have run.
// Given up earlier than the host would by this, or by a fifth of a short limit.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// Entries of limits that may be kept for calls that are over, beside as many as are open.
constexpr std::size_t kDueSlack = 64;
// Around the answer itself in a reply: member names and the id.
constexpr std::size_t kReplyFrame = 1024;

// What a worker is told as params of a call that came by another protocol.
bool paramsOf(const Message& message, Parser& parser, std::string& out) {
  const std::string& body = message.body;
  if (message.format == Format::json ||
      (!body.empty() && (body[0] == '{' || body[0] == '[') && parser.valid(body))) {
    out.append(body);
    return true;
  }
  if (!utf8(body) || !utf8(message.target)) return false;
  out.append("{\"path\":").append(quoted(message.target));
  if (!body.empty()) out.append(",\"body\":").append(quoted(body));
  out.append("}");
  return true;
}

std::string textOf(std::uint64_t id, const Call& call, Duration limit, Parser& parser) {
  const Message& m = call.message;
  // Danger: names and keys of HTTP clients may hold any bytes, and what is no UTF-8 is no JSON.
  if (!utf8(call.externalId) || !utf8(call.idempotencyKey)) return {};
  std::string text;
  text.reserve(160 + m.body.size() + call.externalId.size() + call.idempotencyKey.size());
  text.append("{\"jsonrpc\":\"2.0\",\"id\":").append(std::to_string(id)).append(",\"method\":");
  text.append(quoted(m.operation));
  const std::size_t before = text.size();
  text.append(",\"params\":");
  const std::size_t start = text.size();
  if (!paramsOf(m, parser, text)) return {};
  if (text.size() == start) text.resize(before);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  text.append(",\"call\":{\"name\":").append(quoted(call.externalId));
  if (!call.idempotencyKey.empty()) text.append(",\"key\":").append(quoted(call.idempotencyKey));
  text.append(",\"deadline_ms\":").append(std::to_string(std::max<std::int64_t>(ms, 1))).append("}}");
  return text;
}

// An error of a worker (docs/design/jsonrpc.md).
Outcome outcomeOf(const Answer& answer) {
  if (!answer.failed) return Outcome::served;
  const std::int64_t code = answer.code;
  if (code < kReservedFirst || code > kReservedLast) return Outcome::served;  // the application's own
  if (code >= kServerFirst && code <= kServerLast)
    return answer.notRun ? Outcome::overloaded : Outcome::error;
  if (code == kParseError || code == kInvalidRequest || code == kMethodNotFound || code == kInvalidParams)
    return Outcome::invalidRequest;
  return Outcome::error;
}

}  // namespace

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner, EndpointId h)
      : host(h),
        owner_(&owner),
        socket_(owner.io_),
        timer_(owner.io_),
        reader_(owner.limits_.answerBytes + kReplyFrame, owner.limits_.form) {
    ++owner_->open_;
    owner_->count(host, 1, 0);
  }

  const EndpointId host;

  std::size_t calls() const { return calls_.size(); }
  bool usable() const { return !closed_ && !leaving_; }
  // The host has not closed it, as far as can be seen now. Asked of one that is idle.
  bool alive() {
    char byte;
    error_code ec;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return wouldBlock(ec);
  }
  bool roomy() const {
    return usable() && calls_.size() < owner_->limits_.streams &&
           out_.size() - sent_ < owner_->limits_.unsentBytes;
  }
  Clock::time_point idleSince() const { return idleSince_; }
  bool outlived(Clock::time_point now) const {
    const Duration most = owner_->limits_.idleClose;
    if (most <= Duration::zero() || !calls_.empty()) return false;
    return now - idleSince_ >= most - std::min(kIdleMargin, most / 5);
  }

  void connect(const tcp::endpoint& endpoint) {
    error_code ec;
    socket_.open(endpoint.protocol(), ec);  // fails when no descriptor is left
    if (!ec) socket_.non_blocking(true, ec);
    if (ec) return failSoon();
    connectBy_ = Clock::now() + owner_->limits_.connectTimeout;
    arm();
    socket_.async_connect(endpoint, [self = shared_from_this()](error_code connectError) {
      if (self->closed_) return;
      if (connectError) return self->close(Outcome::connectFailed, connectFailureReason(connectError));
      self->connected_ = true;
      self->owner_->count(self->host, 0, 1);
      // Danger: the list drained or dropped the host meanwhile, and what is written now would be new to it.
      if (self->leaving_) return self->close(Outcome::connectFailed, FailureReason::cancelledBeforeSend);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->flush();
      self->read();
    });
  }

  void add(AttemptKey key, const Call& call, const AttemptTimeouts& limits) {
    const std::uint64_t id = ++lastId_;
    const std::string text = textOf(id, call, limits.response, owner_->parser_);
    if (text.empty()) {  // it can't be said in JSON, to no host
      asio::post(owner_->io_, owner_->lifetime_.guard([owner = owner_, key, h = host] {
        owner->ended_({key, h, Outcome::invalidRequest, {}, {}, FailureReason::unknown, ConnectionUse::none});
      }));
      return;
    }
    const auto now = Clock::now();
    const std::uint64_t begin = base_ + out_.size();
    appendFrame(owner_->limits_.form, text, out_);
    Pending& pending = calls_[id];
    pending.begin = begin;
    pending.key = key;
    pending.fresh = id == 1;
    pending.sentAt = now;
    pending.limit = pending.answerBy = now + std::max(limits.response, Duration::zero());
    if (limits.write < limits.response) pending.limit = now + limits.write;
    pending.end = base_ + out_.size();
    unwritten_.push_back(pending.end);
    ids_[key] = id;
    owner_->busy_.emplace(key, shared_from_this());
    dueAt(pending.limit, id);
    arm();
    owner_->flushSoon(shared_from_this());
  }

  // Not wanted any more. One that is not written yet is taken out; of one that is, the host is asked to say
  // so.
  void giveUp(AttemptKey key, Outcome outcome) {
    const auto known = ids_.find(key);
    if (known == ids_.end()) return;
    const std::uint64_t id = known->second;
    Pending& pending = calls_.at(id);
    if (pending.givenUp) return;
    // Nothing was written: closing proves that it never ran, and alone it disturbs nobody.
    if (!connected_)
      return calls_.size() == 1 ? close(Outcome::connectFailed, FailureReason::attemptTimeout)
                                : takeOut(id, pending, FailureReason::attemptTimeout);
    pending.givenUp = true;
    pending.outcome = outcome;
    if (calls_.size() == 1) return close(outcome);
    appendFrame(
        owner_->limits_.form,
        "{\"jsonrpc\":\"2.0\",\"method\":\"rpc.cancel\",\"params\":{\"id\":" + std::to_string(id) + "}}",
        out_);
    pending.limit = Clock::now() + owner_->limits_.cancelWait;
    dueAt(pending.limit, id);
    arm();
    owner_->flushSoon(shared_from_this());
  }

  // Taken back if its last byte is not written: out of what waits to be, or with the connection if it is
  // alone there. Danger: half a text can't be taken out of what others stand behind; then it goes on.
  void withdraw(AttemptKey key, FailureReason fault) {
    const auto known = ids_.find(key);
    if (known == ids_.end()) return;
    const std::uint64_t id = known->second;
    const Pending& pending = calls_.at(id);
    if (pending.givenUp || (connected_ && pending.end <= base_ + sent_)) return;
    if (calls_.size() == 1) return close(Outcome::connectFailed, fault);
    if (pending.begin >= base_ + sent_) takeOut(id, pending, fault);
  }

  // Takes no more calls; closed when the last is over. What is not written yet would be new to the host, and
  // is taken back; not from within, since whoever tells us of hosts is in the middle of it.
  void leave() {
    leaving_ = true;
    if (calls_.empty()) return close(Outcome::reset);
    asio::post(owner_->io_, [self = shared_from_this()] {
      std::vector<AttemptKey> all;
      for (const auto& [id, pending] : self->calls_) all.push_back(pending.key);
      for (const AttemptKey key : all) self->withdraw(key, FailureReason::cancelledBeforeSend);
      if (!self->closed_ && self->calls_.empty()) self->close(Outcome::reset);
    });
  }

  // Ends all calls on it: by `outcome` those that may have run.
  void close(Outcome outcome, FailureReason fault = FailureReason::unknown) {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    --owner_->open_;
    owner_->remove(*this);
    owner_->count(host, -1, connected_ ? -1 : 0);
    const std::uint64_t written = base_ + sent_;
    auto calls = std::exchange(calls_, {});
    ids_.clear();
    for (auto& [id, pending] : calls) {
      // Danger: only what was not written to its last byte provably never ran.
      Outcome mine = pending.givenUp ? pending.outcome : outcome;
      FailureReason why = fault;
      if (!connected_ || pending.end > written) {
        // What a call that was given up did not write is its own doing.
        if (connected_ && fault == FailureReason::unknown)
          why = pending.givenUp ? FailureReason::attemptTimeout : FailureReason::brokenWhileWriting;
        mine = Outcome::connectFailed;
      }
      finish(pending, mine, why, {});
    }
  }

  void flush() {
    if (closed_ || !connected_ || writing_) return;
    overdue();  // what may no more be written is taken out first, also where the timer is late
    if (closed_) return;
    error_code ec;
    while (sent_ < out_.size()) {
      const std::size_t n = socket_.write_some(asio::buffer(out_.data() + sent_, out_.size() - sent_), ec);
      if (ec) break;
      sent_ += n;
    }
    for (; !unwritten_.empty() && unwritten_.front() <= base_ + sent_; unwritten_.pop_front())
      owner_->dispatched();
    if (ec && !wouldBlock(ec)) return close(Outcome::reset);
    if (sent_ == out_.size() || sent_ > kChunk) {
      base_ += sent_;
      out_.erase(0, sent_);
      if (out_.empty() && out_.capacity() > kKeepBuffer) std::string().swap(out_);
      sent_ = 0;
    }
    if (out_.empty()) return;
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code waitError) {
      self->writing_ = false;
      if (self->closed_) return;
      if (waitError) return self->close(Outcome::reset);
      self->flush();
    });
  }

 private:
  struct Pending {
    AttemptKey key;
    Clock::time_point sentAt, answerBy;
    Clock::time_point limit;           // what is due next: until it is written perhaps that, then the answer
    std::uint64_t begin = 0, end = 0;  // of its bytes, in all that this connection ever sent
    bool givenUp = false, fresh = false;
    Outcome outcome = Outcome::timeout;  // if given up
  };
  struct Due {
    Clock::time_point at;
    std::uint64_t id;
    bool operator>(const Due& o) const { return at > o.at; }
  };

  void finish(const Pending& pending, Outcome outcome, FailureReason fault, Message answer) {
    owner_->busy_.erase(pending.key);
    const ConnectionUse carrier = !connected_     ? ConnectionUse::none
                                  : pending.fresh ? ConnectionUse::opened
                                                  : ConnectionUse::reused;
    owner_->ended_({pending.key, host, outcome, Clock::now() - pending.sentAt, std::move(answer), fault,
                    carrier, usable()});
  }

  void failSoon() {
    asio::post(owner_->io_, [self = shared_from_this()] {
      self->close(Outcome::connectFailed, FailureReason::noDescriptor);
    });
  }

  // Out of what is not written yet: all that follows moves.
  void takeOut(std::uint64_t id, const Pending& pending, FailureReason fault) {
    const Pending gone = pending;
    const std::uint64_t begin = gone.begin;
    const std::uint64_t size = gone.end - begin;
    out_.erase(begin - base_, size);
    std::erase(unwritten_, gone.end);
    for (std::uint64_t& end : unwritten_)
      if (end > gone.end) end -= size;
    for (auto& [other, each] : calls_)
      if (each.end > gone.end) each.begin -= size, each.end -= size;
    ids_.erase(gone.key);
    calls_.erase(id);
    finish(gone, Outcome::connectFailed, fault, {});
  }

  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (self->closed_) return;
      if (ec) return self->close(Outcome::reset);
      self->readable();
    });
  }

  void readable() {
    error_code ec;
    const std::size_t n = socket_.read_some(asio::buffer(owner_->scratch_.data(), kChunk), ec);
    if (wouldBlock(ec)) return read();
    if (ec) return close(Outcome::reset);
    in_.append(owner_->scratch_.data(), n);
    in_.reserve(in_.size() + kPadding);
    std::string_view rest = in_;
    while (!closed_) {
      std::string_view text;
      const FrameReader::State state = reader_.next(rest, text);
      rest.remove_prefix(reader_.taken());
      if (state == FrameReader::State::more) break;
      if (state != FrameReader::State::frame || !take(text))
        return close(Outcome::reset, FailureReason::malformedResponse);
    }
    if (closed_) return;
    in_.erase(0, in_.size() - rest.size());
    if (in_.empty() && in_.capacity() > kKeepBuffer) std::string().swap(in_);
    if (calls_.empty()) {
      if (leaving_) return close(Outcome::reset);
      idleSince_ = Clock::now();
    }
    arm();
    read();
  }

  // False if the host can't be understood, and so neither can what follows. Danger: a reply to a call that
  // nobody asked, or one more to a call that is over, belongs to some call and it can't be known to which.
  bool take(std::string_view text) {
    const Answer& answer = owner_->parser_.parseAnswer(text);
    if (!answer.readable || !answer.hasId) return false;
    const auto known = calls_.find(answer.id);
    if (known == calls_.end()) return false;
    const Pending pending = known->second;
    // Danger: answered before it was written whole, it is no answer to it.
    if (pending.end > base_ + sent_) return false;
    Outcome outcome = outcomeOf(answer);
    // A result that crossed the cancel is as good as any; an error is the host's word that it was given up.
    if (pending.givenUp && answer.failed && outcome != Outcome::overloaded) outcome = pending.outcome;
    Message message;
    if (outcome == Outcome::served) {
      message.format = Format::json;
      message.declined = answer.failed;
      message.body = std::string(answer.failed ? answer.error : answer.result);
    }
    calls_.erase(known);
    ids_.erase(pending.key);
    finish(pending, outcome, FailureReason::unknown, std::move(message));
    return true;
  }

  // Danger: calls end long before their limits, and what is due later would be kept for each of them.
  void dueAt(Clock::time_point at, std::uint64_t id) {
    due_.push({at, id});
    if (due_.size() <= kDueSlack + 2 * calls_.size()) return;
    std::vector<Due> live;
    live.reserve(2 * calls_.size());
    for (const auto& [other, pending] : calls_) live.push_back({pending.limit, other});
    due_ = decltype(due_)(std::greater<>(), std::move(live));
  }

  // One timer for all limits of the connection.
  void arm() {
    while (!due_.empty()) {
      const auto it = calls_.find(due_.top().id);
      if (it != calls_.end() && it->second.limit == due_.top().at) break;
      due_.pop();
    }
    auto at = due_.empty() ? Clock::time_point::max() : due_.top().at;
    if (!connected_) at = std::min(at, connectBy_);
    if (at == Clock::time_point::max() || (armed_ && armedAt_ <= at)) return;
    armed_ = true;
    armedAt_ = at;
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || self->closed_) return;
      self->armed_ = false;
      self->overdue();
    });
  }

  void overdue() {
    const auto now = Clock::now();
    if (!connected_ && now >= connectBy_) return close(Outcome::connectFailed, FailureReason::connectTimeout);
    while (!closed_ && !due_.empty() && due_.top().at <= now) {
      const Due due = due_.top();
      due_.pop();
      const auto it = calls_.find(due.id);
      if (it == calls_.end() || it->second.limit != due.at) continue;
      // Danger: it is silent even to the cancel. Left open, the attempt might run beside the next one.
      if (it->second.givenUp) return close(Outcome::reset);
      const AttemptKey key = it->second.key;
      if (it->second.limit < it->second.answerBy) {  // its time to be written
        notWrittenBy(due.id, it->second);
        continue;
      }
      giveUp(key, Outcome::timeout);
    }
    if (!closed_) arm();
  }

  // Danger: half a call that others stand behind would become whole later. So it goes with them.
  void notWrittenBy(std::uint64_t id, Pending& pending) {
    pending.limit = pending.answerBy;
    dueAt(pending.limit, id);
    if (connected_ && pending.end <= base_ + sent_) return;
    const AttemptKey key = pending.key;
    withdraw(key, FailureReason::attemptTimeout);
    if (ids_.contains(key)) close(Outcome::reset);
  }

  Upstream* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  FrameReader reader_;
  std::string in_, out_;
  std::size_t sent_ = 0;                 // of out_
  std::uint64_t base_ = 0;               // bytes sent before out_
  std::deque<std::uint64_t> unwritten_;  // ends of calls in out_, whose bytes are bounded (unsentBytes)
  std::unordered_map<std::uint64_t, Pending> calls_;
  std::unordered_map<AttemptKey, std::uint64_t, AttemptKeyHash> ids_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t lastId_ = 0;
  Clock::time_point connectBy_, armedAt_, idleSince_ = Clock::now();
  bool connected_ = false, writing_ = false, armed_ = false, leaving_ = false, closed_ = false;
};

Upstream::Upstream(asio::io_context& io, const Limits& limits, Ended ended)
    : io_(io),
      limits_(limits),
      ended_(std::move(ended)),
      parser_(limits.answerBytes + kReplyFrame),
      scratch_(kChunk),
      sweeper_(io) {
  sweep();
}

Upstream::~Upstream() { stop(); }

void Upstream::stop() {
  if (std::exchange(stopped_, true)) return;
  sweeper_.cancel();
  ended_ = [](AttemptOutcome) {};
  onConnections(nullptr);
  for (auto& [id, host] : hosts_)
    for (const auto& connection : std::vector<ConnectionPtr>(host.connections))
      connection->close(Outcome::reset);
}

bool Upstream::updateEndpoint(EndpointId id, const tcp::endpoint& endpoint, bool serving) {
  Host& host = hosts_[id];
  countFrom(id);
  const bool first = host.endpoint.port() == 0;
  const bool moved = endpoint.port() != 0 && endpoint != host.endpoint;
  if (moved || !serving)
    for (const auto& connection : std::vector<ConnectionPtr>(host.connections)) connection->leave();
  if (moved) host.endpoint = endpoint;
  host.serving = serving;
  return moved && !first;
}

void Upstream::removeAllEndpoints() {
  for (auto& [id, host] : hosts_) host.serving = false;
}

void Upstream::forget(EndpointId id) {
  closeIdle(id);
  hosts_.erase(id);
  countNoMore(id);
}

void Upstream::start(AttemptKey key, EndpointId id, const Call& call, const AttemptTimeouts& limits) {
  const auto known = hosts_.find(id);
  if (known == hosts_.end()) return ended_(unreached(key, id, FailureReason::cancelledBeforeSend));
  Host& host = known->second;
  ConnectionPtr connection = choose(host);
  if (!connection) {
    if (open_ >= limits_.connections && !closeIdleOne())
      return ended_(unreached(key, id, FailureReason::noDescriptor));
    connection = std::make_shared<Connection>(*this, id);
    host.connections.push_back(connection);
    connection->connect(host.endpoint);
  }
  connection->add(key, call, limits);
}

// The fullest that has room: so few connections are kept, and the others become idle and are closed.
Upstream::ConnectionPtr Upstream::choose(Host& host) {
  Connection* best = nullptr;
  for (const auto& connection : host.connections)
    if (connection->calls() > 0 && connection->roomy() && (!best || connection->calls() > best->calls()))
      best = connection.get();
  if (best) return best->shared_from_this();
  // Of the idle ones the latest, which the host is the least likely to close just now.
  const auto now = Clock::now();
  for (std::size_t i = host.connections.size(); i-- > 0;) {
    const ConnectionPtr connection = host.connections[i];
    if (connection->calls() > 0 || !connection->usable()) continue;
    if (!connection->outlived(now) && connection->alive()) return connection;
    connection->leave();
  }
  return nullptr;
}

void Upstream::cancel(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end()) return;
  const ConnectionPtr connection = it->second;
  connection->giveUp(key, Outcome::cancelled);
}

void Upstream::cancelIfUnsent(AttemptKey key) {
  const auto it = busy_.find(key);
  if (it == busy_.end()) return;
  const ConnectionPtr connection = it->second;
  connection->withdraw(key, FailureReason::cancelledBeforeSend);
}

void Upstream::closeIdle(EndpointId id) {
  const auto known = hosts_.find(id);
  if (known == hosts_.end()) return;
  for (const auto& connection : std::vector<ConnectionPtr>(known->second.connections))
    if (connection->calls() == 0) connection->leave();
}

bool Upstream::closeIdleOne() {
  ConnectionPtr oldest;
  for (const auto& [id, host] : hosts_)
    for (const auto& connection : host.connections)
      if (connection->calls() == 0 && (!oldest || connection->idleSince() < oldest->idleSince()))
        oldest = connection;
  if (!oldest) return false;
  oldest->leave();
  return true;
}

void Upstream::remove(Connection& connection) {
  if (const auto known = hosts_.find(connection.host); known != hosts_.end())
    std::erase_if(known->second.connections, [&](const auto& each) { return each.get() == &connection; });
}

void Upstream::flushSoon(ConnectionPtr connection) {
  unflushed_.push_back(std::move(connection));
  if (std::exchange(flushing_, true)) return;
  asio::post(io_, lifetime_.guard([this] {
    flushing_ = false;
    for (const auto& each : std::exchange(unflushed_, {})) each->flush();
  }));
}

void Upstream::sweep() {
  const auto now = Clock::now();
  for (auto& [id, host] : hosts_)
    for (const auto& connection : std::vector<ConnectionPtr>(host.connections))
      if (connection->outlived(now) || (!host.serving && connection->calls() == 0)) connection->leave();
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) sweep();
  }));
}

}  // namespace cairnjunction::jsonrpc
