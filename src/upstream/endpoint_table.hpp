// The endpoints that the list names to an upstream, each with connections of it. No I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

template <class Connection>
class EndpointTable {
 public:
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Entry {
    boost::asio::ip::tcp::endpoint address;  // port 0: not known yet
    bool serving = false;                    // attempts may be written to it
    std::vector<ConnectionPtr> connections;  // those that the upstream keeps here, in its own order
  };

  // What the list says of an endpoint, which is added if it is new. An address with port 0 is not given, and
  // stays as it was. `retire(Entry&)` is called first if the endpoint has moved or does not serve: the
  // connections that it has are of no more use. True if the endpoint had another address before.
  template <class Retire>
  bool update(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address, bool serving,
              Retire retire) {
    Entry& entry = entries_[endpoint];
    const bool hadAddress = entry.address.port() != 0;
    const bool moved = address.port() != 0 && address != entry.address;
    if (moved || !serving) retire(entry);
    if (moved) entry.address = address;
    entry.serving = serving;
    return moved && hadAddress;
  }
  void setNoneServing() {
    for (auto& [endpoint, entry] : entries_) entry.serving = false;
  }
  void erase(policy::EndpointId endpoint) { entries_.erase(endpoint); }

  Entry* find(policy::EndpointId endpoint) {  // null: not listed; valid until it is erased
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? nullptr : &found->second;
  }
  // Whether attempts may be written to the endpoint at this address.
  bool isServingAt(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address) const {
    const auto found = entries_.find(endpoint);
    return found != entries_.end() && found->second.serving && found->second.address == address;
  }
  template <class Visit>
  void forEach(Visit visit) {  // visit(Entry&)
    for (auto& [endpoint, entry] : entries_) visit(entry);
  }
  std::size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<policy::EndpointId, Entry> entries_;  // references stay valid when others come
};

}  // namespace cairnjunction
