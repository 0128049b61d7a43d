// A gateway's part in the fleet.
#include "app/fleet_endpoint_lists.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"

namespace cairnjunction {
namespace {

using boost::system::error_code;
using fleet::bootTime;
using nlohmann::json;

const lease::LeaseKey kList{kListDuty, 0}, kStandby{kStandbyDuty, 0};

}  // namespace

FleetEndpointLists::FleetEndpointLists(boost::asio::io_context& io, const fleet::Settings& settings,
                                       const std::string& name, DiscoveryClient& discovery, Engine& engine,
                                       const boost::asio::ip::tcp::endpoint& source,
                                       const std::optional<EndpointList>& known, bool pushed,
                                       std::function<void(const EndpointList&)> told)
    : discovery_(discovery),
      told_(std::move(told)),
      journal_(settings.log, "member", name),
      source_(textOf(source)),
      pushed_(pushed),
      timer_(io) {
  if (known) {
    held_ = *known;
    gate_.onOwnList(source_, known->version);
  }
  fleet::Member::Events events;
  events.onLeaseChange = [this](const lease::LeaseKey& key, bool owns) { dutyChanged(key, owns); };
  events.onCommand = [this](const fleet::Command& order) {
    ordered(order);
    if (probing_) probing_->ordered(order);
  };
  events.onJoined = [this] { hand(); };  // to a keeper that does not know the list yet
  events.onIsolationChange = [this] { aloneChanged(); };
  member_ = std::make_unique<fleet::Member>(io, settings, name, std::move(events), journal_);
  const lease::TaskSpec* probe = settings.taskSpec(kProbeDuty);
  probing_ = std::make_unique<FleetProbing>(io, engine, *member_, probe ? probe->shards : 0,
                                            [this](const lease::LeaseKey& key, std::string body) {
                                              return member_->sendCommand(key, std::move(body), false);
                                            });
}

// --- Who asks discovery -----------------------------------------------------------------------------------

bool FleetEndpointLists::asks() const { return pushed_ || asking_.shouldPoll(bootTime()); }

void FleetEndpointLists::dutyChanged(const lease::LeaseKey& key, bool owns) {
  if (key != kList && key != kStandby) return;
  // The heir has become the owner; another one is to stand by.
  if (key == kList && owns && member_->holds(kStandby)) member_->release(kStandby, false);
  asking_.onLeaseChange(member_->holds(kList) || member_->holds(kStandby));
  failingSince_.reset();
  decide();
  if (key == kList && owns) hand();
}

void FleetEndpointLists::aloneChanged() {
  asking_.onIsolationChange(member_->isIsolated(), bootTime(), member_->memberCount(),
                            !held_.endpoints.empty(), std::uniform_real_distribution<double>(0, 1)(random_));
  decide();
}

// Danger: a watch that goes on beside the owner's lists is only load, but one that is stopped before a list
// came would leave the gateway with nobody to hear from; so it is stopped when an order is taken (ordered()).
void FleetEndpointLists::decide() {
  if (asks()) {
    if (std::exchange(watching_, true)) return;
    if (gate_.held()) discovery_.setKnownVersion(gate_.held()->version);
    return discovery_.watch();
  }
  if (const auto at = asking_.pollsAt()) {
    timer_.expires_after(std::max(*at - bootTime(), lease::Duration(1)));
    timer_.async_wait(lifetime_.guard([this](error_code ec) {
      if (!ec) decide();
    }));
  }
}

void FleetEndpointLists::subscribe() {
  if (!asks()) return;
  watching_ = true;
  discovery_.watch();
}

void FleetEndpointLists::doubted() {
  if (asks()) discovery_.refresh();
}

// One call of each member on the new one, as without a fleet; whoever does not ask hears the owner from there
// on.
void FleetEndpointLists::moveTo(const boost::asio::ip::tcp::endpoint& source) {
  const std::string before = std::exchange(source_, textOf(source));
  if (before == source_) return;
  gate_.onSourceChange(before, source_);
  watching_ = true;
  discovery_.moveTo(source);
}

void FleetEndpointLists::discoveryFailed() {
  if (!failingSince_) failingSince_ = bootTime();
  if (bootTime() - *failingSince_ < kFailMost) return;
  for (const lease::LeaseKey& key : {kList, kStandby})
    if (member_->holds(key)) member_->release(key, true);
}

// --- Lists ------------------------------------------------------------------------------------------------

void FleetEndpointLists::merge(const EndpointList& list) {
  if (list.full) {
    held_ = list;
    return;
  }
  held_.version = list.version;
  for (const DiscoveredEndpoint& host : list.endpoints) {
    const auto known = std::find_if(held_.endpoints.begin(), held_.endpoints.end(),
                                    [&](const auto& h) { return h.uid == host.uid; });
    if (host.state == DiscoveredState::gone) {
      if (known != held_.endpoints.end()) held_.endpoints.erase(known);
    } else if (known != held_.endpoints.end()) {
      *known = host;
    } else {
      held_.endpoints.push_back(host);
    }
  }
}

void FleetEndpointLists::fromDiscovery(const EndpointList& list) {
  failingSince_.reset();
  // What only says that nothing has changed is no news to the others.
  const bool news = !gate_.held() || list.full || !list.endpoints.empty();
  gate_.onOwnList(source_, list.version);
  merge(list);
  if (news) journal_.line("list-told", {{"version", list.version}, {"hosts", held_.endpoints.size()}});
  told_(list);
  if (news) hand();
}

// To all, by whoever owns the list; what is held may also have come from the last owner.
void FleetEndpointLists::hand() {
  if (!ownsList() || !gate_.held()) return;
  json body = toJson(held_);
  body["source"] = gate_.held()->source;
  body["era"] = gate_.held()->epoch;
  if (member_->sendCommand(kList, body.dump(), true)) ++handed_;
}

void FleetEndpointLists::ordered(const fleet::Command& order) {
  if (order.token.key != kList || order.token.holder == member_->self()) return;
  try {
    const json body = json::parse(order.body);
    EndpointList list = parseEndpointList(body);
    const fleet::EndpointListVersion mark{body.value("source", ""), body.value("era", std::uint64_t{0}),
                                          list.version};
    list.full = true;
    if (!gate_.accept(mark)) {
      ++passedOver_;
      journal_.order("list-passed-over", order.token,
                     {{"version", list.version}, {"held", gate_.held()->version}});
      asking_.onListRejected(bootTime(), member_->memberCount(),
                             std::uniform_real_distribution<double>(0, 1)(random_));
      return decide();
    }
    ++taken_;
    asking_.onListAccepted(member_->isIsolated());
    merge(list);
    journal_.order("list-taken", order.token, {{"version", list.version}, {"hosts", list.endpoints.size()}});
    if (!asks() && std::exchange(watching_, false)) discovery_.stop();
    told_(held_);
  } catch (const std::exception& bad) {  // of another version, or nonsense: the list held stays
    journal_.order("list-unreadable", order.token, {{"why", bad.what()}});
  }
}

std::vector<std::pair<std::string, std::uint64_t>> FleetEndpointLists::figures() const {
  return {{"fleet.alone", member_->isIsolated()},
          {"fleet.joined", member_->hasJoined()},
          {"fleet.members", member_->memberCount()},
          {"fleet.owns_list", ownsList()},
          {"fleet.asks_discovery", asks()},
          {"fleet.orders_refused", member_->rejectedCommands()},
          {"fleet.hosts_left_to_others", probing_->leftToOthers()},
          {"fleet.probes", probing_->probes()},
          {"fleet.lists_taken", taken_},
          {"fleet.lists_passed_over", passedOver_},
          {"fleet.lists_handed", handed_}};
}

}  // namespace cairnjunction
