// An upstream whose hosts come from a list: what the program tells it beside the attempts.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "core/call.hpp"

namespace cairnjunction {

class EndpointUpstream : public Upstream {
 public:
  // Told at every change of a host's connections, perhaps from within any function of the upstream; it must
  // not call back into it.
  using ConnectionsChanged = std::function<void(policy::EndpointId, EndpointConnections)>;
  void onConnections(ConnectionsChanged changed) { connectionsChanged_ = std::move(changed); }

  // A host that the list names. Connections to one that does not serve are closed as they come free. A port
  // of 0: its address is not told, and stays what it was. True if it has moved to another address.
  virtual bool updateEndpoint(policy::EndpointId host, const boost::asio::ip::tcp::endpoint& endpoint,
                              bool serving) = 0;
  virtual void removeAllEndpoints() = 0;  // before a whole list: what it leaves out serves no more
  virtual void stop() = 0;                // closes all without a word
  virtual std::size_t connectionCount() const = 0;
  virtual std::size_t endpointCount() const = 0;
  std::uint64_t attemptsWritten() const { return dispatches_; }       // attempts written to their last byte
  EndpointConnections connectionsOf(policy::EndpointId host) const {  // none, if it is not known
    const auto known = counts_.find(host);
    return known == counts_.end() ? EndpointConnections{} : known->second;
  }

 protected:
  void dispatched() { ++dispatches_; }
  // From here on its connections are counted. Told also that there are none, or one that can't be dialled
  // would be guessed at.
  void countFrom(policy::EndpointId host) { tell(host, counts_[host]); }
  void count(policy::EndpointId host, int open, int up) {
    const auto known = counts_.find(host);
    if (known == counts_.end()) return;
    known->second.open += static_cast<std::uint32_t>(open);
    known->second.established += static_cast<std::uint32_t>(up);
    tell(host, known->second);
  }
  void countNoMore(policy::EndpointId host) { counts_.erase(host); }
  // The end of an attempt for which no connection was begun.
  static AttemptOutcome unreached(AttemptKey key, policy::EndpointId host, policy::FailureReason fault) {
    return {key, host, policy::Outcome::connectFailed, {}, {}, fault, policy::ConnectionUse::none};
  }

 private:
  void tell(policy::EndpointId host, EndpointConnections now) {
    if (connectionsChanged_) connectionsChanged_(host, now);
  }

  ConnectionsChanged connectionsChanged_;
  std::uint64_t dispatches_ = 0;
  std::unordered_map<policy::EndpointId, EndpointConnections> counts_;  // of the hosts that are known
};

}  // namespace cairnjunction
