// The keepers' side of the links.
#include "fleet/keeper.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using duty::Time;
using nlohmann::json;

// How often the leader looks for what is free: the part of "without an owner" that is up to it.
constexpr std::chrono::milliseconds kTurn{25};
// A key is moved to a member that owns less only so often: each move is a moment without an owner.
constexpr Time kSpreadEvery{1000};
constexpr std::chrono::milliseconds kAcceptAgain{100};

}  // namespace

void RegistryMachine::apply(std::string_view entry) {
  try {
    last_ = registry_.apply(duty::decode(entry));
  } catch (const std::invalid_argument&) {  // of another format; passed over, by all keepers alike
    last_ = {duty::Refusal::nonsense, {}};
  }
}

struct Keeper::Session {
  std::shared_ptr<Link> link;
  duty::Member member;  // no name: not greeted yet
  std::string zone;
  bool willing = false, joined = false, gone = false;
  std::optional<std::int64_t> stamp;  // of its last beat
};

Keeper::Keeper(boost::asio::io_context& io, const Settings& settings, int number,
               agreement::Identity& identity, RegistryMachine& machine, Journal& journal)
    : io_(io),
      settings_(settings),
      number_(number),
      identity_(identity),
      machine_(machine),
      journal_(journal),
      acceptor_(io, settings.keeper(number)->address),
      turnTimer_(io),
      acceptAgain_(io) {
  accept();
}

Keeper::~Keeper() {
  for (const SessionPtr& session : sessions_) session->link->drop();
}

void Keeper::serve(agreement::Log& log) {
  log_ = &log;
  log.onChange(lifetime_.guard([this] { leadChanged(); }));
}

void Keeper::stop() {
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  turnTimer_.cancel();
  log_ = nullptr;
  for (const SessionPtr& session : std::set<SessionPtr>(sessions_)) {
    session->link->send(Elsewhere{});
    session->link->finish(LinkEnd::stopped);
  }
}

void Keeper::accept() {
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
      limits.silent = settings_.aloneAfter;
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

void Keeper::heard(const SessionPtr& session, const Message& message) {
  std::visit(
      [&](const auto& m) {
        using T = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<T, Hello> || std::is_same_v<T, KeeperHello>) {
          on(session, m);
        } else if constexpr (std::is_same_v<T, Beat> || std::is_same_v<T, GiveBack> ||
                             std::is_same_v<T, Order> || std::is_same_v<T, Leave>) {
          if (session->joined) on(session, m);  // else: written before it read that it was turned away
        } else {
          turnAway(session, "a keeper's word from a member");
        }
      },
      message);
}

void Keeper::ended(const SessionPtr& session, LinkEnd end, const std::string& why) {
  session->gone = true;
  sessions_.erase(session);
  const auto it = members_.find(session->member.name);
  if (it == members_.end() || it->second != session) return;
  members_.erase(it);
  journal_.line("member-link-ended", {{"name", session->member.name}, {"end", nameOf(end)}, {"why", why}});
}

void Keeper::turnAway(const SessionPtr& session, const std::string& why) {
  ++turnedAway_;
  journal_.line("turned-away", {{"name", session->member.name}, {"why", why}});
  session->link->send(TurnedAway{why});
  session->link->finish(LinkEnd::stopped);
}

// --- Greetings --------------------------------------------------------------------------------------------

void Keeper::on(const SessionPtr& session, const KeeperHello& hello) {
  if (hello.protocol != kProtocol || hello.fleet != settings_.fleet || !settings_.keeper(hello.number) ||
      hello.number == number_)
    return turnAway(session, "keeper " + std::to_string(hello.number) + " of fleet '" + hello.fleet +
                                 "', protocol " + std::to_string(hello.protocol) + ": not one of ours");
  const std::string why = identity_.judge(hello.number, hello.mark);
  journal_.line(why.empty() ? "keeper-greeted" : "keeper-turned-away",
                {{"number", hello.number}, {"starts", hello.mark.starts}, {"why", why}});
  session->link->send(KeeperAnswer{number_, identity_.own(), why});
  session->link->finish(LinkEnd::stopped);
}

