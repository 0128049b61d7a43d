// A gateway's part in the fleet: endpoint lists that one member receives from discovery for all, and probing
// by one for all (fleet_probing.hpp). Without coordinators the gateway does both by itself, as without a
// fleet.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "app/command_bodies.hpp"
#include "app/fleet_probing.hpp"
#include "common/callback_guard.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/endpoint_list_filter.hpp"
#include "fleet/fallback_polling.hpp"
#include "fleet/member.hpp"

namespace cairnjunction {

// The holder of `list` watches discovery and sends lists to all; the holder of `list-standby` watches too,
// and is its preferred successor.
inline constexpr const char* kListTask = "list";
inline constexpr const char* kStandbyTask = "list-standby";

class FleetEndpointLists {
 public:
  // A holder whose calls of discovery fail for so long releases the lease as failed.
  static constexpr lease::Duration kMaxDiscoveryFailure{5000};

  // `source`: discovery's address, as this gateway is configured. `known`: the endpoints that it has already.
  // `pushed`: lists come from an agent of this gateway's own, which it watches whoever holds the lease.
  // `applyList` is given whole lists, and changes by this gateway's own calls of discovery. `discovery` and
  // `engine` outlive this.
  FleetEndpointLists(boost::asio::io_context& io, const fleet::Settings& settings, const std::string& name,
                     DiscoveryClient& discovery, Engine& engine, const boost::asio::ip::tcp::endpoint& source,
                     const std::optional<EndpointList>& known, bool pushed,
                     std::function<void(const EndpointList&)> applyList);

  // The load balancer wants lists.
  void subscribe();
  // What the list says is not what is seen: it is asked for again, if this member polls discovery.
  void resync();
  // An answer to this gateway's own call.
  void fromDiscovery(const EndpointList& list);
  void discoveryFailed();
  // Discovery is another one from now on.
  void moveTo(const boost::asio::ip::tcp::endpoint& source);
  // Releases all leases for good; lists of others are still accepted.
  void leave();

  // Whether this gateway calls discovery by itself.
  bool pollsDiscovery() const;
  // Names and values for operators.
  std::vector<std::pair<std::string, std::uint64_t>> figures() const;

 private:
  fleet::Member::Events memberEvents();
  void onLeaseChange(const lease::LeaseKey& key, bool holds);
  void onIsolationChange();
  void onCommand(const fleet::Command& command);
  void onInvalidCommand(const fleet::Command& command, fleet::Event event, const InvalidCommandBody& invalid);
  void onList(const fleet::Command& command, const EndpointListMessage& message);
  void acceptList(const fleet::Command& command, const EndpointList& list);
  void rejectList(const fleet::Command& command, const EndpointList& list);
  void updateWatch();
  void sendList();
  bool holdsList() const;
  void merge(const EndpointList& list);
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  DiscoveryClient& discovery_;
  std::function<void(const EndpointList&)> applyList_;
  fleet::EventLog log_;
  fleet::EndpointListFilter filter_;
  fleet::FallbackPolling polling_;
  EndpointList held_;   // the whole list, with all changes so far; of the version in filter_
  std::string source_;  // discovery's address
  const bool pushed_;
  bool watching_ = false;                        // discovery is being watched
  std::optional<lease::BootTime> failingSince_;  // the first failure since the last success
  std::uint64_t acceptedLists_ = 0;              // of other members,
  std::uint64_t rejectedLists_ = 0;              // as older than held_,
  std::uint64_t sentLists_ = 0;                  // and by this one as lease holder
  std::uint64_t invalidCommands_ = 0;            // of other members: not a valid message of their task
  // By key: the last epoch of which an invalid command was logged.
  std::map<lease::LeaseKey, lease::Epoch> loggedInvalidEpochs_;
  boost::asio::steady_timer pollTimer_;  // runs until polling_ begins
  std::mt19937_64 random_{std::random_device{}()};
  std::unique_ptr<fleet::Member> member_;  // never null once constructed
  std::unique_ptr<FleetProbing> probing_;  // refers to member_
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction
