#include "app/fleet_endpoint_lists.hpp"

#include <algorithm>

#include "fleet/boot_clock.hpp"

namespace cairnjunction {
namespace {

using fleet::bootTime;
using fleet::Event;

lease::LeaseKey listKey() { return {kListTask, 0}; }
lease::LeaseKey standbyKey() { return {kStandbyTask, 0}; }

}  // namespace

FleetEndpointLists::FleetEndpointLists(boost::asio::io_context& io, const fleet::Settings& settings,
                                       const std::string& name, DiscoveryClient& discovery, Engine& engine,
                                       const boost::asio::ip::tcp::endpoint& source,
                                       const std::optional<EndpointList>& known, bool pushed,
                                       std::function<void(const EndpointList&)> applyList)
    : discovery_(discovery),
      applyList_(std::move(applyList)),
      log_(settings.log, fleet::EventLog::Role::member, name),
      source_(textOf(source)),
      pushed_(pushed),
      pollTimer_(io) {
  if (known) {
    held_ = *known;
    filter_.onOwnList(source_, known->version);
  }
  member_ = std::make_unique<fleet::Member>(io, settings, name, memberEvents(), log_);
  const lease::TaskSpec* probe = settings.taskSpec(kProbeTask);
  probing_ = std::make_unique<FleetProbing>(io, engine, *member_, probe ? probe->shards : 0,
                                            [this](const lease::LeaseKey& key, std::string body) {
                                              return member_->sendCommand(key, std::move(body), false);
                                            });
}

fleet::Member::Events FleetEndpointLists::memberEvents() {
  fleet::Member::Events events;
  events.onLeaseChange = [this](const lease::LeaseKey& key, bool holds) { onLeaseChange(key, holds); };
  events.onCommand = [this](const fleet::Command& command) { onCommand(command); };
  // The leader may be another one than before, which has no list to send to members that join.
  events.onJoined = [this] { sendList(); };
  events.onIsolationChange = [this] { onIsolationChange(); };
  return events;
}

// --- Who calls discovery

bool FleetEndpointLists::pollsDiscovery() const { return pushed_ || polling_.shouldPoll(bootTime()); }

void FleetEndpointLists::onLeaseChange(const lease::LeaseKey& key, bool holds) {
  if (key != listKey() && key != standbyKey()) return;
  // The standby has become the holder: another member is to stand by.
  if (key == listKey() && holds && member_->holds(standbyKey())) member_->release(standbyKey(), false);
  polling_.onLeaseChange(member_->holds(listKey()) || member_->holds(standbyKey()));
  failingSince_.reset();
  updateWatch();
  if (key == listKey() && holds) sendList();
}

void FleetEndpointLists::onIsolationChange() {
  polling_.onIsolationChange(member_->isIsolated(), bootTime(), member_->memberCount(),
                             !held_.endpoints.empty(), draw());
  updateWatch();
}

// Begins to watch discovery, now or later. A watch is not ended here: until a list of the lease holder has
// come, the gateway would hear from nobody (acceptList ends it), and meanwhile it costs discovery no more
// than some load.
void FleetEndpointLists::updateWatch() {
  if (pollsDiscovery()) {
    if (std::exchange(watching_, true)) return;
    if (filter_.currentVersion()) discovery_.setKnownVersion(filter_.currentVersion()->version);
    return discovery_.watch();
  }
  if (const auto at = polling_.pollsAt()) {
    pollTimer_.expires_after(std::max(*at - bootTime(), lease::Duration(1)));
    pollTimer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
      if (!cancelled) updateWatch();
    }));
  }
}

void FleetEndpointLists::subscribe() {
  if (!pollsDiscovery()) return;
  watching_ = true;
  discovery_.watch();
}

void FleetEndpointLists::resync() {
  if (pollsDiscovery()) discovery_.refresh();
}

// Each member calls the new discovery once, as without a fleet; those that don't poll are sent lists from
// there on.
void FleetEndpointLists::moveTo(const boost::asio::ip::tcp::endpoint& source) {
  const std::string before = std::exchange(source_, textOf(source));
  if (before == source_) return;
  filter_.onSourceChange(before, source_);
  watching_ = true;
  discovery_.moveTo(source);
}

void FleetEndpointLists::leave() {
  member_->leave([] {});
}

void FleetEndpointLists::discoveryFailed() {
  if (!failingSince_) failingSince_ = bootTime();
  if (bootTime() - *failingSince_ < kMaxDiscoveryFailure) return;
  for (const lease::LeaseKey& key : {listKey(), standbyKey()})
    if (member_->holds(key)) member_->release(key, true);
}

// --- Lists