void Keeper::on(const SessionPtr& session, const Hello& hello) {
  if (session->joined || !session->member.name.empty()) return turnAway(session, "it greeted twice");
  session->member = hello.member;
  session->zone = hello.zone;
  session->willing = hello.willing;
  if (hello.protocol != kProtocol)
    return turnAway(session, "protocol " + std::to_string(hello.protocol) + ", this keeper speaks " +
                                 std::to_string(kProtocol));
  if (hello.fleet != settings_.fleet)
    return turnAway(session, "a member of fleet '" + hello.fleet + "', this is '" + settings_.fleet + "'");
  if (!leads()) {
    session->link->send(Elsewhere{log_ ? log_->leader() : 0});
    return session->link->finish(LinkEnd::moved);
  }
  const auto known = members_.find(hello.member.name);
  if (known != members_.end() && known->second->member != hello.member)
    return turnAway(session, "the name '" + hello.member.name + "' is in use by another process");
  if (known != members_.end()) known->second->link->close(LinkEnd::moved);  // it dialled anew
  members_[hello.member.name] = session;
  propose(duty::Joined{hello.member, hello.zone}, [this, session](const duty::Outcome& outcome) {
    if (session->gone) return;
    if (outcome.refusal != duty::Refusal::none)
      return turnAway(session, std::string(duty::nameOf(outcome.refusal)));
    welcome(session);
  });
}

// After the member's own `joined` on the log: it names every epoch that was granted before.
void Keeper::welcome(const SessionPtr& session) {
  session->joined = true;
  Welcome word{number_, static_cast<std::uint32_t>(members_.size()), {}};
  for (const auto& [key, holding] : machine_.registry().holdings())
    // The last order that its owner told of is still due to this member.
    word.marks[key] = duty::Fence::Mark{holding.epoch, holding.sequence, {}}.beforeLast();
  session->link->send(word);
  for (const auto& [key, kept] : kept_) session->link->send(kept.frame);
  journal_.line("member-joined", {{"name", session->member.name},
                                  {"incarnation", session->member.incarnation},
                                  {"zone", session->zone}});
}

// --- Duties -----------------------------------------------------------------------------------------------

void Keeper::on(const SessionPtr& session, const Beat& beat) {
  session->stamp = beat.stamp;
  if (beat.held.empty())
    return session->link->send(Pulse{static_cast<std::uint32_t>(members_.size()), {}, {}});
  // By lease: one renewal on the log for all keys that have the same.
  std::map<Time, std::vector<duty::Renewed::Held>> byLease;
  std::vector<std::pair<duty::Key, duty::Epoch>> strange;
  for (const auto& held : beat.held) {
    if (const duty::Spec* spec = settings_.spec(held.key.duty)) byLease[spec->lease].push_back(held);
    else strange.emplace_back(held.key, held.epoch);
  }
  if (!strange.empty()) session->link->send(Pulse{static_cast<std::uint32_t>(members_.size()), {}, strange});
  for (const auto& [lease, held] : byLease)
    propose(duty::Renewed{session->member, held, lease},
            [this, session, held = held, lease = lease, stamp = beat.stamp](const duty::Outcome& outcome) {
              if (session->gone) return;
              Pulse pulse{static_cast<std::uint32_t>(members_.size()), {}, {}};
              for (const auto& h : held) {
                const bool kept = std::any_of(outcome.held.begin(), outcome.held.end(),
                                              [&](const auto& o) { return o.key == h.key; });
                if (kept) pulse.granted.push_back({h.key, h.epoch, h.sequence, stamp, lease.count()});
                else pulse.lost.emplace_back(h.key, h.epoch);
              }
              session->link->send(pulse);
            });
}

void Keeper::on(const SessionPtr& session, const GiveBack& back) {
  propose(duty::Released{back.key, back.epoch, session->member, back.failed},
          [this, session, back](const duty::Outcome& outcome) {
            if (outcome.refusal != duty::Refusal::none) return;
            json fields = fieldsOf(back.key);
            fields.update({{"name", session->member.name}, {"epoch", back.epoch}, {"failed", back.failed}});
            journal_.line("given-back", fields);
            grantWhatIsFree();
          });
}

void Keeper::on(const SessionPtr& session, const Leave&) {
  session->willing = false;
  propose(duty::Left{session->member}, [this, session](const duty::Outcome&) {
    journal_.line("member-left", {{"name", session->member.name}});
    // It serves on for a while, and so goes on hearing orders.
    if (!session->gone) session->link->send(Leave{});
    grantWhatIsFree();
  });
}

Keeper::SessionPtr Keeper::sessionOf(const duty::Member& member) const {
  const auto it = members_.find(member.name);
  return it != members_.end() && it->second->member == member && it->second->joined ? it->second : nullptr;
}

