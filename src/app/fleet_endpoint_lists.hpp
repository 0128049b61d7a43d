// A gateway's part in the fleet: the list of hosts from one owner, and probing by one for all. Without
// keepers the gateway does both by itself, as ever.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "app/fleet_probing.hpp"
#include "common/callback_guard.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/endpoint_list_filter.hpp"
#include "fleet/member.hpp"

namespace cairnjunction {

inline constexpr const char* kListDuty = "list";
inline constexpr const char* kStandbyDuty = "list-standby";

class FleetEndpointLists {
 public:
  // An owner whose calls on discovery fail for so long gives the duty to another one.
  static constexpr lease::Duration kFailMost{5000};

  // `source` is the discovery that this gateway is configured with; `known` the hosts it has. Where lists are
  // `pushed` each gateway watches an agent of its own, whoever owns the list. `told` is given whole lists,
  // and changes by the gateway's own discovery.
  FleetEndpointLists(boost::asio::io_context& io, const fleet::Settings& settings, const std::string& name,
                     DiscoveryClient& discovery, Engine& engine, const boost::asio::ip::tcp::endpoint& source,
                     const std::optional<EndpointList>& known, bool pushed,
                     std::function<void(const EndpointList&)> told);

  void subscribe();                              // the module wants the list
  void doubted();                                // what it says is not what is seen
  void fromDiscovery(const EndpointList& list);  // by the gateway's own calls
  void discoveryFailed();
  void moveTo(const boost::asio::ip::tcp::endpoint& source);  // discovery is another one from now on
  void leave() {
    member_->leave([] {});
  }  // others take over what it owned

  bool asks() const;  // by itself
  std::vector<std::pair<std::string, std::uint64_t>> figures() const;

 private:
  void dutyChanged(const lease::LeaseKey& key, bool owns);
  void aloneChanged();
  void decide();
  void ordered(const fleet::Command& order);
  void hand();
  bool ownsList() const { return member_ && member_->holds({kListDuty, 0}); }
  void merge(const EndpointList& list);

  DiscoveryClient& discovery_;
  std::function<void(const EndpointList&)> told_;
  fleet::EventLog journal_;
  fleet::EndpointListFilter gate_;
  fleet::FallbackPolling asking_;
  EndpointList held_;  // whole
  std::string source_;
  const bool pushed_;
  bool watching_ = false;  // discovery was asked and has not been told to stop
  std::optional<lease::BootTime> failingSince_;
  std::uint64_t taken_ = 0, passedOver_ = 0, handed_ = 0;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unique_ptr<fleet::Member> member_;
  std::unique_ptr<FleetProbing> probing_;  // after the member that it speaks by
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction
