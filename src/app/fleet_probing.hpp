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

#include "core/engine.hpp"
#include "fleet/member.hpp"
#include "lifetime.hpp"

namespace cairnjunction {

inline constexpr const char* kProbeDuty = "probe";

class FleetProbing {
 public:
  static constexpr duty::Time kTurn{200};   // between two looks at what is out,
  static constexpr duty::Time kTell{1000};  // and between an owner's words; a finding is told at once
  static constexpr duty::Time kFirst{
      1500};  // so long an owner has to speak of a host that has just gone out,
  static constexpr duty::Time kFresh{2500};  // and so long its word holds
  static constexpr int kRepeats = 3;         // a finding is told so often: an order may be lost with its link
  static constexpr std::size_t kHostsMost = 4096;  // told of, over all shards

  // `word` sends an order of this gateway (Member::order). `shards` as in the fleet file; 0: the duty is off.
  FleetProbing(boost::asio::io_context& io, Engine& engine, const fleet::Member& member, std::uint32_t shards,
               std::function<bool(const duty::Key&, std::string)> word);

  void ordered(const fleet::Order& order);
  std::uint64_t leftToOthers() const { return left_; }                    // turns of hosts
  std::uint64_t probes() const { return engine_.membership().probes(); }  // of this gateway, by real work

 private:
  void turn();
  std::uint32_t shardOf(const std::string& uid) const;

  boost::asio::steady_timer timer_;
  Engine& engine_;
  const fleet::Member& member_;
  const std::uint32_t shards_;
  std::function<bool(const duty::Key&, std::string)> word_;
  std::map<std::string, duty::Time> heardOut_;  // by an owner, of hosts that are out: when
  std::map<std::string, duty::Time> outHere_;   // hosts of own shards that were out at the last turn
  struct Found {
    duty::Time at{};
    int repeats = 0;
  };
  std::map<std::string, Found> found_;          // and are no more
  std::map<std::uint32_t, duty::Time> toldAt_;  // by shard
  std::uint64_t left_ = 0;
  Lifetime lifetime_;
};

}  // namespace cairnjunction
