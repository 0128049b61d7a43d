#include "sim/adapter.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cairnjunction::sim {

using namespace policy;  // the adapter speaks of nothing else
namespace {

struct BadLine : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Pair {
  std::string_view name, value;
};

// Takes the next space-separated part off the front of `rest`.
std::string_view nextPart(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

bool nextPair(std::string_view& rest, Pair& pair) {
  while (!rest.empty()) {
    const std::string_view part = nextPart(rest);
    if (part.empty()) continue;
    const std::size_t eq = part.find('=');
    if (eq == std::string_view::npos) throw BadLine("no '=' in '" + std::string(part) + "'");
    pair = {part.substr(0, eq), part.substr(eq + 1)};
    return true;
  }
  return false;
}

template <class Number>
Number number(const Pair& p) {
  Number n{};
  const auto [end, error] = std::from_chars(p.value.data(), p.value.data() + p.value.size(), n);
  if (error != std::errc{} || end != p.value.data() + p.value.size())
    throw BadLine("'" + std::string(p.value) + "' is no number (" + std::string(p.name) + ")");
  return n;
}

Duration span(const Pair& p) { return Duration(number<std::int64_t>(p)); }

bool boolean(const Pair& p) {
  if (p.value == "1" || p.value == "true") return true;
  if (p.value == "0" || p.value == "false") return false;
  throw BadLine("'" + std::string(p.value) + "' is no bool (" + std::string(p.name) + ")");
}

Outcome outcomeOf(int code) {
  switch (code) {
    case 10: return Outcome::served;
    case 20: return Outcome::error;
    case 30: return Outcome::overloaded;
    case 40: return Outcome::timeout;
    case 50: return Outcome::connectFailed;
    case 60: return Outcome::reset;
    case 70: return Outcome::cancelled;
    case 80: return Outcome::notSent;
    default: throw BadLine("unknown disposition " + std::to_string(code));
  }
}

void append(std::string& out, std::int64_t n) {
  char buffer[24];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, n).ptr;
  out.append(buffer, end);
}

// Calls f(index, field) for a path such as "<head>.<index>.<field>".
template <class F>
void indexed(std::string_view path, std::string_view head, F f) {
  if (path.substr(0, head.size()) != head || path.size() <= head.size() || path[head.size()] != '.') return;
  path.remove_prefix(head.size() + 1);
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) return;
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(path.data(), path.data() + dot, index);
  if (error != std::errc{} || end != path.data() + dot || index > 1000) return;
  f(index, path.substr(dot + 1));
}

std::vector<std::string> names(std::string_view list) {
  std::vector<std::string> out;
  for (std::size_t end; !list.empty(); list.remove_prefix(std::min(end + 1, list.size()))) {
    end = std::min(list.find(','), list.size());
    if (end > 0) out.emplace_back(list.substr(0, end));
  }
  return out;
}

template <class T>
T& at(std::vector<T>& v, std::size_t index) {
  if (v.size() <= index) v.resize(index + 1);
  return v[index];
}

}  // namespace

Settings readSettings(std::string_view rest) {
  Settings s;
  Pair p;
  try {
    while (nextPair(rest, p)) {
      const std::string_view n = p.name;
      if (n == "rngSeed") s.seed = static_cast<std::uint64_t>(number<std::int64_t>(p));
      else if (n == "groupSize") s.gatewayCount = number<std::uint32_t>(p);
      else if (n == "ceilings.parallelTries") s.hedging = boolean(p);
      else if (n == "weights") s.loadReports = p.value == "live";
      else if (n == "myNumber") s.gatewayIndex = number<std::uint32_t>(p);
      else if (n == "zone") s.zone = p.value;
      else if (n == "overShareWorth") s.overQuotaWeightFactor = number<double>(p);
      else if (n == "registryMode") s.pollDiscovery = p.value == "ask";
      else if (n == "stepNs") s.eventInterval = span(p);
      else if (n == "domain.warmKeys") s.keyAffinity = boolean(p);
      else if (n == "ceilings.retryAfter") s.retryAfterAllowed = boolean(p);
      else if (n == "ceilings.cancel") s.cancelAllowed = boolean(p);
      else if (n == "ceilings.maxAttempts") s.maxAttempts = number<std::uint32_t>(p);
      else if (n == "ceilings.streamsPerConn") s.streamsPerConnection = number<std::uint32_t>(p);
      else if (n == "ceilings.idleCloseNs") s.idleTimeout = span(p);
      else if (n == "ceilings.maxRetryAfterNs") s.maxRetryAfter = span(p);
      else if (n == "rules.askWithinNs") s.maxPollInterval = span(p);
      else if (n == "rules.coldNs") s.slowStartDuration = span(p);
      else if (n == "rules.coldShare") s.slowStartInitialFraction = number<double>(p);
      else if (n == "rules.fallMultiple") s.collapseLoadFactor = number<double>(p);
      else if (n == "rules.fallNs") s.collapseWindow = span(p);
      else if (n == "rules.keyRestNs") s.keyCooldown = span(p);
      else {
        indexed(n, "grades", [&](std::size_t i, std::string_view field) {
          ClassSettings& c = at(s.classes, i);
          if (field == "name") c.name = p.value;
          else if (field == "aimNs") c.latencyObjective = span(p);
          else if (field == "giveUpNs") c.clientTimeout = span(p);
          else if (field == "windowNs") c.dedupWindow = span(p);
          else if (field == "points") c.priorityWeight = number<double>(p);
          else if (field == "lateShare") c.lateValueFraction = number<double>(p);
          else if (field == "aimStretch") c.objectiveCostFactor = number<double>(p);
          else if (field == "inTurn") c.serializedByKey = boolean(p);
          else if (field == "staysIn") c.allowedZones = names(p.value);
          else if (field == "boundTo") c.allowedMachineKinds = names(p.value);
          else if (field == "effect")
            c.idempotency = p.value == "retryable" ? Idempotency::safe
                            : p.value == "dedup"   ? Idempotency::keyed
                                                   : Idempotency::unsafe;
          else if (field == "group")
            c.dedupScope = p.value == "all"    ? DedupScope::all
                           : p.value == "zone" ? DedupScope::zone
                                               : DedupScope::cell;
        });
        indexed(n, "tenants", [&](std::size_t i, std::string_view field) {
          TenantSettings& t = at(s.tenants, i);
          if (field == "name") t.name = p.value;
          else if (field == "quotaRps") t.quotaPerSecond = number<double>(p);
        });
      }
    }
  } catch (const BadLine& bad) {
    throw std::invalid_argument(bad.what());
  }
  for (ClassSettings& c : s.classes) c.clientTimeout = std::max(c.clientTimeout, c.latencyObjective);
  return s;
}

struct Adapter::Gateway {
  struct Ref {
    std::string id;
    std::uint32_t generation = 0;
    std::uint32_t out = 0;
    bool ended = false;
  };

  std::string name;
  LoadBalancer balancer;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>> slotOf;
  std::vector<Ref> refs;
  std::vector<std::uint32_t> freeRefs;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>> classOf, tenantOf;
  std::string reply;
  bool touched = false;

  Gateway(std::string_view n, const Settings& s, Timestamp now) : name(n), balancer(s, now) {
    for (std::size_t i = 0; i < s.classes.size(); ++i)
      classOf.emplace(s.classes[i].name, static_cast<std::uint32_t>(i));
    for (std::size_t i = 0; i < s.tenants.size(); ++i)
      tenantOf.emplace(s.tenants[i].name, static_cast<std::uint32_t>(i));
  }

  RequestId idOf(std::uint32_t slot) const {
    return (static_cast<RequestId>(refs[slot].generation) << 32) | slot;
  }
  RequestId take(std::string_view id) {
    std::uint32_t slot;
    if (freeRefs.empty()) {
      slot = static_cast<std::uint32_t>(refs.size());
      refs.emplace_back();
    } else {
      slot = freeRefs.back();
      freeRefs.pop_back();
    }
    Ref& r = refs[slot];
    r.id.assign(id);
    ++r.generation;
    r.out = 0;
    r.ended = false;
    slotOf.emplace(r.id, slot);
    return idOf(slot);
  }
  Ref* find(std::string_view id, std::uint32_t& slot) {
    const auto it = slotOf.find(id);
    if (it == slotOf.end()) return nullptr;
    slot = it->second;
    return &refs[slot];
  }
  void dropIfOver(std::uint32_t slot) {
    Ref& r = refs[slot];
    if (!r.ended || r.out > 0) return;
    slotOf.erase(r.id);
    r.id.clear();
    freeRefs.push_back(slot);
  }
};

