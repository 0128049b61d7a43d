// A gateway's part in the fleet.
#include "app/fleet.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"

namespace cairnjunction {
namespace {

using boost::system::error_code;
using fleet::bootTime;
using nlohmann::json;

const duty::Key kList{kListDuty, 0}, kStandby{kStandbyDuty, 0};

}  // namespace

FleetLists::FleetLists(boost::asio::io_context& io, const fleet::Settings& settings, const std::string& name,
                       Discovery& discovery, Engine& engine, const boost::asio::ip::tcp::endpoint& source,
                       const std::optional<HostList>& known, bool pushed,
                       std::function<void(const HostList&)> told)
    : discovery_(discovery),
      told_(std::move(told)),
      journal_(settings.log, "member", name),
      source_(textOf(source)),
      pushed_(pushed),
      timer_(io) {
  if (known) {
    held_ = *known;
    gate_.tell(source_, known->version);
  }
  fleet::Member::Events events;
  events.duty = [this](const duty::Key& key, bool owns) { dutyChanged(key, owns); };
  events.order = [this](const fleet::Order& order) {
    ordered(order);
    if (probing_) probing_->ordered(order);
  };
  events.joined = [this] { hand(); };  // to a keeper that does not know the list yet
  events.alone = [this] { aloneChanged(); };
  member_ = std::make_unique<fleet::Member>(io, settings, name, std::move(events), journal_);
  const duty::Spec* probe = settings.spec(kProbeDuty);
  probing_ = std::make_unique<FleetProbing>(
      io, engine, *member_, probe ? probe->shards : 0,
      [this](const duty::Key& key, std::string body) { return member_->order(key, std::move(body), false); });
}

// --- Who asks discovery -----------------------------------------------------------------------------------

bool FleetLists::asks() const { return pushed_ || asking_.asks(bootTime()); }

void FleetLists::dutyChanged(const duty::Key& key, bool owns) {
  if (key != kList && key != kStandby) return;
  // The heir has become the owner; another one is to stand by.
  if (key == kList && owns && member_->owns(kStandby)) member_->giveBack(kStandby, false);
  asking_.onDuty(member_->owns(kList) || member_->owns(kStandby));
  failingSince_.reset();
  decide();
  if (key == kList && owns) hand();
}

void FleetLists::aloneChanged() {
  asking_.onAlone(member_->alone(), bootTime(), member_->members(), !held_.hosts.empty(),
                  std::uniform_real_distribution<double>(0, 1)(random_));
  decide();
}

// Danger: a watch that goes on beside the owner's lists is only load, but one that is stopped before a list
// came would leave the gateway with nobody to hear from; so it is stopped when an order is taken (ordered()).
void FleetLists::decide() {
  if (asks()) {
    if (std::exchange(watching_, true)) return;
    if (gate_.held()) discovery_.knows(gate_.held()->version);
    return discovery_.watch();
  }
  if (const auto at = asking_.at()) {
    timer_.expires_after(std::max(*at - bootTime(), duty::Time(1)));
    timer_.async_wait(lifetime_.guard([this](error_code ec) {
      if (!ec) decide();
    }));
  }
}

void FleetLists::subscribe() {
  if (!asks()) return;
  watching_ = true;
  discovery_.watch();
}

void FleetLists::doubted() {
  if (asks()) discovery_.verify();
}

// One call of each member on the new one, as without a fleet; whoever does not ask hears the owner from there
// on.
void FleetLists::moveTo(const boost::asio::ip::tcp::endpoint& source) {
  const std::string before = std::exchange(source_, textOf(source));
  if (before == source_) return;
  gate_.move(before, source_);
  watching_ = true;
  discovery_.moveTo(source);
}

void FleetLists::discoveryFailed() {
  if (!failingSince_) failingSince_ = bootTime();
  if (bootTime() - *failingSince_ < kFailMost) return;
  for (const duty::Key& key : {kList, kStandby})
    if (member_->owns(key)) member_->giveBack(key, true);
}

// --- Lists ------------------------------------------------------------------------------------------------

void FleetLists::merge(const HostList& list) {
  if (list.full) {
    held_ = list;
    return;
  }
  held_.version = list.version;
  for (const ListedHost& host : list.hosts) {
    const auto known = std::find_if(held_.hosts.begin(), held_.hosts.end(),
                                    [&](const auto& h) { return h.uid == host.uid; });
    if (host.state == HostState::gone) {
      if (known != held_.hosts.end()) held_.hosts.erase(known);
    } else if (known != held_.hosts.end()) {
      *known = host;
    } else {
      held_.hosts.push_back(host);
    }
  }
}

void FleetLists::fromDiscovery(const HostList& list) {
  failingSince_.reset();
  // What only says that nothing has changed is no news to the others.
  const bool news = !gate_.held() || list.full || !list.hosts.empty();
  gate_.tell(source_, list.version);
  merge(list);
  if (news) journal_.line("list-told", {{"version", list.version}, {"hosts", held_.hosts.size()}});
  told_(list);
  if (news) hand();
}

// To all, by whoever owns the list; what is held may also have come from the last owner.
void FleetLists::hand() {
  if (!ownsList() || !gate_.held()) return;
  json body = toJson(held_);
  body["source"] = gate_.held()->source;
  body["era"] = gate_.held()->era;
  if (member_->order(kList, body.dump(), true)) ++handed_;
}

void FleetLists::ordered(const fleet::Order& order) {
  if (order.id.key != kList || order.id.from == member_->self()) return;
  try {
    const json body = json::parse(order.body);
    HostList list = parseHostList(body);
    const fleet::ListMark mark{body.value("source", ""), body.value("era", std::uint64_t{0}), list.version};
    list.full = true;
    if (!gate_.take(mark)) {
      ++passedOver_;
      journal_.order("list-passed-over", order.id,
                     {{"version", list.version}, {"held", gate_.held()->version}});
      asking_.onPassedOver(bootTime(), member_->members(),
                           std::uniform_real_distribution<double>(0, 1)(random_));
      return decide();
    }
    ++taken_;
    asking_.onTaken(member_->alone());
    merge(list);
    journal_.order("list-taken", order.id, {{"version", list.version}, {"hosts", list.hosts.size()}});
    if (!asks() && std::exchange(watching_, false)) discovery_.stop();
    told_(held_);
  } catch (const std::exception& bad) {  // of another version, or nonsense: the list held stays
    journal_.order("list-unreadable", order.id, {{"why", bad.what()}});
  }
}

std::vector<std::pair<std::string, std::uint64_t>> FleetLists::figures() const {
  return {{"fleet.alone", member_->alone()},
          {"fleet.joined", member_->joined()},
          {"fleet.members", member_->members()},
          {"fleet.owns_list", ownsList()},
          {"fleet.asks_discovery", asks()},
          {"fleet.orders_refused", member_->refusedOrders()},
          {"fleet.hosts_left_to_others", probing_->leftToOthers()},
          {"fleet.probes", probing_->probes()},
          {"fleet.lists_taken", taken_},
          {"fleet.lists_passed_over", passedOver_},
          {"fleet.lists_handed", handed_}};
}

}  // namespace cairnjunction
