// Probing by one gateway for all.
#include "app/fleet_probing.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"
#include "lease/stable_hash.hpp"

namespace cairnjunction {

using fleet::bootTime;
using nlohmann::json;

FleetProbing::FleetProbing(boost::asio::io_context& io, Engine& engine, const fleet::Member& member,
                           std::uint32_t shards,
                           std::function<bool(const lease::LeaseKey&, std::string)> word)
    : timer_(io), engine_(engine), member_(member), shards_(shards), word_(std::move(word)) {
  if (shards_ > 0) turn();
}

std::uint32_t FleetProbing::shardOf(const std::string& uid) const {
  const std::uint64_t h = lease::stableHash(uid);
  return static_cast<std::uint32_t>((h ^ (h >> 32)) % shards_);
}

void FleetProbing::turn() {
  const lease::BootTime now = bootTime();
  const bool together = member_.hasJoined() && !member_.isIsolated();
  std::map<std::uint32_t, json> rows;  // by shard: what to say
  std::set<std::uint32_t> due;
  const auto say = [&](std::uint32_t shard) -> json& {
    json& row = rows[shard];
    if (row.is_null()) row = {{"out", json::array()}, {"up", json::array()}};
    return row;
  };
  std::map<std::string, lease::BootTime> outHere;
  for (const policy::EndpointId out : engine_.endpointHealth().unreachableEndpoints()) {
    const std::string uid = engine_.loadBalancer().address(out);
    const std::uint32_t shard = shardOf(uid);
    const bool mine = member_.holds({kProbeDuty, shard});
    if (mine || !together) engine_.delegateProbing(out, {});
    if (mine && outHere.size() < kHostsMost) {
      outHere[uid] = now;
      say(shard)["out"].push_back(uid);
    }
    if (mine || !together) continue;
    // From now by the module's clock: until the owner's word is stale, or it has had its time for a first
    // one.
    const auto heard = heardOut_.find(uid);
    const lease::BootTime first = outHere_.count(uid) ? outHere_[uid] : now;
    outHere[uid] = first;
    const lease::BootTime until = heard == heardOut_.end() ? first + kFirst : heard->second + kFresh;
    if (until <= now) continue;
    engine_.delegateProbing(out, engine_.now() + (until - now));
    ++left_;
  }
  for (const auto& [uid, at] : outHere_)
    if (!outHere.count(uid) && member_.holds({kProbeDuty, shardOf(uid)})) {
      found_[uid] = {now, kRepeats};
      due.insert(shardOf(uid));
    }
  outHere_ = std::move(outHere);
  for (auto it = found_.begin(); it != found_.end();) {
    const bool over = it->second.repeats <= 0 || outHere_.count(it->first);
    if (!over)
      say(shardOf(it->first))["up"].push_back(
          {{"uid", it->first}, {"age_ms", (now - it->second.at).count()}});
    it = over ? found_.erase(it) : std::next(it);
  }
  for (const auto& [shard, row] : rows) {
    lease::BootTime& told = toldAt_[shard];
    if (!due.count(shard) && told > lease::BootTime{} && now < told + kTell) continue;
    if (!word_({kProbeDuty, shard}, row.dump())) continue;
    told = now;
    for (const json& up : row["up"]) --found_[up["uid"].get<std::string>()].repeats;
  }
  std::erase_if(heardOut_, [&](const auto& h) { return now - h.second > kFresh; });
  timer_.expires_after(kTurn);
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code ec) {
    if (!ec) turn();
  }));
}

void FleetProbing::ordered(const fleet::Command& order) {
  if (order.token.key.task != kProbeDuty || order.token.holder == member_.self()) return;
  const json body = json::parse(order.body, nullptr, false);
  if (!body.is_object()) return;
  const lease::BootTime now = bootTime();
  for (const json& uid : body.value("out", json::array()))
    if (uid.is_string() && heardOut_.size() < kHostsMost) heardOut_[uid.get<std::string>()] = now;
  for (const json& up : body.value("up", json::array())) {
    if (!up.is_object() || !up.contains("uid") || !up["uid"].is_string()) continue;
    const std::string uid = up["uid"].get<std::string>();
    const auto age =
        std::chrono::milliseconds(std::max<std::int64_t>(up.value("age_ms", std::int64_t{0}), 0));
    heardOut_.erase(uid);
    if (const policy::EndpointId host = engine_.findEndpoint(uid); host != policy::kNone)
      engine_.onRemoteProbeResult(host, age);
  }
}

}  // namespace cairnjunction
