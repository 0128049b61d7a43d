// JSON-RPC frontend: makes calls of client requests, keeps ids, batches and sessions.
#include "jsonrpc/frontend.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/reply_margin.hpp"

namespace cairnjunction::jsonrpc {
namespace {

using policy::Duration;
using policy::Idempotency;
using Clock = std::chrono::steady_clock;

constexpr auto kExpire = std::chrono::seconds(1);
// Longest idempotency key. It is sent to HTTP workers as a header field, so it is short and has visible
// characters only.
constexpr std::size_t kKeyMost = 256;
// Any client that knows a session's name can read its results, so names must be long enough not to be
// guessed.
constexpr std::size_t kNameLeast = 16, kNameMost = 128;
// Bytes that an open call takes beside its params: here, in the engine, the load balancer and the upstream.
constexpr std::size_t kCallCost = 1024;

bool visible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::uint64_t fingerprintOf(const Entry& entry) {
  std::string all(entry.method);
  all.append(1, '\0').append(entry.params);
  return std::hash<std::string>{}(all);
}

}  // namespace

Frontend::Frontend(boost::asio::io_context& io, const Settings& settings, Engine& engine, std::string gateway,
                   std::shared_ptr<MemoryAccount> memory)
    : settings_(settings),
      engine_(engine),
      gateway_(std::move(gateway)),
      parser_(settings.limits.frameBytes),
      checker_(settings.limits.frameBytes),
      table_(settings.sessions),
      expirer_(io),
      server_(
          io, *settings.listen, settings.limits,
          std::chrono::duration_cast<std::chrono::milliseconds>(settings.sessions.ttl / 2),
          {[this](ConnectionId id, std::string_view text, Clock::time_point began) {
             received(id, text, began);
           },
           [this](ConnectionId id, std::string_view text) { rejectAll(id, text); },
           [this](ConnectionId id, const char* why) { bad(id, why); }, [this](ConnectionId id) { gone(id); }},
          std::move(memory)) {
  for (const MethodSettings& method : settings_.methods) methods_.emplace(method.name, &method);
  expire();
}

policy::Timestamp Frontend::now() const { return policy::Timestamp(Clock::now() - start_); }

void Frontend::expire() {
  expirer_.expires_after(kExpire);
  expirer_.async_wait(lifetime_.guard([this](boost::system::error_code ec) {
    if (ec) return;
    table_.expire(now());
    expire();
  }));
}

void Frontend::stopAccepting(std::function<void()> onEmpty) {
  server_.onEmpty = std::move(onEmpty);
  server_.stopAccepting();
}

// --- Texts ----------------------------------------------------------------------------------------------

void Frontend::received(ConnectionId id, std::string_view text, Clock::time_point began) {
  const Request& request = parser_.parseRequest(text, settings_.limits.batch);
  if (request.error != 0) {
    std::string reply;
    appendReply(2, "null", {true, errorText(request.error, request.message)}, reply);
    server_.write(id, reply);
    // The connection is closed after badMost such texts: each costs as much as a valid one.
    if (++peers_[id].bad >= settings_.limits.badMost) server_.closeAfterReplies(id);
    return;
  }
  // A batch's responses are sent together, so all its calls have the earliest deadline among them.
  Duration left = Duration::max();
  for (std::size_t i = 0; i < request.entries.size(); ++i)
    if (request.entries[i].kind == Entry::Kind::call) left = std::min(left, timeFor(i, request.entries[i]));
  const Duration spent = (Clock::now() - began) + kReplyMargin;
  const auto group = std::make_shared<Group>();
  group->connection = id;
  group->batch = request.batch;
  group->replies.resize(request.entries.size());
  for (std::size_t i = 0; i < request.entries.size(); ++i) {
    const Entry& entry = request.entries[i];
    take(id, group, i, entry, (entry.kind == Entry::Kind::call ? left : timeFor(i, entry)) - spent);
  }
  complete(group);
}

// What was read behind the last text that this connection may have in error. Its calls are answered like any
// other that was not run; what is in error again has no answer more.
void Frontend::rejectAll(ConnectionId id, std::string_view text) {
  const Request& request = parser_.parseRequest(text, settings_.limits.batch);
  if (request.error != 0) return;
  const auto group = std::make_shared<Group>();
  group->connection = id;
  group->batch = request.batch;
  group->replies.resize(request.entries.size());
  for (std::size_t i = 0; i < request.entries.size(); ++i)
    if (request.entries[i].kind == Entry::Kind::call) reject(id, group, i, request.entries[i]);
  complete(group);
}

// A call that its session knows did run, or runs, so it has what any other repeat of it has.
void Frontend::reject(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry) {
  const auto known = peers_.find(id);
  if (known != peers_.end() && known->second.session != 0 && !entry.key.empty()) {
    const Peer& peer = known->second;
    if (!firstOfItsId(peer, *group, entry)) return failAsIdInUse(group, place, entry);
    const auto found = table_.find(peer.session, entry.key, fingerprintOf(entry));
    if (found && answerFromSession(id, group, place, entry, *found)) return;
  }
  fail(group, place, entry, kRefused, "Refused: the connection ends", "{\"retry\":\"harmless\"}");
}

// How long the client waits for this entry; Duration::max() for an entry that runs nothing.
Duration Frontend::timeFor(std::size_t i, const Entry& entry) const {
  if (entry.kind == Entry::Kind::invalid) return Duration::max();
  const auto known = methods_.find(entry.method);
  if (known == methods_.end()) return Duration::max();
  const MethodSettings& method = *known->second;
  if (method.deadlineAt.empty()) return method.deadline;
  const auto said = parser_.param(i, method.deadlineAt);
  std::uint32_t ms = 0;
  if (!said || std::from_chars(said->data(), said->data() + said->size(), ms).ec != std::errc{})
    return method.deadline;
  return std::min<Duration>(method.deadline, std::chrono::milliseconds(ms));
}

void Frontend::take(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
                    Duration left) {
  if (entry.kind == Entry::Kind::invalid)
    return fail(group, place, entry, kInvalidRequest, std::string("Invalid Request: ") + entry.error);
  if (entry.method == kSessionMethod) return openSession(id, group, place, entry);
  Peer& peer = peers_[id];
  if (!firstOfItsId(peer, *group, entry)) return failAsIdInUse(group, place, entry);
  const auto known = methods_.find(entry.method);
  if (known == methods_.end()) return fail(group, place, entry, kMethodNotFound, "Method not found");
  if (entry.params.size() > settings_.limits.paramsBytes)
    return fail(group, place, entry, kInvalidParams, "Invalid params: too large");
  if (entry.kind == Entry::Kind::call && !entry.key.empty() && peer.session != 0) {
    const SessionTable::KnownCall found =
        table_.begin(now(), peer.session, entry.key, fingerprintOf(entry), lastTicket_ + 1);
    if (answerFromSession(id, group, place, entry, found)) return;
  }
  start(id, group, place, entry, *known->second, left);
}

// Answers a call from what its session knows of it. Returns false for a first run, which is not answered.
bool Frontend::answerFromSession(ConnectionId id, const GroupPtr& group, std::size_t place,
                                 const Entry& entry, const SessionTable::KnownCall& found) {
  switch (found.status) {
    case SessionTable::CallStatus::first: return false;
    case SessionTable::CallStatus::running: join(id, group, place, entry, found.ticket); break;
    case SessionTable::CallStatus::answered:
      ++group->pending;
      deliver(group, place, entry.version, entry.id, *found.answer);
      break;
    case SessionTable::CallStatus::different:
      fail(group, place, entry, kInvalidRequest,
           "Invalid Request: the session had another call with this id");
      break;
    case SessionTable::CallStatus::full:
      fail(group, place, entry, kRefused, "Refused: no room to hold the answer", "{\"retry\":\"harmless\"}");
      break;
  }
  return true;
}

// The response has a null id: the one with this id is the other call's.
void Frontend::failAsIdInUse(const GroupPtr& group, std::size_t place, const Entry& entry) {
  Entry nameless = entry;
  nameless.id = "null";
  fail(group, place, nameless, kInvalidRequest, "Invalid Request: the id of another open call",
       "{\"id\":" + std::string(entry.id) + "}");
}

// A client can't tell two responses with the same id apart. So only the first call with an id that is in use
// gets a response with it; a second one gets an error with a null id. Null ids may repeat.
bool Frontend::firstOfItsId(const Peer& peer, Group& group, const Entry& entry) const {
  if (entry.kind != Entry::Kind::call || entry.key.empty()) return true;
  if (peer.keys.count(entry.key)) return false;
  return !group.batch || group.keys.insert(entry.key).second;
}

void Frontend::start(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
                     const MethodSettings& method, Duration left) {
  Peer& peer = peers_[id];
  const std::uint64_t ticket = ++lastTicket_;
  const bool call = entry.kind == Entry::Kind::call;
  const bool held = call && !entry.key.empty() && peer.session != 0;
  const auto turnAway = [&](int code, std::string_view message, std::string_view data = {}) {
    if (held) table_.recordNotRun(peer.session, entry.key);
    fail(group, place, entry, code, message, data);
  };
  const std::size_t cost = kCallCost + entry.params.size();
  if (slots_.size() >= settings_.limits.open || bytes() + cost > settings_.limits.bytes)
    return turnAway(kRefused, "Refused: too many calls are open", "{\"retry\":\"harmless\"}");
  Call out;
  if (!method.keyAt.empty()) {
    const auto key = parser_.param(place, method.keyAt);
    const bool good = key && !key->empty() && key->size() <= kKeyMost && visible(*key);
    // A keyed call without a key can't be deduplicated by workers: a retry would run it twice.
    if (!good && (key || method.effect == Idempotency::keyed))
      return turnAway(kInvalidParams,
                      "Invalid params: no key, or not 1 to 256 visible characters, at " + method.keyAt);
    if (good) out.idempotencyKey = *key;
  }
  if (!method.objectAt.empty())
    if (const auto object = parser_.param(place, method.objectAt)) {
      out.attributes.hasKey = true;
      out.attributes.key = std::hash<std::string>{}(*object);
    }
  out.externalId = gateway_ + std::to_string(ticket);
  out.attributes.classIndex = method.classIndex;
  out.attributes.timeRemaining = left;
  out.message.operation = method.name;
  out.message.target = method.target;
  out.message.body = std::string(entry.params);
  out.message.format = Format::json;
  out.message.safe = method.effect == Idempotency::safe;
  Slot& slot = slots_[ticket];
  slot.connection = id;
  slot.version = entry.version;
  slot.safe = out.message.safe;
  slot.bytes = cost;
  server_.charge(cost);
  ++peer.open;
  if (call) {
    slot.group = group;
    slot.place = place;
    slot.id = entry.id;
    slot.key = entry.key;
    slot.session = held ? peer.session : 0;
    ++group->pending;
    if (!slot.key.empty()) peer.keys.insert(slot.key);
    peer.slots.insert(ticket);
  }
  server_.holds(id, peer.open);
  // A call of the other frontend may have the same id already; then this one is rejected.
  if (engine_.accept(std::move(out), *this, ticket, &slot.call) != Engine::AcceptResult::accepted)
    onReply(ticket, {ReplyStatus::rejected, {}, {}});
}

// The call with this id still runs since before its connection broke: its response goes to this connection.
void Frontend::join(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry,
                    std::uint64_t ticket) {
  const auto it = slots_.find(ticket);
  if (it == slots_.end()) return fail(group, place, entry, kInternalError, "Internal error");
  Slot& slot = it->second;
  Peer& peer = peers_[id];
  slot.group = group;
  slot.connection = id;
  slot.place = place;
  slot.id = entry.id;
  slot.version = entry.version;
  ++group->pending;
  peer.keys.insert(slot.key);
  peer.slots.insert(ticket);
  server_.holds(id, ++peer.open);
}

void Frontend::openSession(ConnectionId id, const GroupPtr& group, std::size_t place, const Entry& entry) {
  const auto name = parser_.param(place, "/name"), resume = parser_.param(place, "/resume");
  if (!name || name->size() < kNameLeast || name->size() > kNameMost || !visible(*name))
    return fail(group, place, entry, kInvalidParams,
                "Invalid params: name must be 16 to 128 visible characters that nobody can guess");
  Peer& peer = peers_[id];
  if (peer.session != 0 || !peer.slots.empty())
    return fail(group, place, entry, kInvalidRequest,
                "Invalid Request: a session is opened once, before the connection's calls");
  SessionTable::Id session = 0;
  const SessionTable::OpenResult opened = table_.open(now(), *name, resume && *resume == "true", session);
  if (opened == SessionTable::OpenResult::notHeld)
    return fail(group, place, entry, kNoSession,
                "The session is not held: what its calls came to is not known", "{\"retry\":\"unknown\"}");
  if (opened == SessionTable::OpenResult::full)
    return fail(group, place, entry, kRefused, "Refused: too many sessions", "{\"retry\":\"harmless\"}");
  // The session's previous connection may be dead without our having noticed, and responses written to it
  // would be lost. So the newest connection takes over the session, and the previous one is closed.
  if (const auto before = attached_.find(session); before != attached_.end()) {
    const ConnectionId old = before->second;
    if (const auto known = peers_.find(old); known != peers_.end()) {
      known->second.session = 0;  // the session moves to the new connection and is not detached
      drop(old, known->second);
    }
    server_.close(old);
  }
  attached_[session] = id;
  peers_[id].session = session;
  const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.sessions.ttl).count();
  if (entry.kind != Entry::Kind::call) return;
  ++group->pending;
  deliver(group, place, entry.version, entry.id,
          {false, std::string("{\"resumed\":") +
                      (opened == SessionTable::OpenResult::resumed ? "true" : "false") +
                      ",\"ttl_ms\":" + std::to_string(ttl) + "}"});
}

// --- Replies --------------------------------------------------------------------------------------------

void Frontend::onReply(std::uint64_t ticket, Reply reply) {
  const auto it = slots_.find(ticket);
  if (it == slots_.end()) return;
  Slot slot = std::move(it->second);
  slots_.erase(it);
  server_.release(slot.bytes);
  leave(ticket, slot);
  if (!slot.group && slot.session == 0) return;  // a notification: no response
  const bool notRun = reply.status == ReplyStatus::rejected;
  Result result = resultOf(std::move(reply), slot.safe, checker_);
  if (slot.group) deliver(slot.group, slot.place, slot.version, slot.id, result);
  if (slot.session == 0) return;
  if (notRun) table_.recordNotRun(slot.session, slot.key);
  else table_.recordResult(now(), slot.session, slot.key, std::move(result));
}

// Removes the call from its connection's open calls.
void Frontend::leave(std::uint64_t ticket, const Slot& slot) {
  const auto known = peers_.find(slot.connection);
  if (known == peers_.end()) return;
  Peer& peer = known->second;
  if (!slot.key.empty()) peer.keys.erase(slot.key);
  peer.slots.erase(ticket);
  --peer.open;
  if (!slot.group) server_.holds(slot.connection, peer.open);  // otherwise when its response is written
}

void Frontend::fail(const GroupPtr& group, std::size_t place, const Entry& entry, int code,
                    std::string_view message, std::string_view data) {
  if (entry.kind == Entry::Kind::notification) return;  // never gets a response (4.1)
  ++group->pending;
  // The response to an invalid request has a null id (5), even if an id was read: it may be another call's.
  const std::string_view id = entry.kind == Entry::Kind::invalid ? std::string_view("null") : entry.id;
  deliver(group, place, entry.version, id, {true, errorText(code, message, data)});
}

void Frontend::deliver(const GroupPtr& group, std::size_t place, int version, std::string_view id,
                       const Result& result) {
  std::string& text = group->replies[place];
  // The responses of a batch are held until the last is there, and may together exceed the memory bound. One
  // that can't be held becomes an error response, so that the client learns of it.
  if (bytes() + result.json.size() > settings_.limits.bytes)
    appendReply(version, id,
                {true, errorText(kFailed, "Failed: no room to hold the answer", "{\"retry\":\"unknown\"}")},
                text);
  else appendReply(version, id, result, text);
  group->bytes += text.size();
  server_.charge(text.size());
  complete(group);
}

void Frontend::complete(const GroupPtr& group) {
  if (--group->pending > 0) return;
  server_.release(group->bytes);
  const ConnectionId id = group->connection;
  if (!group->batch) {
    if (!group->replies.front().empty()) server_.write(id, group->replies.front());
  } else {
    std::string all;
    all.reserve(group->bytes + group->replies.size() + 2);
    for (std::string& reply : group->replies) {
      if (reply.empty()) continue;
      all.append(all.empty() ? "[" : ",").append(reply);
      std::string().swap(reply);
    }
    if (!all.empty()) server_.write(id, all.append("]"));
  }
  if (const auto known = peers_.find(id); known != peers_.end()) server_.holds(id, known->second.open);
}

