// Named sessions and their results, until they expire.
#include "jsonrpc/session_table.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction::jsonrpc {

SessionTable::OpenResult SessionTable::open(Time now, std::string_view name, bool resume, Id& id) {
  expire(now);
  const std::string key(name);
  if (const auto known = byName_.find(key); known != byName_.end()) {
    id = known->second;
    Session& session = sessions_.at(id);
    session.attached = true;
    session.attachmentChangedAt = now;
    return OpenResult::resumed;
  }
  if (resume) return OpenResult::notHeld;
  if (sessions_.size() >= limits_.sessions) return OpenResult::full;
  id = ++last_;
  Session& session = sessions_[id];
  session.name = key;
  session.attachmentChangedAt = now;
  byName_.emplace(key, id);
  return OpenResult::fresh;
}

void SessionTable::detach(Time now, Id id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end()) return;
  it->second.attached = false;
  it->second.attachmentChangedAt = now;
  expiries_.push({now + limits_.ttl, id, {}});
}

const SessionTable::Entry* SessionTable::entryOf(Id id, const std::string& key) const {
  const auto session = sessions_.find(id);
  if (session == sessions_.end()) return nullptr;
  const auto entry = session->second.entries.find(key);
  return entry == session->second.entries.end() ? nullptr : &entry->second;
}

std::optional<SessionTable::KnownCall> SessionTable::find(Id id, const std::string& key,
                                                          std::uint64_t fingerprint) const {
  const Entry* known = entryOf(id, key);
  if (!known) return std::nullopt;
  if (known->fingerprint != fingerprint) return KnownCall{CallStatus::different, 0, nullptr};
  if (known->done) return KnownCall{CallStatus::answered, known->ticket, &known->answer};
  return KnownCall{CallStatus::running, known->ticket, nullptr};
}

SessionTable::KnownCall SessionTable::begin(Time now, Id id, const std::string& key,
                                            std::uint64_t fingerprint, std::uint64_t ticket) {
  expire(now);
  if (const std::optional<KnownCall> known = find(id, key, fingerprint)) return *known;
  const auto it = sessions_.find(id);
  const std::size_t cost = kBytesPerEntry + key.size();
  // If an old result were dropped to make room, a repeat of its call would run a second time. So a full table
  // rejects the new call instead, which has not run.
  if (it == sessions_.end() || entries_ >= limits_.entries ||
      it->second.entries.size() >= limits_.entriesPerSession || bytes_ + cost > limits_.bytes)
    return {};
  Entry& entry = it->second.entries[key];
  entry.fingerprint = fingerprint;
  entry.ticket = ticket;
  ++entries_;
  bytes_ += cost;
  return {CallStatus::first, ticket, nullptr};
}

void SessionTable::recordResult(Time now, Id id, const std::string& key, Result answer) {
  const Entry* known = entryOf(id, key);
  if (!known || known->done) return;
  Entry& entry = sessions_.at(id).entries.at(key);
  bytes_ += answer.json.size();
  entry.answer = std::move(answer);
  entry.done = true;
  entry.expiresAt = now + limits_.ttl;
  expiries_.push({entry.expiresAt, id, key});
}

void SessionTable::recordNotRun(Id id, const std::string& key) {
  if (const auto it = sessions_.find(id); it != sessions_.end()) erase(id, it->second, key);
}

void SessionTable::erase(Id id, Session& session, const std::string& key) {
  const auto entry = session.entries.find(key);
  if (entry == session.entries.end()) return;
  bytes_ -= kBytesPerEntry + key.size() + entry->second.answer.json.size();
  --entries_;
  session.entries.erase(entry);
  // Its entries have outlived the session's own time, so its end is due again.
  if (session.entries.empty() && !session.attached)
    expiries_.push({session.attachmentChangedAt + limits_.ttl, id, {}});
}

void SessionTable::expire(Time now) {
  while (!expiries_.empty() && expiries_.top().at <= now) {
    Expiry expiry = expiries_.top();
    expiries_.pop();
    const auto it = sessions_.find(expiry.session);
    if (it == sessions_.end()) continue;
    if (expiry.key.empty()) expireSession(now, expiry.session, it->second);
    else expireEntry(now, std::move(expiry), it->second);
  }
}

void SessionTable::expireEntry(Time now, Expiry expiry, Session& session) {
  const Entry* entry = entryOf(expiry.session, expiry.key);
  if (!entry || !entry->done) return;
  const Time heldUntil = std::max(entry->expiresAt, session.attachmentChangedAt + limits_.ttl);
  if (heldUntil <= now) return erase(expiry.session, session, expiry.key);
  expiry.at = heldUntil;
  expiries_.push(std::move(expiry));
}

// Only the last detach counts, and none if the session was resumed since. A session outlives its calls:
// without it a repeat of one that runs, or whose result is held, would run a second time.
void SessionTable::expireSession(Time now, Id id, const Session& session) {
  const bool inUse = session.attached || !session.entries.empty();
  if (inUse || session.attachmentChangedAt + limits_.ttl > now) return;
  byName_.erase(session.name);
  sessions_.erase(id);
}

}  // namespace cairnjunction::jsonrpc
