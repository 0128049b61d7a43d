// An upstream whose hosts come from a list: what the program tells it beside the attempts.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "core/call.hpp"

namespace cairnjunction {

class HostUpstream : public Upstream {
 public:
  // A host that the list names. Connections to one that does not serve are closed as they come free. A port
  // of 0: its address is not told, and stays what it was.
  virtual void list(ochrehill::HostId host, const boost::asio::ip::tcp::endpoint& endpoint, bool serving) = 0;
  virtual void unlistAll() = 0;  // before a whole list: what it leaves out serves no more
  virtual void stop() = 0;       // closes all without a word
  virtual std::size_t connections() const = 0;
  virtual std::size_t hosts() const = 0;
};

}  // namespace cairnjunction
