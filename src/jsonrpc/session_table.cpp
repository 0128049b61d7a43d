// Named sessions and their results, until they expire.
#include "jsonrpc/session_table.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction::jsonrpc {

SessionTable::Opened SessionTable::open(Time now, std::string_view name, bool resume, Id& id) {
  expire(now);
  const std::string key(name);
  if (const auto known = byName_.find(key); known != byName_.end()) {
    id = known->second;
    Session& session = sessions_.at(id);
    session.attached = true;
    session.touched = now;
    return Opened::resumed;
  }
  if (resume) return Opened::notHeld;
  if (sessions_.size() >= limits_.sessions) return Opened::full;
  id = ++last_;
  Session& session = sessions_[id];
  session.name = key;
  session.touched = now;
  byName_.emplace(key, id);
  return Opened::fresh;
}

void SessionTable::detach(Time now, Id id) {
  const auto it = sessions_.find(id);
  if (it == sessions_.end()) return;
  it->second.attached = false;
  it->second.touched = now;
  due_.push({now + limits_.ttl, id, {}});
}

const SessionTable::Entry* SessionTable::entryOf(Id id, const std::string& key) const {
  const auto session = sessions_.find(id);
  if (session == sessions_.end()) return nullptr;
  const auto entry = session->second.entries.find(key);
  return entry == session->second.entries.end() ? nullptr : &entry->second;
}

std::optional<SessionTable::Found> SessionTable::find(Id id, const std::string& key,
                                                      std::uint64_t print) const {
  const Entry* known = entryOf(id, key);
  if (!known) return std::nullopt;
  if (known->print != print) return Found{Begun::different, 0, nullptr};
  if (known->done) return Found{Begun::answered, known->ticket, &known->answer};
  return Found{Begun::running, known->ticket, nullptr};
}

SessionTable::Found SessionTable::begin(Time now, Id id, const std::string& key, std::uint64_t print,
                                        std::uint64_t ticket) {
  expire(now);
  if (const std::optional<Found> known = find(id, key, print)) return *known;
  const auto it = sessions_.find(id);
  const std::size_t cost = kEntryCost + key.size();
  // If an old result were dropped to make room, a repeat of its call would run a second time. So a full table
  // rejects the new call instead, which has not run.
  if (it == sessions_.end() || entries_ >= limits_.entries ||
      it->second.entries.size() >= limits_.entriesOfOne || bytes_ + cost > limits_.bytes)
    return {};
  Entry& entry = it->second.entries[key];
  entry.print = print;
  entry.ticket = ticket;
  ++entries_;
  bytes_ += cost;
  return {Begun::first, ticket, nullptr};
}

void SessionTable::answered(Time now, Id id, const std::string& key, Result answer) {
  const Entry* known = entryOf(id, key);
  if (!known || known->done) return;
  Entry& entry = sessions_.at(id).entries.at(key);
  bytes_ += answer.json.size();
  entry.answer = std::move(answer);
  entry.done = true;
  entry.due = now + limits_.ttl;
  due_.push({entry.due, id, key});
}

void SessionTable::neverRan(Id id, const std::string& key) {
  if (const auto it = sessions_.find(id); it != sessions_.end()) drop(id, it->second, key);
}

void SessionTable::drop(Id id, Session& session, const std::string& key) {
  const auto entry = session.entries.find(key);
  if (entry == session.entries.end()) return;
  bytes_ -= kEntryCost + key.size() + entry->second.answer.json.size();
  --entries_;
  session.entries.erase(entry);
  // Its entries have outlived the session's own time, so its end is due again.
  if (session.entries.empty() && !session.attached) due_.push({session.touched + limits_.ttl, id, {}});
}

void SessionTable::expire(Time now) {
  while (!due_.empty() && due_.top().at <= now) {
    Due due = due_.top();
    due_.pop();
    const auto it = sessions_.find(due.session);
    if (it == sessions_.end()) continue;
    if (due.key.empty()) expireSession(now, due.session, it->second);
    else expireEntry(now, std::move(due), it->second);
  }
}

void SessionTable::expireEntry(Time now, Due due, Session& session) {
  const Entry* entry = entryOf(due.session, due.key);
  if (!entry || !entry->done) return;
  const Time heldUntil = std::max(entry->due, session.touched + limits_.ttl);
  if (heldUntil <= now) return drop(due.session, session, due.key);
  due.at = heldUntil;
  due_.push(std::move(due));
}

// Only the last detach counts, and none if the session was resumed since. A session outlives its calls:
// without it a repeat of one that runs, or whose result is held, would run a second time.
void SessionTable::expireSession(Time now, Id id, const Session& session) {
  const bool inUse = session.attached || !session.entries.empty();
  if (inUse || session.touched + limits_.ttl > now) return;
  byName_.erase(session.name);
  sessions_.erase(id);
}

}  // namespace cairnjunction::jsonrpc
