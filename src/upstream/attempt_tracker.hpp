// The attempts that an upstream has in flight, with the connection of each, and the reports of their ends.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/attempt.hpp"

namespace cairnjunction {

template <class Connection>
class AttemptTracker {
 public:
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Ended = std::function<void(AttemptOutcome)>;

  explicit AttemptTracker(Ended ended) : ended_(std::move(ended)) {}

  void add(AttemptKey key, ConnectionPtr connection) { connections_.emplace(key, std::move(connection)); }
  ConnectionPtr find(AttemptKey key) const {  // null: not in flight
    const auto found = connections_.find(key);
    return found == connections_.end() ? nullptr : found->second;
  }
  // Forgets the attempt, if it was added, and reports its end.
  void end(AttemptOutcome outcome) {
    connections_.erase(outcome.key);
    ended_(std::move(outcome));
  }
  // Reports an attempt for which no connection was begun.
  void endUnconnected(AttemptKey key, policy::EndpointId endpoint, policy::FailureReason reason) {
    end({key, endpoint, policy::Outcome::connectFailed, {}, {}, reason, policy::ConnectionUse::none});
  }
  // Forgets all attempts without a report; their connections, some perhaps more than once.
  std::vector<ConnectionPtr> takeAll() {
    std::vector<ConnectionPtr> all;
    for (auto& [key, connection] : std::exchange(connections_, {})) all.push_back(std::move(connection));
    return all;
  }
  void stopReporting() {
    ended_ = [](const AttemptOutcome&) {};
  }

  void countWritten() { ++written_; }                 // one was written to its last byte
  std::uint64_t written() const { return written_; }  // since the start

 private:
  Ended ended_;                                                                // never empty
  std::unordered_map<AttemptKey, ConnectionPtr, AttemptKeyHash> connections_;  // never null
  std::uint64_t written_ = 0;
};

}  // namespace cairnjunction
