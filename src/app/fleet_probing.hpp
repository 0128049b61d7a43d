// Probing by one gateway for all: of the hosts that can't be reached, each belongs to a shard of the duty
// `probe`, whose owner goes on trying it by real requests and says what it finds; the others leave it to that
// one, for a while.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "common/callback_guard.hpp"
#include "core/engine.hpp"
#include "fleet/member.hpp"

namespace cairnjunction {

inline constexpr const char* kProbeDuty = "probe";

class FleetProbing {
 public:
  static constexpr lease::Duration kTurn{200};   // between two looks at what is out,
  static constexpr lease::Duration kTell{1000};  // and between an owner's words; a finding is told at once
  static constexpr lease::Duration kFirst{
      1500};  // so long an owner has to speak of a host that has just gone out,
  static constexpr lease::Duration kFresh{2500};  // and so long its word holds
  static constexpr int kRepeats = 3;  // a finding is told so often: an order may be lost with its link
  static constexpr std::size_t kHostsMost = 4096;  // told of, over all shards

  // `word` sends an order of this gateway (Member::order). `shards` as in the fleet file; 0: the duty is off.
  FleetProbing(boost::asio::io_context& io, Engine& engine, const fleet::Member& member, std::uint32_t shards,
               std::function<bool(const lease::LeaseKey&, std::string)> word);

  void ordered(const fleet::Command& order);
  std::uint64_t leftToOthers() const { return left_; }  // turns of hosts
  std::uint64_t probes() const {
    return engine_.endpointHealth().probesStarted();
  }  // of this gateway, by real work

 private:
  void turn();
  std::uint32_t shardOf(const std::string& uid) const;

  boost::asio::steady_timer timer_;
  Engine& engine_;
  const fleet::Member& member_;
  const std::uint32_t shards_;
  std::function<bool(const lease::LeaseKey&, std::string)> word_;
  std::map<std::string, lease::BootTime> heardOut_;  // by an owner, of hosts that are out: when
  std::map<std::string, lease::BootTime> outHere_;   // hosts of own shards that were out at the last turn
  struct Found {
    lease::BootTime at{};
    int repeats = 0;
  };
  std::map<std::string, Found> found_;               // and are no more
  std::map<std::uint32_t, lease::BootTime> toldAt_;  // by shard
  std::uint64_t left_ = 0;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction
