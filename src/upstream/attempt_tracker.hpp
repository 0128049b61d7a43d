// Tracks an upstream's attempts in flight and their connections, and reports each attempt's end.
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

  // `ended` is called with the outcome of each attempt that ends; not empty.
  explicit AttemptTracker(Ended ended) : onEnded_(std::move(ended)) {}

  void add(AttemptKey key, ConnectionPtr connection) { connections_.emplace(key, std::move(connection)); }
  ConnectionPtr find(AttemptKey key) const {  // null: not in flight
    const auto found = connections_.find(key);
    return found == connections_.end() ? nullptr : found->second;
  }
  // Removes the attempt, if it was added, and reports its end.
  void end(AttemptOutcome outcome) {
    connections_.erase(outcome.key);
    onEnded_(std::move(outcome));
  }
  // Reports the end of an attempt for which no connection was started.
  void endUnconnected(AttemptKey key, policy::EndpointId endpoint, policy::FailureReason reason) {
    end({key, endpoint, policy::Outcome::connectFailed, {}, {}, reason, policy::ConnectionUse::none});
  }
  std::vector<ConnectionPtr> connections() const {  // of all attempts; may repeat
    std::vector<ConnectionPtr> all;
    for (const auto& [key, connection] : connections_) all.push_back(connection);
    return all;
  }
  // Removes all attempts without reporting them, and returns their connections, which may repeat.
  std::vector<ConnectionPtr> takeAll() {
    std::vector<ConnectionPtr> all;
    for (auto& [key, connection] : std::exchange(connections_, {})) all.push_back(std::move(connection));
    return all;
  }
  // Ends of attempts are no longer reported.
  void stopReporting() {
    onEnded_ = [](const AttemptOutcome&) {};
  }

  void countWritten() { ++written_; }                 // to be called when an attempt's last byte was written
  std::uint64_t written() const { return written_; }  // attempts whose last byte was written

 private:
  Ended onEnded_;                                                              // never empty
  std::unordered_map<AttemptKey, ConnectionPtr, AttemptKeyHash> connections_;  // never null
  std::uint64_t written_ = 0;
};

}  // namespace cairnjunction