void Keeper::grantWhatIsFree() {
  if (!leads() || logNow() - base_ < settings_.settle) return;
  std::vector<duty::Candidate> candidates;
  for (const auto& [name, session] : members_)
    if (session->joined && session->willing && session->stamp) candidates.push_back({session->member});
  for (const duty::Granted& grant : duty::pick(machine_.registry(), settings_.duties, candidates, logNow())) {
    const SessionPtr session = sessionOf(grant.member);
    if (!session || !granting_.insert(grant.key).second) continue;
    // Danger: the stamp that the keeper has read before it grants, not one that comes while the log is
    // written.
    const std::int64_t askedAt = *session->stamp;
    const duty::Holding* before = machine_.registry().find(grant.key);
    const auto why = !before                       ? duty::Why::vacant
                     : !before->owner.name.empty() ? duty::Why::expired
                                                   : before->why;
    propose(grant, [this, grant, session, askedAt, why](const duty::Outcome& outcome) {
      granting_.erase(grant.key);
      if (outcome.held.empty()) return;
      json fields = fieldsOf(grant.key);
      fields.update({{"name", grant.member.name},
                     {"incarnation", grant.member.incarnation},
                     {"epoch", outcome.held[0].epoch},
                     {"why", duty::nameOf(why)}});
      journal_.line("granted", fields);
      if (session->gone) return;
      Pulse pulse{static_cast<std::uint32_t>(members_.size()), {}, {}};
      pulse.granted.push_back({grant.key, outcome.held[0].epoch, 0, askedAt, grant.lease.count()});
      session->link->send(pulse);
    });
  }
}

// One key at a time goes from the member that owns most to where there are at least two fewer.
void Keeper::spread() {
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
    const duty::Spec* spec = settings_.spec(key.duty);
    if (holding.owner != most->member || !holding.heldAt(logNow()) || !spec || spec->shards < 2) continue;
    most->link->send(HandOver{key, holding.epoch});
    return;
  }
}

bool Keeper::handOver(const duty::Key& key) {
  const duty::Holding* holding = machine_.registry().find(key);
  if (!leads() || !holding || !holding->heldAt(logNow())) return false;
  const SessionPtr session = sessionOf(holding->owner);
  if (!session) return false;
  session->link->send(HandOver{key, holding->epoch});
  return true;
}

// --- Orders -----------------------------------------------------------------------------------------------

// Passed on as they are: whether one is too old is judged where it would have an effect, and nowhere else.
void Keeper::on(const SessionPtr& session, const Order& order) {
  if (order.id.from != session->member) return turnAway(session, "an order under another member's name");
  ++orders_;
  const Bytes frame = encode(order);
  if (order.keep) {
    Kept& kept = kept_[order.id.key];
    const auto age = [](const duty::OrderId& id) { return std::pair(id.epoch, id.sequence); };
    const std::size_t old = kept.frame ? kept.frame->size() : 0;
    const bool room = kept_.size() <= duty::kKeysMost && keptBytes_ - old + frame->size() <= kKeptMost;
    if (room && (!kept.frame || age(order.id) > age(kept.id))) {
      keptBytes_ += frame->size() - old;
      kept = {order.id, frame};
    } else if (!kept.frame) {
      kept_.erase(order.id.key);
    }
  }
  // A slow one may end by this, which takes it out of the map.
  for (const auto& [name, to] : std::map<std::string, SessionPtr>(members_))
    if (to != session && to->joined) to->link->send(frame);
}

// --- The lead ---------------------------------------------------------------------------------------------

Time Keeper::logNow() const { return base_ + (bootTime() - baseAt_); }

void Keeper::leadChanged() {
  if (stopping_ || leads() == leading_) return;
  leading_ = leads();
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
    session->link->send(Elsewhere{0});
    session->link->finish(LinkEnd::moved);
  }
}

void Keeper::turn() {
  if (!leading_ || stopping_) return;
  grantWhatIsFree();
  spread();
  turnTimer_.expires_after(kTurn);
  turnTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec) turn();
  }));
}

void Keeper::propose(duty::Change change, std::function<void(const duty::Outcome&)> done) {
  if (!log_) return;
  log_->propose(duty::encode({logNow(), std::move(change)}),
                lifetime_.guard([this, done = std::move(done)](bool committed) {
                  if (committed) done(machine_.last());
                }));
}

// --- Operators --------------------------------------------------------------------------------------------

json Keeper::status() const {
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
          {"leads", leads()},           {"leader", log_ ? log_->leader() : 0},
          {"votes", log_ != nullptr},   {"orders_passed_on", orders_},
          {"turned_away", turnedAway_}, {"members", members}};
}

json Keeper::duties() const {
  json rows = json::array();
  // A keeper that does not lead has no count of the log's time of its own: what it says is of the last entry.
  const Time now = leads() ? logNow() : machine_.registry().now();
  for (const auto& [key, holding] : machine_.registry().holdings()) {
    const bool held = holding.heldAt(now);
    json row = fieldsOf(key);
    row.update({{"owner", held ? json(holding.owner.name) : json(nullptr)},
                {"epoch", holding.epoch},
                {"left_ms", held ? (holding.until - now).count() : 0}});
    if (!held) row["why"] = duty::nameOf(holding.why);
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace cairnjunction::fleet
