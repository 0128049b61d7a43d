// A member's side of the fleet.
#include "fleet/member.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {
namespace {

using boost::system::error_code;
using lease::BootTime;
using lease::LeaseKey;
using nlohmann::json;
using std::chrono::milliseconds;

json fieldsOf(const LeaseKey& key, lease::Epoch epoch) {
  json fields = fleet::fieldsOf(key);
  fields["epoch"] = epoch;
  return fields;
}

std::uint64_t drawnSeed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32 | random();
}

}  // namespace

Member::Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
               EventLog& journal)
    : io_(io),
      settings_(settings),
      self_{name, drawnSeed() >> 1 | 1},
      events_(std::move(events)),
      journal_(journal),
      file_(settings.disk),
      dialTimer_(io),
      beatTimer_(io),
      tenureTimer_(io),
      aloneTimer_(io),
      leaveTimer_(io),
      random_(drawnSeed()),
      members_(settings.members) {
  std::map<LeaseKey, lease::FencingGate::FencingMark> marks;
  // What the disk knows is learned before the first order. Whoever has no disk waits for the keepers' word.
  if (file_.read(marks)) {
    for (auto& [key, mark] : marks) mark = mark.withoutLastCommand();
    fence_.learn(marks);
  }
  durable_ = marks;
  if (file_.kept()) disk_ = std::make_unique<boost::asio::thread_pool>(1);
  nextKeeper_ = random_() % settings_.coordinators.size();
  heardAt_ = bootTime();
  journal_.line("started", {{"incarnation", self_.incarnation}, {"marks", marks.size()}});
  watchAlone();
  dial();
}

Member::~Member() {
  if (disk_) disk_->join();
  if (link_) link_->abandon();
}

milliseconds Member::drawn(milliseconds least, milliseconds most) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(least.count(), std::max(least, most).count())(random_));
}

// --- The link ---------------------------------------------------------------------------------------------

void Member::dial() {
  const CoordinatorAddress* to = hinted_ ? settings_.coordinator(hinted_) : nullptr;
  hinted_ = 0;
  if (!to) to = &settings_.coordinators[nextKeeper_++ % settings_.coordinators.size()];
  dialling_ = to->number;
  Link::Limits limits;
  limits.receiveTimeout = settings_.isolatedAfter;
  link_ = Link::dial(io_, to->address, limits,
                     {[this] {
                        link_->send(JoinRequest{kProtocol, settings_.fleet, self_, settings_.zone,
                                                settings_.eligible && !leaving_});
                      },
                      [this](const Message& message) { heard(message); },
                      [this](LinkEnd end, const std::string& why) { ended(end, why); }});
}

void Member::dialLater(milliseconds most) {
  dialTimer_.expires_after(drawn(most / 2, most));
  dialTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) dial();
  }));
}

void Member::ended(LinkEnd end, const std::string& why) {
  const bool had = std::exchange(joined_, false);
  beatTimer_.cancel();
  link_ = nullptr;
  const std::string text = std::string(nameOf(end)) + (why.empty() ? "" : ": " + why);
  if (had || text != lastEnd_) journal_.line("link-ended", {{"keeper", dialling_}, {"end", text}});
  lastEnd_ = text;
  if (leaving_) left();
  if (had) {
    failures_ = 0;
    return dialLater(kSpread);
  }
  // A hint is followed soon; without one the next keeper is tried, ever later.
  ++failures_;
  const milliseconds wait = std::min(kDialFirst * (1 << std::min(failures_ / 2, 10)), kDialLast);
  dialLater(end == LinkEnd::rejected ? kDialLast : wait);
}

void Member::heard(const Message& message) {
  if (const auto* welcome = std::get_if<JoinResponse>(&message)) on(*welcome);
  else if (const auto* pulse = std::get_if<HeartbeatResponse>(&message)) on(*pulse);
  else if (const auto* order = std::get_if<Command>(&message)) on(*order);
  else if (const auto* word = std::get_if<TransferLease>(&message)) on(*word);
  else if (std::holds_alternative<Leave>(message)) left();
  else if (const auto* moved = std::get_if<NotLeader>(&message)) {
    if (moved->leader != dialling_) hinted_ = moved->leader;
    link_->close(LinkEnd::notLeader);
  } else if (const auto* away = std::get_if<JoinRejected>(&message)) {
    link_->close(LinkEnd::rejected, away->reason);
  } else {
    link_->close(LinkEnd::badFrame, "a member's word from a keeper");
  }
}