Adapter::Adapter(std::ostream& complaints) : complaints_(complaints) {}
Adapter::~Adapter() = default;

void Adapter::complain(std::string_view line, std::string_view cause) {
  complaints_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, 120) << '\n';
}

bool Adapter::feed(std::string_view line, std::string& reply) {
  ++lineNumber_;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return false;
  std::string_view rest = line;
  const std::string_view name = nextPart(rest);
  try {
    if (rowsDue_ > 0 && name != "ROW") {
      rowsDue_ = 0;
      complain(line, "rows missing from the list before this line");
    }
    if (name == "FRAME") {
      if (insideBatch_) complain(line, "a batch begins inside another");
      insideBatch_ = true;
      Pair p;
      bool timed = false;
      while (nextPair(rest, p))
        if (p.name == "tNs") {
          clock_ = std::max(clock_, number<std::int64_t>(p));
          timed = true;
        }
      if (!timed) throw BadLine("no tNs");
      return false;
    }
    if (name == "EOF_BATCH") {
      if (!insideBatch_) complain(line, "a batch ends that never began");
      insideBatch_ = false;
      for (Gateway* g : touched_) {
        reply += g->reply;
        g->reply.clear();
        g->touched = false;
      }
      touched_.clear();
      reply += "OK\n";
      return true;
    }
    if (!insideBatch_) throw BadLine("outside a batch");
    event(name, rest);
  } catch (const BadLine& bad) {
    complain(line, bad.what());
  }
  return false;
}

Adapter::Gateway& Adapter::gatewayOf(std::string_view rest) {
  while (!rest.empty()) {
    const std::string_view part = nextPart(rest);
    if (part.substr(0, 2) != "i=") continue;
    const auto it = gateways_.find(part.substr(2));
    if (it == gateways_.end()) throw BadLine("unknown instance");
    Gateway& g = *it->second;
    if (!g.touched) {
      g.touched = true;
      touched_.push_back(&g);
    }
    return g;
  }
  throw BadLine("no instance");
}

void Adapter::event(std::string_view name, std::string_view rest) {
  if (name == "REQ") return request(gatewayOf(rest), rest);
  if (name == "SETTLED") return settled(gatewayOf(rest), rest);
  if (name == "ROW") return row(rest);
  if (name == "LEDGER") return ledger(rest);
  if (name == "ENLIST") return enlist(rest);
  if (name == "MEMBERSHIP") return membership(gatewayOf(rest), rest);
  Pair p;
  if (name == "RETIRE") {
    Gateway& g = gatewayOf(rest);  // whatever it still wanted dies with it, unsent actions too
    touched_.erase(std::find(touched_.begin(), touched_.end(), &g));
    gateways_.erase(gateways_.find(g.name));
    return;
  }
  if (name == "TIMEOUT_FIRED") {
    Gateway& g = gatewayOf(rest);
    g.balancer.onWake(Timestamp(Duration(clock_)));
    return print(g);
  }
  if (name == "LEFT" || name == "HEAD_RECEIVED") {
    Gateway& g = gatewayOf(rest);
    std::string_view id;
    std::uint32_t attempt = 0, slot = 0;
    while (nextPair(rest, p))
      if (p.name == "ref") id = p.value;
      else if (p.name == "go") attempt = number<std::uint32_t>(p);
    if (id.empty()) throw BadLine("no ref");
    Gateway::Ref* ref = g.find(id, slot);
    if (!ref) return;  // it may have been dropped already
    if (name == "LEFT") {
      g.balancer.onClientDisconnected(Timestamp(Duration(clock_)), g.idOf(slot));
      ref->ended = true;
    } else {
      g.balancer.onResponseStarted(Timestamp(Duration(clock_)), g.idOf(slot), attempt);
    }
    print(g);
    if (name == "LEFT" && g.find(id, slot)) g.dropIfOver(slot);
    return;
  }
  if (name == "PROBED" || name == "FROM_PEER") {
    gatewayOf(rest);  // known, and of no use to the decisions
    return;
  }
  throw BadLine("unknown event");
}