// --- Connections ----------------------------------------------------------------------------------------

void Frontend::bad(ConnectionId id, const char* why) {
  std::string reply;
  appendReply(2, "null", {true, errorText(kParseError, std::string("Parse error: ") + why)}, reply);
  server_.write(id, reply);
  server_.closeAfterReplies(id);
}

void Frontend::gone(ConnectionId id) {
  if (const auto known = peers_.find(id); known != peers_.end()) drop(id, known->second);
}

// Without a session the calls of a closed connection are cancelled. In a session they go on, and their
// results are kept for the client.
void Frontend::drop(ConnectionId id, Peer& peer) {
  Peer old = std::move(peer);
  peers_.erase(id);
  if (old.session != 0) {
    attached_.erase(old.session);
    table_.detach(now(), old.session);
  }
  for (const std::uint64_t ticket : old.slots) {
    const auto it = slots_.find(ticket);
    if (it == slots_.end()) continue;
    Slot& slot = it->second;
    server_.release(std::exchange(slot.group->bytes, 0));
    slot.group.reset();
    slot.connection = 0;
    if (slot.session != 0) continue;
    const CallId call = slot.call;
    server_.release(slot.bytes);
    slots_.erase(it);
    engine_.clientDisconnected(call);
  }
}

}  // namespace cairnjunction::jsonrpc
