// The keepers' side of the links.
#include "fleet/coordinator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"
#include "lease/codec.hpp"

namespace cairnjunction::fleet {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

// How often the leader looks for what is free: the part of "without an owner" that is up to it.
constexpr std::chrono::milliseconds kTurn{25};
// A key is moved to a member that owns less only so often: each move is a moment without an owner.
constexpr lease::Duration kSpreadEvery{1000};
constexpr std::chrono::milliseconds kAcceptAgain{100};

}  // namespace

void LeaseStateMachine::apply(std::string_view entry) {
  try {
    last_ = registry_.apply(lease::decode(entry));
  } catch (const std::invalid_argument&) {  // of another format; passed over, by all keepers alike
    last_ = {lease::RejectionReason::invalid, {}};
  }
}

struct Coordinator::Session {
  std::shared_ptr<Link> link;
  lease::Member member;  // no name: not greeted yet
  std::string zone;
  bool willing = false, joined = false, gone = false;
  std::optional<lease::BootTime> stamp;  // of its last beat
};

Coordinator::Coordinator(boost::asio::io_context& io, const Settings& settings, int number,
                         consensus::VoterIdentity& identity, LeaseStateMachine& machine, EventLog& journal)
    : io_(io),
      settings_(settings),
      number_(number),
      identity_(identity),
      machine_(machine),
      journal_(journal),
      acceptor_(io, settings.coordinator(number)->address),
      turnTimer_(io),
      acceptAgain_(io) {
  accept();
}

Coordinator::~Coordinator() {
  for (const SessionPtr& session : sessions_) session->link->abandon();
}

void Coordinator::serve(consensus::ReplicatedLog& log) {
  log_ = &log;
  log.onLeadershipChange(lifetime_.guard([this] { leadChanged(); }));
}

void Coordinator::stop() {
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  turnTimer_.cancel();
  log_ = nullptr;
  for (const SessionPtr& session : std::set<SessionPtr>(sessions_)) {
    session->link->send(NotLeader{});
    session->link->finish(LinkEnd::stopped);
  }
}

void Coordinator::accept() {
  acceptor_.async_accept(lifetime_.guard([this](error_code ec, tcp::socket socket) {
    if (stopping_) return;
    if (ec) {  // out of descriptors, say
      acceptAgain_.expires_after(kAcceptAgain);
      acceptAgain_.async_wait(lifetime_.guard([this](error_code stopped) {
        if (!stopped) accept();
      }));
      return;
    }
    if (sessions_.size() < kLinksMost) {
      const auto session = std::make_shared<Session>();
      Link::Limits limits;
      limits.receiveTimeout = settings_.isolatedAfter;
      std::weak_ptr<Session> weak = session;
      session->link = Link::accepted(io_, std::move(socket), limits,
                                     {nullptr, lifetime_.guard([this, weak](const Message& message) {
                                        if (const auto s = weak.lock()) heard(s, message);
                                      }),
                                      lifetime_.guard([this, weak](LinkEnd end, const std::string& why) {
                                        if (const auto s = weak.lock()) ended(s, end, why);
                                      })});
      sessions_.insert(session);
    }
    accept();
  }));
}

void Coordinator::heard(const SessionPtr& session, const Message& message) {
  std::visit(
      [&](const auto& m) {
        using T = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<T, JoinRequest> || std::is_same_v<T, VoterHandshakeRequest>) {
          on(session, m);
        } else if constexpr (std::is_same_v<T, Heartbeat> || std::is_same_v<T, ReleaseLease> ||
                             std::is_same_v<T, Command> || std::is_same_v<T, Leave>) {
          if (session->joined) on(session, m);  // else: written before it read that it was turned away
        } else {
          turnAway(session, "a keeper's word from a member");
        }
      },
      message);
}

void Coordinator::ended(const SessionPtr& session, LinkEnd end, const std::string& why) {
  session->gone = true;
  sessions_.erase(session);
  const auto it = members_.find(session->member.name);
  if (it == members_.end() || it->second != session) return;
  members_.erase(it);
  journal_.line("member-link-ended", {{"name", session->member.name}, {"end", nameOf(end)}, {"why", why}});
}

void Coordinator::turnAway(const SessionPtr& session, const std::string& why) {
  ++turnedAway_;
  journal_.line("turned-away", {{"name", session->member.name}, {"why", why}});
  session->link->send(JoinRejected{why});
  session->link->finish(LinkEnd::stopped);
}

