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

class HostUpstream : public Upstream {
 public:
  // Told at every change of a host's connections, perhaps from within any function of the upstream; it must
  // not call back into it.
  using ConnectionsChanged = std::function<void(ochrehill::HostId, HostConnections)>;
  void onConnections(ConnectionsChanged changed) { connectionsChanged_ = std::move(changed); }

  // A host that the list names. Connections to one that does not serve are closed as they come free. A port
  // of 0: its address is not told, and stays what it was. True if it has moved to another address.
  virtual bool list(ochrehill::HostId host, const boost::asio::ip::tcp::endpoint& endpoint, bool serving) = 0;
  virtual void unlistAll() = 0;  // before a whole list: what it leaves out serves no more
  virtual void stop() = 0;       // closes all without a word
  virtual std::size_t connections() const = 0;
  virtual std::size_t hosts() const = 0;
  std::uint64_t dispatches() const { return dispatches_; }       // attempts written to their last byte
  HostConnections connectionsOf(ochrehill::HostId host) const {  // none, if it is not known
    const auto known = counts_.find(host);
    return known == counts_.end() ? HostConnections{} : known->second;
  }

 protected:
  void dispatched() { ++dispatches_; }
  // From here on its connections are counted. Told also that there are none, or one that can't be dialled
  // would be guessed at.
  void countFrom(ochrehill::HostId host) { tell(host, counts_[host]); }
  void count(ochrehill::HostId host, int open, int up) {
    const auto known = counts_.find(host);
    if (known == counts_.end()) return;
    known->second.open += static_cast<std::uint32_t>(open);
    known->second.up += static_cast<std::uint32_t>(up);
    tell(host, known->second);
  }
  void countNoMore(ochrehill::HostId host) { counts_.erase(host); }
  // The end of an attempt for which no connection was begun.
  static AttemptEnd unreached(AttemptKey key, ochrehill::HostId host, ochrehill::Fault fault) {
    return {key, host, ochrehill::Outcome::connectFailed, {}, {}, fault, ochrehill::Carrier::none};
  }

 private:
  void tell(ochrehill::HostId host, HostConnections now) {
    if (connectionsChanged_) connectionsChanged_(host, now);
  }

  ConnectionsChanged connectionsChanged_;
  std::uint64_t dispatches_ = 0;
  std::unordered_map<ochrehill::HostId, HostConnections> counts_;  // of the hosts that are known
};

}  // namespace cairnjunction
