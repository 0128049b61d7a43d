// An upstream whose endpoints come from a list: what the program tells it beside the attempts.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "core/upstream.hpp"
#include "upstream/connection_counts.hpp"

namespace cairnjunction {

class EndpointUpstream : public Upstream {
 public:
  using ConnectionsChanged = ConnectionCounts::Observer;
  // Called at every change of an endpoint's connections, perhaps from within any function of the upstream; it
  // must not call back into it.
  void onConnections(ConnectionsChanged changed) { connectionCounts_.setObserver(std::move(changed)); }

  // An endpoint that the list names. Connections to one that does not serve are closed as they become idle.
  // An address with port 0 is not given, and stays what it was. True if the endpoint has moved to another
  // one.
  virtual bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                              bool serving) = 0;
  virtual void removeAllEndpoints() = 0;  // before a whole list: what it leaves out does not serve any more
  virtual void stop() = 0;                // closes all connections and reports no end of an attempt
  virtual std::size_t endpointCount() const = 0;
  virtual std::uint64_t attemptsWritten() const = 0;  // to their last byte, since the start
  std::size_t connectionCount() const { return connectionCounts_.total(); }
  EndpointConnections connectionsOf(policy::EndpointId endpoint) const {  // zeros, if it is not known
    return connectionCounts_.of(endpoint);
  }

 protected:
  ConnectionCounts& connectionCounts() { return connectionCounts_; }

 private:
  ConnectionCounts connectionCounts_;
};

}  // namespace cairnjunction
