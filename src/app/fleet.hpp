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
#include "discovery/discovery.hpp"
#include "fleet/list_rules.hpp"
#include "fleet/member.hpp"
#include "lifetime.hpp"

namespace cairnjunction {

inline constexpr const char* kListDuty = "list";
inline constexpr const char* kStandbyDuty = "list-standby";

class FleetLists {
 public:
  // An owner whose calls on discovery fail for so long gives the duty to another one.
  static constexpr duty::Time kFailMost{5000};

  struct Callbacks {
    std::function<void(const HostList&)> told;  // a whole list, or changes by the gateway's own discovery
    std::function<void(const std::string&)> log;
  };

  // `config`'s discovery is the source that this gateway is configured with; `known` the hosts it has.
  FleetLists(boost::asio::io_context& io, const fleet::Settings& settings, const std::string& name,
             Discovery& discovery, Engine& engine, const boost::asio::ip::tcp::endpoint& source,
             const std::optional<HostList>& known, Callbacks callbacks);

  void subscribe();                          // the module wants the list
  void doubted();                            // what it says is not what is seen
  void fromDiscovery(const HostList& list);  // by the gateway's own calls
  void discoveryFailed();
  void moveTo(const boost::asio::ip::tcp::endpoint& source);  // discovery is another one from now on
  void leave(std::function<void()> done) { member_->leave(std::move(done)); }

  const fleet::Member& member() const { return *member_; }
  bool asks() const;  // by itself
  std::vector<std::pair<std::string, std::uint64_t>> figures() const;

 private:
  void dutyChanged(const duty::Key& key, bool owns);
  void aloneChanged();
  void decide();
  void ordered(const fleet::Order& order);
  void hand();
  bool ownsList() const { return member_ && member_->owns({kListDuty, 0}); }
  void merge(const HostList& list);

  boost::asio::io_context& io_;
  Discovery& discovery_;
  Callbacks callbacks_;
  fleet::Journal journal_;
  fleet::ListGate gate_;
  fleet::OwnAsking asking_;
  HostList held_;  // whole
  std::string source_;
  bool watching_ = false;  // discovery was asked and has not been told to stop
  std::optional<duty::Time> failingSince_;
  std::uint64_t taken_ = 0, passedOver_ = 0, handed_ = 0;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unique_ptr<fleet::Member> member_;
  std::unique_ptr<FleetProbing> probing_;  // after the member that it speaks by
  Lifetime lifetime_;
};

}  // namespace cairnjunction
