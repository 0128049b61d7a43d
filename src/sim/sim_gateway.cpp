#include "sim/sim_gateway.hpp"

#include <array>
#include <charconv>

#include "sim/wire_line.hpp"

namespace cairnjunction::sim {
namespace {

using policy::Action;
using policy::ActionKind;
using policy::Duration;
using policy::Outcome;
using policy::RequestId;
using policy::Timestamp;

Outcome outcomeOf(int disposition) {
  switch (disposition) {
    case 10: return Outcome::served;
    case 20: return Outcome::error;
    case 30: return Outcome::overloaded;
    case 40: return Outcome::timeout;
    case 50: return Outcome::connectFailed;
    case 60: return Outcome::reset;
    case 70: return Outcome::cancelled;
    case 80: return Outcome::notSent;
    default: throw BadLine("unknown disposition " + std::to_string(disposition));
  }
}

// The request that a line is about. The line need not be readable otherwise.
std::string_view findRef(std::string_view pairs) {
  constexpr std::string_view prefix = "ref=";
  while (!pairs.empty()) {
    const std::string_view part = nextPart(pairs);
    if (part.starts_with(prefix)) return part.substr(prefix.size());
  }
  return {};
}

struct AttemptRef {
  std::string_view request;
  std::uint32_t attempt = 0;
};

AttemptRef parseAttemptRef(std::string_view pairs) {
  AttemptRef ref;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "ref") ref.request = pair->value;
    else if (pair->name == "go") ref.attempt = parseNumber<std::uint32_t>(*pair);
  }
  if (ref.request.empty()) throw BadLine("no ref");
  return ref;
}

std::uint32_t indexOf(const TextMap<std::uint32_t>& indexes, std::string_view name) {
  const auto it = indexes.find(name);
  return it == indexes.end() ? policy::kNone : it->second;
}

}  // namespace

SimGateway::SimGateway(std::string_view name, const policy::Settings& settings, Timestamp now)
    : name_(name), balancer_(settings, now) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    classIndex_.emplace(settings.classes[i].name, static_cast<std::uint32_t>(i));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i)
    tenantIndex_.emplace(settings.tenants[i].name, static_cast<std::uint32_t>(i));
}

policy::Request SimGateway::parseRequest(std::string_view pairs) const {
  policy::Request request;
  bool hasTime = false;
  bool hasClass = false;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "leftNs") {
      request.timeRemaining = parseDuration(*pair);
      hasTime = true;
    } else if (pair->name == "costNs") {
      request.expectedCost = parseDuration(*pair);
    } else if (pair->name == "tierClass") {
      request.classIndex = indexOf(classIndex_, pair->value);
      hasClass = true;
    } else if (pair->name == "realm") {
      request.tenantIndex = indexOf(tenantIndex_, pair->value);
    } else if (pair->name == "routeKey") {
      request.key = parseHex(*pair);
      request.hasKey = true;
    } else if (pair->name == "repeat") {
      parseBool(*pair);  // only checked: the time left tells more
    }
  }
  if (!hasTime) throw BadLine("no leftNs");
  if (!hasClass) throw BadLine("no tierClass");
  return request;
}

void SimGateway::onRequest(Timestamp now, std::string_view pairs) {
  const std::string_view ref = findRef(pairs);
  if (ref.empty()) throw BadLine("no ref");
  if (requests_.find(ref)) throw BadLine("an id that is still open");
  policy::Request request;
  try {
    request = parseRequest(pairs);
  } catch (const BadLine&) {  // it is named, so it is answered
    begin("RESPOND_ERROR");
    field("ref", ref);
    reply_ += '\n';
    throw;
  }
  request.id = requests_.open(ref);
  balancer_.onRequest(now, request);
  printActions();
}