void Adapter::enlist(std::string_view rest) {
  std::string_view scan = rest, name;
  Pair p;
  while (nextPair(scan, p))
    if (p.name == "i") {
      name = p.value;
      break;
    }
  if (name.empty()) throw BadLine("no instance");
  const auto old = gateways_.find(name);
  if (old != gateways_.end()) {
    touched_.erase(std::remove(touched_.begin(), touched_.end(), old->second.get()), touched_.end());
    gateways_.erase(old);
  }
  try {
    gateways_.emplace(std::string(name),
                      std::make_unique<Gateway>(name, readSettings(rest), Timestamp(Duration(clock_))));
  } catch (const std::invalid_argument& bad) {
    throw BadLine(bad.what());
  }
  gatewayOf(rest);
}

void Adapter::ledger(std::string_view rest) {
  Pair p;
  std::size_t index = lists_.size(), rows = 0;
  while (nextPair(rest, p))
    if (p.name == "buffer") index = number<std::size_t>(p);
    else if (p.name == "rowsIn") rows = number<std::size_t>(p);
  if (index >= lists_.size()) throw BadLine("list number missing or out of range");
  rowsInto_ = &lists_[index];
  rowsInto_->known = true;
  rowsInto_->entries.clear();
  rowsDue_ = rows;
}

void Adapter::row(std::string_view rest) {
  if (rowsDue_ == 0) throw BadLine("a row outside a list");
  --rowsDue_;
  EndpointInfo e;
  Pair p;
  while (nextPair(rest, p)) {
    if (p.name == "host") e.address = p.value;
    else if (p.name == "locality") e.zone = p.value;
    else if (p.name == "machine") e.machineKind = p.value;
    else if (p.name == "block") e.cell = number<std::int64_t>(p);
    else if (p.name == "capacityHint") e.weight = number<double>(p);
    else if (p.name == "upSinceNs") e.startedAt = Timestamp(span(p));
    else if (p.name == "phase") {
      if (p.value == "IN") e.state = EndpointState::active;
      else if (p.value == "LAME") e.state = EndpointState::draining;
      else if (p.value == "OUT") e.state = EndpointState::removed;
      else throw BadLine("unknown phase");
    }
  }
  if (e.address.empty()) throw BadLine("no host");
  rowsInto_->entries.push_back(std::move(e));
}

void Adapter::membership(Gateway& g, std::string_view rest) {
  Pair p;
  std::size_t index = lists_.size();
  std::string_view kind;
  while (nextPair(rest, p))
    if (p.name == "kind") kind = p.value;
    else if (p.name == "buffer" && p.value != "-") index = number<std::size_t>(p);
  static const std::vector<EndpointInfo> none;
  if (kind == "unavailable") {
    g.balancer.onEndpoints(Timestamp(Duration(clock_)), EndpointListKind::unavailable, none);
    return print(g);
  }
  EndpointListKind what;
  if (kind == "update") what = EndpointListKind::update;
  else if (kind == "replace") what = EndpointListKind::replace;
  else if (kind == "restored") what = EndpointListKind::restored;
  else throw BadLine("unknown kind of news");
  if (index >= lists_.size() || !lists_[index].known) throw BadLine("unknown list");
  g.balancer.onEndpoints(Timestamp(Duration(clock_)), what, lists_[index].entries);
  print(g);
}

void Adapter::request(Gateway& g, std::string_view rest) {
  Request q;
  std::string_view id, scan = rest;
  Pair p;
  // The id first, so that a request that is otherwise bad can still be answered.
  while (!scan.empty()) {
    const std::string_view part = nextPart(scan);
    if (part.substr(0, 4) == "ref=") {
      id = part.substr(4);
      break;
    }
  }
  if (id.empty()) throw BadLine("no ref");
  std::uint32_t slot = 0;
  if (g.find(id, slot)) throw BadLine("an id that is still open");
  try {
    bool timed = false, classed = false;
    while (nextPair(rest, p)) {
      if (p.name == "leftNs") {
        q.timeRemaining = span(p);
        timed = true;
      } else if (p.name == "costNs") {
        q.expectedCost = span(p);
      } else if (p.name == "tierClass") {
        const auto it = g.classOf.find(p.value);
        q.classIndex = it == g.classOf.end() ? kNone : it->second;
        classed = true;
      } else if (p.name == "realm") {
        const auto it = g.tenantOf.find(p.value);
        q.tenantIndex = it == g.tenantOf.end() ? kNone : it->second;
      } else if (p.name == "routeKey") {
        const auto [end, error] = std::from_chars(p.value.data(), p.value.data() + p.value.size(), q.key, 16);
        if (error != std::errc{} || end != p.value.data() + p.value.size()) throw BadLine("bad routeKey");
        q.hasKey = true;
      } else if (p.name == "repeat") {
        boolean(p);  // checked only: the time left tells more
      }
    }
    if (!timed) throw BadLine("no leftNs");
    if (!classed) throw BadLine("no tierClass");
  } catch (const BadLine&) {
    g.reply += "RESPOND_ERROR i=" + g.name + " ref=" + std::string(id) + "\n";
    throw;
  }
  q.id = g.take(id);
  g.balancer.onRequest(Timestamp(Duration(clock_)), q);
  print(g);
}