bool FleetEndpointLists::holdsList() const { return member_ && member_->holds(listKey()); }

void FleetEndpointLists::merge(const EndpointList& list) {
  if (list.full) {
    held_ = list;
    return;
  }
  held_.version = list.version;
  for (const DiscoveredEndpoint& endpoint : list.endpoints) {
    const auto known = std::find_if(held_.endpoints.begin(), held_.endpoints.end(),
                                    [&](const DiscoveredEndpoint& each) { return each.uid == endpoint.uid; });
    if (endpoint.state == DiscoveredState::gone) {
      if (known != held_.endpoints.end()) held_.endpoints.erase(known);
    } else if (known != held_.endpoints.end()) {
      *known = endpoint;
    } else {
      held_.endpoints.push_back(endpoint);
    }
  }
}

void FleetEndpointLists::fromDiscovery(const EndpointList& list) {
  failingSince_.reset();
  // An answer that only says that nothing has changed is not sent to the others.
  const bool changed = !filter_.currentVersion() || list.full || !list.endpoints.empty();
  filter_.onOwnList(source_, list.version);
  merge(list);
  if (changed)
    log_.write(Event::listReceived, {{"version", list.version}, {"hosts", held_.endpoints.size()}});
  applyList_(list);
  if (changed) sendList();
}

// To all members, as lease holder. The list may also be one that the former holder has sent.
void FleetEndpointLists::sendList() {
  if (!holdsList() || !filter_.currentVersion()) return;
  const std::string body = encode(EndpointListMessage{held_, *filter_.currentVersion()});
  if (member_->sendCommand(listKey(), body, true)) ++sentLists_;
}

// --- Commands of other members

void FleetEndpointLists::onCommand(const fleet::Command& command) {
  if (command.token.holder == member_->self()) return;
  const bool isList = command.token.key == listKey();
  try {
    if (isList) onList(command, parseEndpointListMessage(command.body));
    else if (command.token.key.task == kProbeTask) probing_->onReport(parseProbeReport(command.body));
  } catch (const InvalidCommandBody& invalid) {
    onInvalidCommand(command, isList ? Event::listInvalid : Event::reportInvalid, invalid);
  }
}

// The sender is of another version of this program, or faulty. What is known so far stays.
void FleetEndpointLists::onInvalidCommand(const fleet::Command& command, Event event,
                                          const InvalidCommandBody& invalid) {
  ++invalidCommands_;
  const lease::FencingToken& token = command.token;
  // A holder that repeats its command is logged once. The keys are bounded by those that the fencing gate
  // admits.
  if (std::exchange(loggedInvalidEpochs_[token.key], token.epoch) == token.epoch) return;
  log_.writeCommand(event, token, {{"why", invalid.what()}});
}

void FleetEndpointLists::onList(const fleet::Command& command, const EndpointListMessage& message) {
  if (filter_.accept(message.version)) acceptList(command, message.list);
  else rejectList(command, message.list);
}

void FleetEndpointLists::acceptList(const fleet::Command& command, const EndpointList& list) {
  ++acceptedLists_;
  polling_.onListAccepted(member_->isIsolated());
  merge(list);
  log_.writeCommand(Event::listAccepted, command.token,
                    {{"version", list.version}, {"hosts", list.endpoints.size()}});
  if (!pollsDiscovery() && std::exchange(watching_, false)) discovery_.stop();
  applyList_(held_);
}

void FleetEndpointLists::rejectList(const fleet::Command& command, const EndpointList& list) {
  ++rejectedLists_;
  const std::int64_t heldVersion = filter_.currentVersion() ? filter_.currentVersion()->version : 0;
  log_.writeCommand(Event::listRejected, command.token, {{"version", list.version}, {"held", heldVersion}});
  polling_.onListRejected(bootTime(), member_->memberCount(), draw());
  updateWatch();
}

std::vector<std::pair<std::string, std::uint64_t>> FleetEndpointLists::figures() const {
  return {{"fleet.alone", member_->isIsolated()},
          {"fleet.joined", member_->hasJoined()},
          {"fleet.members", member_->memberCount()},
          {"fleet.owns_list", holdsList()},
          {"fleet.asks_discovery", pollsDiscovery()},
          {"fleet.orders_refused", member_->rejectedCommands()},
          {"fleet.hosts_left_to_others", probing_->leftToOthers()},
          {"fleet.probes", probing_->probes()},
          {"fleet.lists_taken", acceptedLists_},
          {"fleet.lists_passed_over", rejectedLists_},
          {"fleet.lists_handed", sentLists_},
          {"fleet.orders_invalid", invalidCommands_}};
}

}  // namespace cairnjunction
