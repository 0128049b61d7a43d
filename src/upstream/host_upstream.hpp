// An upstream whose hosts come from a list: what the program tells it beside the attempts.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
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
  virtual HostConnections connectionsOf(ochrehill::HostId host) const = 0;  // none, if it is not known

 protected:
  void tell(ochrehill::HostId host, HostConnections now) {
    if (connectionsChanged_) connectionsChanged_(host, now);
  }

 private:
  ConnectionsChanged connectionsChanged_;
};

}  // namespace cairnjunction