// --- Greetings --------------------------------------------------------------------------------------------

void Coordinator::on(const SessionPtr& session, const VoterHandshakeRequest& hello) {
  if (hello.protocol != kProtocol || hello.fleet != settings_.fleet || !settings_.coordinator(hello.number) ||
      hello.number == number_)
    return turnAway(session, "keeper " + std::to_string(hello.number) + " of fleet '" + hello.fleet +
                                 "', protocol " + std::to_string(hello.protocol) + ": not one of ours");
  const std::string why = consensus::rejectionText(identity_.checkPeer(hello.number, hello.mark));
  journal_.line(why.empty() ? "keeper-greeted" : "keeper-turned-away",
                {{"number", hello.number}, {"starts", hello.mark.startCount}, {"why", why}});
  session->link->send(VoterHandshakeResponse{number_, identity_.own(), why});
  session->link->finish(LinkEnd::stopped);
}

void Coordinator::on(const SessionPtr& session, const JoinRequest& hello) {
  if (session->joined || !session->member.name.empty()) return turnAway(session, "it greeted twice");
  session->member = hello.member;
  session->zone = hello.zone;
  session->willing = hello.willing;
  if (hello.protocol != kProtocol)
    return turnAway(session, "protocol " + std::to_string(hello.protocol) + ", this keeper speaks " +
                                 std::to_string(kProtocol));
  if (hello.fleet != settings_.fleet)
    return turnAway(session, "a member of fleet '" + hello.fleet + "', this is '" + settings_.fleet + "'");
  if (!isLeader()) {
    session->link->send(NotLeader{log_ ? log_->leader() : 0});
    return session->link->finish(LinkEnd::notLeader);
  }
  const auto known = members_.find(hello.member.name);
  if (known != members_.end() && known->second->member != hello.member)
    return turnAway(session, "the name '" + hello.member.name + "' is in use by another process");
  if (known != members_.end()) known->second->link->close(LinkEnd::notLeader);  // it dialled anew
  members_[hello.member.name] = session;
  propose(lease::MemberJoined{hello.member, hello.zone}, [this, session](const lease::ApplyResult& outcome) {
    if (session->gone) return;
    if (outcome.rejection != lease::RejectionReason::none)
      return turnAway(session, std::string(lease::nameOf(outcome.rejection)));
    welcome(session);
  });
}

// After the member's own `joined` on the log: it names every epoch that was granted before.
void Coordinator::welcome(const SessionPtr& session) {
  session->joined = true;
  JoinResponse word{number_, static_cast<std::uint32_t>(members_.size()), {}};
  for (const auto& [key, holding] : machine_.registry().holdings())
    // The last order that its owner told of is still due to this member.
    word.marks[key] =
        lease::FencingGate::FencingMark{holding.epoch, holding.sequence, {}}.withoutLastCommand();
  session->link->send(word);
  for (const auto& [key, kept] : kept_) session->link->send(kept.frame);
  journal_.line("member-joined", {{"name", session->member.name},
                                  {"incarnation", session->member.incarnation},
                                  {"zone", session->zone}});
}

// --- Duties -----------------------------------------------------------------------------------------------

void Coordinator::on(const SessionPtr& session, const Heartbeat& beat) {
  session->stamp = beat.sentAt;
  if (beat.held.empty())
    return session->link->send(HeartbeatResponse{static_cast<std::uint32_t>(members_.size()), {}, {}});
  // By lease: one renewal on the log for all keys that have the same.
  std::map<lease::Duration, std::vector<lease::LeasesRenewed::Held>> byLease;
  std::vector<std::pair<lease::LeaseKey, lease::Epoch>> strange;
  for (const auto& held : beat.held) {
    if (const lease::TaskSpec* spec = settings_.taskSpec(held.key.task))
      byLease[spec->leaseDuration].push_back(held);
    else strange.emplace_back(held.key, held.epoch);
  }
  if (!strange.empty())
    session->link->send(HeartbeatResponse{static_cast<std::uint32_t>(members_.size()), {}, strange});
  for (const auto& [lease, held] : byLease)
    propose(
        lease::LeasesRenewed{session->member, held, lease},
        [this, session, held = held, lease = lease, stamp = beat.sentAt](const lease::ApplyResult& outcome) {
          if (session->gone) return;
          HeartbeatResponse pulse{static_cast<std::uint32_t>(members_.size()), {}, {}};
          for (const auto& h : held) {
            const bool kept = std::any_of(outcome.held.begin(), outcome.held.end(),
                                          [&](const auto& o) { return o.key == h.key; });
            if (kept) pulse.granted.push_back({h.key, h.epoch, h.sequence, stamp, lease});
            else pulse.lost.emplace_back(h.key, h.epoch);
          }
          session->link->send(pulse);
        });
}

