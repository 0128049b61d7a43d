// The interface of an upstream whose endpoints are given by an endpoint list.
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
  // Sets the function that is called at each change of an endpoint's connections. Any function of the
  // upstream may call it; it must not call back into the upstream.
  void onConnections(ConnectionsChanged changed) { connectionCounts_.setObserver(std::move(changed)); }

  // Adds or updates an endpoint. If it does not serve, its connections are closed as they become idle. An
  // address with port 0 is unknown, and leaves the stored one unchanged. Returns whether the address has
  // changed.
  virtual bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                              bool serving) = 0;
  // To be called before the updates of a full list: endpoints that it does not contain no longer serve.
  virtual void removeAllEndpoints() = 0;
  virtual void stop() = 0;  // closes all connections, without reporting the ends of their attempts
  virtual std::size_t endpointCount() const = 0;
  virtual std::uint64_t attemptsWritten() const = 0;  // attempts whose last byte was written
  std::size_t connectionCount() const { return connectionCounts_.total(); }
  std::uint64_t connectionsOpened() const { return connectionCounts_.opened(); }  // since the start
  EndpointConnections connectionsOf(policy::EndpointId endpoint) const {          // zeros if it is unknown
    return connectionCounts_.of(endpoint);
  }

 protected:
  ConnectionCounts& connectionCounts() { return connectionCounts_; }

 private:
  ConnectionCounts connectionCounts_;
};

}  // namespace cairnjunction