void Adapter::settled(Gateway& g, std::string_view rest) {
  AttemptResult a;
  std::string_view id;
  Pair p;
  bool numbered = false, coded = false;
  while (nextPair(rest, p)) {
    if (p.name == "ref") id = p.value;
    else if (p.name == "go") {
      a.attempt = number<std::uint32_t>(p);
      numbered = true;
    } else if (p.name == "disposition") {
      a.outcome = outcomeOf(number<int>(p));
      coded = true;
    } else if (p.name == "timeTakenNs") a.elapsed = span(p);
    else if (p.name == "terminal") a.endsRequest = boolean(p);
  }
  if (id.empty() || !numbered || !coded) throw BadLine("ref, go or disposition missing");
  std::uint32_t slot = 0;
  Gateway::Ref* ref = g.find(id, slot);
  if (!ref) return;
  a.request = g.idOf(slot);
  if (ref->out > 0) --ref->out;
  if (a.endsRequest) ref->ended = true;
  g.balancer.onResult(Timestamp(Duration(clock_)), a);
  print(g);
  if (g.find(id, slot)) g.dropIfOver(slot);
}

void Adapter::print(Gateway& g) {
  std::string& out = g.reply;
  for (const Action& a : g.balancer.actions()) {
    const auto slot = static_cast<std::uint32_t>(a.request);
    switch (a.kind) {
      case ActionKind::send:
        ++g.refs[slot].out;
        out.append("FORWARD i=").append(g.name).append(" ref=").append(g.refs[slot].id);
        out.append(" host=").append(g.balancer.address(a.endpoint)).append(" withinNs=");
        append(out, a.timeLimit.count());
        break;
      case ActionKind::reject:
      case ActionKind::fail:
        out.append(a.kind == ActionKind::reject ? "TURN_AWAY i=" : "RESPOND_ERROR i=");
        out.append(g.name).append(" ref=").append(g.refs[slot].id);
        if (a.kind == ActionKind::reject && a.retryAfter > Duration{}) {
          out.append(" notBeforeForNs=");
          append(out, a.retryAfter.count());
        }
        g.refs[slot].ended = true;
        break;
      case ActionKind::cancel:
        out.append("ABORT_ATTEMPT i=").append(g.name).append(" ref=").append(g.refs[slot].id).append(" go=");
        append(out, a.attempt);
        break;
      case ActionKind::closeIdle:
        out.append("CLOSE i=").append(g.name).append(" host=").append(g.balancer.address(a.endpoint));
        break;
      case ActionKind::forgetEndpoint: continue;  // names of hosts are used here, not ids
      case ActionKind::scheduleWake:
        out.append("WAKE_AT i=").append(g.name).append(" alarmTimeNs=");
        append(out, a.wakeAt.time_since_epoch().count());
        out.append(" ref=w");
        break;
      case ActionKind::pollEndpoints: out.append("SUBSCRIBE i=").append(g.name).append(" active=1"); break;
      case ActionKind::log: out.append("DEBUG i=").append(g.name).append(" words=").append(a.text); break;
    }
    out += '\n';
  }
  // Ids are dropped only after all actions that name them are printed.
  for (const Action& a : g.balancer.actions())
    if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
      const auto slot = static_cast<std::uint32_t>(a.request);
      if (!g.refs[slot].id.empty()) g.dropIfOver(slot);
    }
  g.balancer.actions().clear();
}

}  // namespace cairnjunction::sim