void Coordinator::on(const SessionPtr& session, const ReleaseLease& back) {
  propose(lease::LeaseReleased{back.key, back.epoch, session->member, back.failed},
          [this, session, back](const lease::ApplyResult& outcome) {
            if (outcome.rejection != lease::RejectionReason::none) return;
            json fields = fieldsOf(back.key);
            fields.update({{"name", session->member.name}, {"epoch", back.epoch}, {"failed", back.failed}});
            journal_.line("given-back", fields);
            grantWhatIsFree();
          });
}

void Coordinator::on(const SessionPtr& session, const Leave&) {
  session->willing = false;
  propose(lease::MemberLeft{session->member}, [this, session](const lease::ApplyResult&) {
    journal_.line("member-left", {{"name", session->member.name}});
    // It serves on for a while, and so goes on hearing orders.
    if (!session->gone) session->link->send(Leave{});
    grantWhatIsFree();
  });
}

Coordinator::SessionPtr Coordinator::sessionOf(const lease::Member& member) const {
  const auto it = members_.find(member.name);
  return it != members_.end() && it->second->member == member && it->second->joined ? it->second : nullptr;
}

void Coordinator::grantWhatIsFree() {
  if (!isLeader() || logNow() - base_ < settings_.leaderSettleTime) return;
  std::vector<lease::Candidate> candidates;
  for (const auto& [name, session] : members_)
    if (session->joined && session->willing && session->stamp) candidates.push_back({session->member});
  for (const lease::LeaseGranted& grant :
       lease::assignLeases(machine_.registry(), settings_.tasks, candidates, logNow())) {
    const SessionPtr session = sessionOf(grant.member);
    if (!session || !granting_.insert(grant.key).second) continue;
    // Danger: the stamp that the keeper has read before it grants, not one that comes while the log is
    // written.
    const lease::BootTime askedAt = *session->stamp;
    const lease::LeaseRecord* before = machine_.registry().find(grant.key);
    const auto why = !before                        ? lease::LeaseChangeReason::vacant
                     : !before->holder.name.empty() ? lease::LeaseChangeReason::expired
                                                    : before->reason;
    propose(grant, [this, grant, session, askedAt, why](const lease::ApplyResult& outcome) {
      granting_.erase(grant.key);
      if (outcome.held.empty()) return;
      json fields = fieldsOf(grant.key);
      fields.update({{"name", grant.member.name},
                     {"incarnation", grant.member.incarnation},
                     {"epoch", outcome.held[0].epoch},
                     {"why", lease::nameOf(why)}});
      journal_.line("granted", fields);
      if (session->gone) return;
      HeartbeatResponse pulse{static_cast<std::uint32_t>(members_.size()), {}, {}};
      pulse.granted.push_back({grant.key, outcome.held[0].epoch, 0, askedAt, grant.leaseDuration});
      session->link->send(pulse);
    });
  }
}

// One key at a time goes from the member that owns most to where there are at least two fewer.
void Coordinator::spread() {
  if (logNow() < spreadAt_) return;
  spreadAt_ = logNow() + kSpreadEvery;
  SessionPtr most, least;
  std::size_t mostHeld = 0, leastHeld = 0;
  for (const auto& [name, session] : members_) {
    if (!session->joined || !session->willing || !session->stamp) continue;
    const std::size_t held = machine_.registry().held(session->member, logNow());
    if (!most || held > mostHeld) most = session, mostHeld = held;
    if (!least || held < leastHeld) least = session, leastHeld = held;
  }
  if (!most || mostHeld < leastHeld + 2) return;
  for (const auto& [key, holding] : machine_.registry().holdings()) {
    const lease::TaskSpec* spec = settings_.taskSpec(key.task);
    if (holding.holder != most->member || !holding.heldAt(logNow()) || !spec || spec->shards < 2) continue;
    most->link->send(TransferLease{key, holding.epoch});
    return;
  }
}