void Member::on(const JoinResponse& welcome) {
  joined_ = true;
  failures_ = 0;
  members_ = std::max<std::uint32_t>(welcome.members, 1);
  fence_.learn(welcome.marks);
  journal_.line("joined", {{"keeper", welcome.coordinator}, {"incarnation", self_.incarnation}});
  heardKeeper();
  beat();
  events_.onJoined();
}

// --- Alone or not -----------------------------------------------------------------------------------------

void Member::heardKeeper() {
  heardAt_ = bootTime();
  if (!std::exchange(alone_, false)) return;
  journal_.line("heard-again");
  events_.onIsolationChange();
}

void Member::watchAlone() {
  aloneTimer_.expires_after(std::max(heardAt_ + settings_.isolatedAfter - bootTime(), milliseconds(10)));
  aloneTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (ec) return;
    if (!alone_ && bootTime() >= heardAt_ + settings_.isolatedAfter) {
      alone_ = true;
      journal_.line("alone", {{"last_end", lastEnd_}});
      events_.onIsolationChange();
    }
    if (alone_) heardAt_ = bootTime();  // nothing to tell until it is heard again
    watchAlone();
  }));
}

// --- What it owns -----------------------------------------------------------------------------------------

void Member::beat() {
  if (!joined_ || !link_) return;
  // Before the question is written: the lease counts from here.
  const BootTime now = bootTime();
  Heartbeat word{now, {}};
  for (const auto& [key, tenure] : tenures_)
    if (tenure.isValid(now)) word.held.push_back({key, tenure.epoch(), tenure.sequence()});
  link_->send(word);
  beatAt(now + settings_.heartbeatInterval);
}

void Member::beatAt(BootTime at) {
  beatTimer_.expires_after(std::max(at - bootTime(), milliseconds(0)));
  beatTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) beat();
  }));
}

void Member::on(const HeartbeatResponse& pulse) {
  if (!joined_) return;
  members_ = std::max<std::uint32_t>(pulse.members, 1);
  heardKeeper();
  for (const auto& [key, epoch] : pulse.lost) lost(key, epoch, "taken away");
  for (const LeaseGrant& grant : pulse.granted) granted(grant);
  watchTenures();
}

void Member::granted(const LeaseGrant& grant) {
  if (leaving_) return;
  lease::HeldLease& tenure = tenures_[grant.key];
  const lease::Epoch before = tenure.epoch();
  tenure.granted(grant.epoch, grant.sequence, grant.askedAt, grant.leaseDuration);
  if (!tenure.isValid(bootTime()) || tenure.epoch() != grant.epoch) return;
  if (active_.count(grant.key) && active_[grant.key] != grant.epoch)
    lost(grant.key, active_[grant.key], "older");
  if (grant.epoch == before || active_.count(grant.key)) return;
  active_[grant.key] = grant.epoch;
  journal_.line("duty-begun", fieldsOf(grant.key, grant.epoch));
  beatAt(bootTime());  // its lease counts from a beat of some time ago
  events_.onLeaseChange(grant.key, true);
}

void Member::lost(const LeaseKey& key, lease::Epoch epoch, const char* why) {
  const auto it = active_.find(key);
  if (it == active_.end() || it->second != epoch) return;
  if (tenures_[key].epoch() == epoch) tenures_[key].end();
  active_.erase(it);
  json fields = fieldsOf(key, epoch);
  fields["why"] = why;
  journal_.line("duty-ended", fields);
  events_.onLeaseChange(key, false);
}

// A lease that nobody renewed ends here by this member's own clock, whether or not anything is heard.
void Member::watchTenures() {
  BootTime next = BootTime::max();
  for (const auto& [key, epoch] : active_) next = std::min(next, tenures_[key].until());
  if (next == BootTime::max()) return;
  tenureTimer_.expires_after(std::max(next - bootTime(), milliseconds(0)));
  tenureTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (ec) return;
    const BootTime now = bootTime();
    for (const auto& [key, epoch] : std::map<LeaseKey, lease::Epoch>(active_))
      if (!tenures_[key].isValid(now)) lost(key, epoch, "its lease ended");
    watchTenures();
  }));
}

