// The endpoints of an upstream's endpoint list, with the upstream's connections to each. Does no I/O.
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
    boost::asio::ip::tcp::endpoint address;  // port 0: unknown so far
    bool serving = false;                    // attempts may be written to it
    std::vector<ConnectionPtr> connections;  // managed by the upstream, in its own order
  };

  // Adds or updates an endpoint. An address with port 0 is unknown, and leaves the stored one unchanged. If
  // the address has changed, or the endpoint does not serve, `retire(Entry&)` is called first, to retire its
  // connections. Returns whether the endpoint had a different address before.
  template <class Retire>
  bool update(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address, bool serving,
              Retire retire) {
    Entry& entry = entries_[endpoint];
    const bool hadAddress = entry.address.port() != 0;
    const bool addressChanged = address.port() != 0 && address != entry.address;
    if (addressChanged || !serving) retire(entry);
    if (addressChanged) entry.address = address;
    entry.serving = serving;
    return addressChanged && hadAddress;
  }
  void setNoneServing() {
    for (auto& [endpoint, entry] : entries_) entry.serving = false;
  }
  void erase(policy::EndpointId endpoint) { entries_.erase(endpoint); }

  Entry* find(policy::EndpointId endpoint) {  // null: not listed; valid until erased
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
  std::unordered_map<policy::EndpointId, Entry> entries_;  // references stay valid when others are added
};

}  // namespace cairnjunction