bool Coordinator::transfer(const lease::LeaseKey& key) {
  const lease::LeaseRecord* holding = machine_.registry().find(key);
  if (!isLeader() || !holding || !holding->heldAt(logNow())) return false;
  const SessionPtr session = sessionOf(holding->holder);
  if (!session) return false;
  session->link->send(TransferLease{key, holding->epoch});
  return true;
}

// --- Orders -----------------------------------------------------------------------------------------------

// Passed on as they are: whether one is too old is judged where it would have an effect, and nowhere else.
void Coordinator::on(const SessionPtr& session, const Command& order) {
  if (order.token.holder != session->member) return turnAway(session, "an order under another member's name");
  ++orders_;
  const Bytes frame = encode(order);
  if (order.retained) {
    Kept& kept = kept_[order.token.key];
    const auto age = [](const lease::FencingToken& id) { return std::pair(id.epoch, id.sequence); };
    const std::size_t old = kept.frame ? kept.frame->size() : 0;
    const bool room = kept_.size() <= lease::kKeysMost && keptBytes_ - old + frame->size() <= kKeptMost;
    if (room && (!kept.frame || age(order.token) > age(kept.id))) {
      keptBytes_ += frame->size() - old;
      kept = {order.token, frame};
    } else if (!kept.frame) {
      kept_.erase(order.token.key);
    }
  }
  // A slow one may end by this, which takes it out of the map.
  for (const auto& [name, to] : std::map<std::string, SessionPtr>(members_))
    if (to != session && to->joined) to->link->send(frame);
}

// --- The lead ---------------------------------------------------------------------------------------------

lease::LogTime Coordinator::logNow() const { return base_ + (bootTime() - baseAt_); }

void Coordinator::leadChanged() {
  if (stopping_ || isLeader() == leading_) return;
  leading_ = isLeader();
  journal_.line(leading_ ? "leads" : "leads-no-more", {{"leader", log_->leader()}});
  if (leading_) {
    // The machine has applied all that was committed before: the log's time goes on from there, from now.
    base_ = spreadAt_ = machine_.registry().now();
    baseAt_ = bootTime();
    return turn();
  }
  turnTimer_.cancel();
  granting_.clear();
  kept_.clear();
  keptBytes_ = 0;
  for (const SessionPtr& session : std::set<SessionPtr>(sessions_)) {
    session->link->send(NotLeader{0});
    session->link->finish(LinkEnd::notLeader);
  }
}

void Coordinator::turn() {
  if (!leading_ || stopping_) return;
  grantWhatIsFree();
  spread();
  turnTimer_.expires_after(kTurn);
  turnTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) turn();
  }));
}

void Coordinator::propose(lease::Change change, std::function<void(const lease::ApplyResult&)> done) {
  if (!log_) return;
  log_->propose(lease::encode({logNow(), std::move(change)}),
                lifetime_.guard([this, done = std::move(done)](bool committed) {
                  if (committed) done(machine_.last());
                }));
}

// --- Operators --------------------------------------------------------------------------------------------

json Coordinator::status() const {
  json members = json::array();
  for (const auto& [name, session] : members_)
    if (session->joined)
      members.push_back({{"name", name},
                         {"zone", session->zone},
                         {"willing", session->willing},
                         {"owns", machine_.registry().held(session->member, logNow())},
                         {"bytes_in", session->link->bytesIn()},
                         {"bytes_out", session->link->bytesOut()}});
  return {{"fleet", settings_.fleet},   {"keeper", number_},
          {"leads", isLeader()},        {"leader", log_ ? log_->leader() : 0},
          {"votes", log_ != nullptr},   {"orders_passed_on", orders_},
          {"turned_away", turnedAway_}, {"members", members}};
}

json Coordinator::leases() const {
  json rows = json::array();
  // A keeper that does not lead has no count of the log's time of its own: what it says is of the last entry.
  const lease::LogTime now = isLeader() ? logNow() : machine_.registry().now();
  for (const auto& [key, holding] : machine_.registry().holdings()) {
    const bool held = holding.heldAt(now);
    json row = fieldsOf(key);
    row.update({{"owner", held ? json(holding.holder.name) : json(nullptr)},
                {"epoch", holding.epoch},
                {"left_ms", held ? (holding.expiresAt - now).count() : 0}});
    if (!held) row["why"] = lease::nameOf(holding.reason);
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace cairnjunction::fleet