void SimGateway::onResult(Timestamp now, std::string_view pairs) {
  policy::AttemptResult result;
  std::string_view ref;
  bool hasAttempt = false;
  bool hasOutcome = false;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "ref") {
      ref = pair->value;
    } else if (pair->name == "go") {
      result.attempt = parseNumber<std::uint32_t>(*pair);
      hasAttempt = true;
    } else if (pair->name == "disposition") {
      result.outcome = outcomeOf(parseNumber<int>(*pair));
      hasOutcome = true;
    } else if (pair->name == "timeTakenNs") {
      result.elapsed = parseDuration(*pair);
    } else if (pair->name == "terminal") {
      result.endsRequest = parseBool(*pair);
    }
  }
  if (ref.empty() || !hasAttempt || !hasOutcome) throw BadLine("ref, go or disposition missing");
  const auto id = requests_.find(ref);
  if (!id) return;
  result.request = *id;
  requests_.recordResult(*id);
  if (result.endsRequest) requests_.recordEnd(*id);
  balancer_.onResult(now, result);
  printActions();
  requests_.dropIfOver(*id);
}

void SimGateway::onClientDisconnected(Timestamp now, std::string_view pairs) {
  const auto id = requests_.find(parseAttemptRef(pairs).request);
  if (!id) return;  // it may have been dropped already
  balancer_.onClientDisconnected(now, *id);
  requests_.recordEnd(*id);
  printActions();
  requests_.dropIfOver(*id);
}

void SimGateway::onResponseStarted(Timestamp now, std::string_view pairs) {
  const AttemptRef ref = parseAttemptRef(pairs);
  const auto id = requests_.find(ref.request);
  if (!id) return;  // it may have been dropped already
  balancer_.onResponseStarted(now, *id, ref.attempt);
  printActions();
}

void SimGateway::onWake(Timestamp now) {
  balancer_.onWake(now);
  printActions();
}

void SimGateway::onEndpoints(Timestamp now, policy::EndpointListKind kind,
                             const std::vector<policy::EndpointInfo>& entries) {
  balancer_.onEndpoints(now, kind, entries);
  printActions();
}

void SimGateway::moveReply(std::string& out) {
  out += reply_;
  reply_.clear();
}

void SimGateway::begin(std::string_view message) { reply_.append(message).append(" i=").append(name_); }

void SimGateway::field(std::string_view name, std::string_view value) {
  reply_.append(" ").append(name).append("=").append(value);
}

void SimGateway::field(std::string_view name, std::int64_t value) {
  std::array<char, 24> buffer{};
  char* const end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
  field(name, std::string_view(buffer.data(), static_cast<std::size_t>(end - buffer.data())));
}

// Returns whether the wire has a message for it.
bool SimGateway::print(const Action& action) {
  switch (action.kind) {
    case ActionKind::send:
      requests_.recordSend(action.request);
      begin("FORWARD");
      field("ref", requests_.nameOf(action.request));
      field("host", balancer_.address(action.endpoint));
      field("withinNs", action.timeLimit.count());
      return true;
    case ActionKind::reject:
      begin("TURN_AWAY");
      field("ref", requests_.nameOf(action.request));
      if (action.retryAfter > Duration{}) field("notBeforeForNs", action.retryAfter.count());
      requests_.recordEnd(action.request);
      return true;
    case ActionKind::fail:
      begin("RESPOND_ERROR");
      field("ref", requests_.nameOf(action.request));
      requests_.recordEnd(action.request);
      return true;
    case ActionKind::cancel:
      begin("ABORT_ATTEMPT");
      field("ref", requests_.nameOf(action.request));
      field("go", static_cast<std::int64_t>(action.attempt));
      return true;
    case ActionKind::closeIdle:
      begin("CLOSE");
      field("host", balancer_.address(action.endpoint));
      return true;
    case ActionKind::forgetEndpoint: return false;  // the wire names endpoints by address, not by id
    case ActionKind::scheduleWake:
      begin("WAKE_AT");
      field("alarmTimeNs", action.wakeAt.time_since_epoch().count());
      field("ref", "w");
      return true;
    case ActionKind::pollEndpoints:
      begin("SUBSCRIBE");
      field("active", "1");
      return true;
    case ActionKind::log:
      begin("DEBUG");
      field("words", action.text);
      return true;
  }
  return false;
}

void SimGateway::printActions() {
  std::vector<Action>& actions = balancer_.actions();
  for (const Action& action : actions)
    if (print(action)) reply_ += '\n';
  // Only after all actions that may name the request.
  for (const Action& action : actions)
    if (action.kind == ActionKind::reject || action.kind == ActionKind::fail)
      requests_.dropIfOver(action.request);
  actions.clear();
}

}  // namespace cairnjunction::sim
