// Counts the connections of an upstream, in total and for each endpoint. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "core/upstream.hpp"

namespace cairnjunction {

class ConnectionCounts {
 public:
  // Called at each change of an endpoint's counts. Must not call back into the upstream.
  using Observer = std::function<void(policy::EndpointId, EndpointConnections)>;

  void setObserver(Observer observer) { observer_ = std::move(observer); }

  // Starts to count the endpoint's connections, and reports the counts at once, even if they are zero:
  // without a report, an observer would have to guess them.
  void track(policy::EndpointId endpoint) { notify(endpoint, counts_[endpoint]); }
  void untrack(policy::EndpointId endpoint) { counts_.erase(endpoint); }

  // The states of a connection. It counts in the total from its opening until it is closed, and in its
  // endpoint's counts only while the endpoint is tracked.
  void onOpening(policy::EndpointId endpoint) {
    ++total_;
    ++opened_;
    add(endpoint, 1, 0);
  }
  void onEstablished(policy::EndpointId endpoint) { add(endpoint, 0, 1); }
  void onClosed(policy::EndpointId endpoint, bool established) {
    --total_;
    add(endpoint, -1, established ? -1 : 0);
  }

  // Excludes an established connection that only streams a response from its endpoint's counts. For the load
  // balancer its attempt has ended, so the balancer may meanwhile remove the endpoint and reuse its id for
  // another one.
  void exclude(policy::EndpointId endpoint) { add(endpoint, -1, -1); }
  void include(policy::EndpointId endpoint) { add(endpoint, 1, 1); }  // the opposite, when it is idle again
  void onExcludedClosed() { --total_; }

  EndpointConnections of(policy::EndpointId endpoint) const {  // zeros if it is not tracked
    const auto found = counts_.find(endpoint);
    return found == counts_.end() ? EndpointConnections{} : found->second;
  }
  std::size_t total() const { return total_; }
  std::uint64_t opened() const { return opened_; }  // since the start

 private:
  void add(policy::EndpointId endpoint, int open, int established) {
    const auto found = counts_.find(endpoint);
    if (found == counts_.end()) return;
    found->second.open += static_cast<std::uint32_t>(open);
    found->second.established += static_cast<std::uint32_t>(established);
    notify(endpoint, found->second);
  }
  void notify(policy::EndpointId endpoint, EndpointConnections connections) {
    if (observer_) observer_(endpoint, connections);
  }

  Observer observer_;
  std::unordered_map<policy::EndpointId, EndpointConnections> counts_;  // of the tracked endpoints
  std::uint64_t opened_ = 0;
  std::size_t total_ = 0;  // connections that are not closed, including those of untracked endpoints
};

}  // namespace cairnjunction
