// How many connections an upstream has, in all and to each endpoint. No I/O.
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
  // Called at every change of an endpoint's counts; must not call back into the upstream.
  using Observer = std::function<void(policy::EndpointId, EndpointConnections)>;

  void setObserver(Observer observer) { observer_ = std::move(observer); }

  // From here on the endpoint's connections are counted. Also reported if there are none, since an observer
  // that has no count would go by a guess.
  void track(policy::EndpointId endpoint) { notify(endpoint, counts_[endpoint]); }
  void untrack(policy::EndpointId endpoint) { counts_.erase(endpoint); }

  // A connection's life. In the total it counts from its opening to its close; in its endpoint's counts only
  // while the endpoint is tracked.
  void onOpening(policy::EndpointId endpoint) {
    ++total_;
    add(endpoint, 1, 0);
  }
  void onEstablished(policy::EndpointId endpoint) { add(endpoint, 0, 1); }
  void onClosed(policy::EndpointId endpoint, bool established) {
    --total_;
    add(endpoint, -1, established ? -1 : 0);
  }

  // An established connection that only streams an answer is none of its endpoint's: its attempt is over for
  // the load balancer, which may forget the endpoint and give its id to another one meanwhile.
  void exclude(policy::EndpointId endpoint) { add(endpoint, -1, -1); }
  void include(policy::EndpointId endpoint) { add(endpoint, 1, 1); }  // again, when it is idle
  void onExcludedClosed() { --total_; }

  EndpointConnections of(policy::EndpointId endpoint) const {  // zeros, if it is not tracked
    const auto found = counts_.find(endpoint);
    return found == counts_.end() ? EndpointConnections{} : found->second;
  }
  std::size_t total() const { return total_; }

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
  std::size_t total_ = 0;  // connections that are not closed, whether their endpoint is tracked or not
};

}  // namespace cairnjunction