bool Member::holds(const LeaseKey& key) const {
  const auto it = tenures_.find(key);
  return it != tenures_.end() && it->second.isValid(bootTime());
}

void Member::release(const LeaseKey& key, bool failed) {
  const auto it = active_.find(key);
  if (it == active_.end()) return;
  const lease::Epoch epoch = it->second;
  // Ended here first, so that nothing is sent under it once the keeper may grant it.
  lost(key, epoch, failed ? "given back: it can't be done here" : "given back");
  if (link_ && joined_) link_->send(ReleaseLease{key, epoch, failed});
}

void Member::on(const TransferLease& word) {
  const auto it = active_.find(word.key);
  if (it != active_.end() && it->second == word.epoch) release(word.key, false);
}

// It owns nothing from here on, and goes on hearing orders.
void Member::leave(std::function<void()> done) {
  if (leaving_) return;
  leaving_ = true;
  for (const auto& [key, epoch] : std::map<LeaseKey, lease::Epoch>(active_)) lost(key, epoch, "it stops");
  if (!link_ || !joined_) return done();
  left_ = std::move(done);
  link_->send(Leave{});
  leaveTimer_.expires_after(kLeaveMost);
  leaveTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) left();
  }));
}

void Member::left() {
  leaveTimer_.cancel();
  if (left_) std::exchange(left_, nullptr)();
}

// --- Orders -----------------------------------------------------------------------------------------------

// Danger: the mark is on the disk before the effect, or there is no effect. The disk is waited for by a
// thread of its own: the event loop serves calls.
void Member::keepThen(Command order) {
  if (!disk_) {
    journal_.order("order-taken", order.token);
    return events_.onCommand(order);
  }
  boost::asio::post(*disk_, [this, file = file_, marks = fence_.marks(), order = std::move(order),
                             done = lifetime_.guard([this](bool kept, const auto& on, const Command& taken) {
                               if (!kept) return diskFailed(taken);
                               durable_ = on;
                               tellsDisk_ = true;
                               journal_.order("order-taken", taken.token);
                               events_.onCommand(taken);
                             })]() mutable {
    const bool kept = file.write(marks);
    boost::asio::post(io_, [done = std::move(done), kept, marks = std::move(marks),
                            order = std::move(order)]() mutable { done(kept, marks, order); });
  });
}

// As if it had not come. The keeper gives the last orders again to whoever joins.
void Member::diskFailed(const Command& order) {
  if (std::exchange(tellsDisk_, false))
    journal_.order("order-not-taken", order.token, {{"why", "the disk failed"}});
  fence_.rollBack(durable_);
  if (link_) link_->close(LinkEnd::stopped, "the disk failed");
}

bool Member::sendCommand(const LeaseKey& key, std::string body, bool keep) {
  if (!joined_ || !link_ || !active_.count(key)) return false;
  const auto id = tenures_[key].nextToken(key, self_, bootTime());
  if (!id || fence_.admit(*id) != lease::FencingResult::accepted) return false;
  Command order{*id, keep, std::move(body)};
  journal_.order("order-sent", *id);
  link_->send(order);
  keepThen(std::move(order));
  return true;
}

void Member::on(const Command& order) {
  const lease::FencingResult verdict = fence_.admit(order.token);
  if (verdict == lease::FencingResult::accepted) return keepThen(order);
  // The last one again: it is given to whoever joins anew.
  const auto mark = fence_.marks().find(order.token.key);
  const bool seen = mark != fence_.marks().end();
  if (seen && mark->second.epoch == order.token.epoch && mark->second.sequence == order.token.sequence)
    return;
  const bool room =
      toldRefused_.count(order.token.key) || toldRefused_.size() < lease::FencingGate::kKeysMost;
  if (!room || std::exchange(toldRefused_[order.token.key], order.token.epoch) == order.token.epoch) return;
  journal_.order("order-refused", order.token,
                 {{"why", lease::nameOf(verdict)}, {"seen_epoch", seen ? mark->second.epoch : 0}});
}

}  // namespace cairnjunction::fleet
