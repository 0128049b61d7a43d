#include "sim/adapter.hpp"

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "sim/wire_line.hpp"
#include "sim/wire_settings.hpp"

namespace cairnjunction::sim {
namespace {

using policy::EndpointInfo;
using policy::EndpointListKind;
using policy::EndpointState;

constexpr std::size_t kComplaintLength = 120;  // characters of a line that are shown

std::optional<std::string_view> findInstance(std::string_view pairs) {
  constexpr std::string_view prefix = "i=";
  while (!pairs.empty()) {
    const std::string_view part = nextPart(pairs);
    if (part.starts_with(prefix)) return part.substr(prefix.size());
  }
  return std::nullopt;
}

EndpointState parseState(std::string_view phase) {
  if (phase == "IN") return EndpointState::active;
  if (phase == "LAME") return EndpointState::draining;
  if (phase == "OUT") return EndpointState::removed;
  throw BadLine("unknown phase");
}

EndpointListKind parseListKind(std::string_view kind) {
  if (kind == "update") return EndpointListKind::update;
  if (kind == "replace") return EndpointListKind::replace;
  if (kind == "restored") return EndpointListKind::restored;
  if (kind == "unavailable") return EndpointListKind::unavailable;
  throw BadLine("unknown kind of news");
}

EndpointInfo parseEndpoint(std::string_view pairs) {
  EndpointInfo info;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "host") info.address = pair->value;
    else if (pair->name == "locality") info.zone = pair->value;
    else if (pair->name == "machine") info.machineKind = pair->value;
    else if (pair->name == "block") info.cell = parseNumber<std::int64_t>(*pair);
    else if (pair->name == "capacityHint") info.weight = parseNumber<double>(*pair);
    else if (pair->name == "upSinceNs") info.startedAt = policy::Timestamp(parseDuration(*pair));
    else if (pair->name == "phase") info.state = parseState(pair->value);
  }
  if (info.address.empty()) throw BadLine("no host");
  return info;
}

}  // namespace

Adapter::Adapter(std::ostream& complaints) : complaints_(complaints) {}

void Adapter::complain(std::string_view line, std::string_view cause) {
  complaints_ << "line " << lineNumber_ << ": " << cause << ": " << line.substr(0, kComplaintLength) << '\n';
}

bool Adapter::feed(std::string_view line, std::string& reply) {
  ++lineNumber_;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) return false;
  std::string_view pairs = line;
  const std::string_view name = nextPart(pairs);
  try {
    if (rowsDue_ > 0 && name != "ROW") {
      rowsDue_ = 0;
      complain(line, "rows missing from the list before this line");
    }
    if (name == "FRAME") {
      if (insideBatch_) complain(line, "a batch begins inside another");
      beginBatch(pairs);
      return false;
    }
    if (name == "EOF_BATCH") {
      if (!insideBatch_) complain(line, "a batch ends that never began");
      endBatch(reply);
      return true;
    }
    if (!insideBatch_) throw BadLine("outside a batch");
    onEvent(name, pairs);
  } catch (const BadLine& bad) {
    complain(line, bad.what());
  }
  return false;
}

void Adapter::beginBatch(std::string_view pairs) {
  insideBatch_ = true;
  bool hasTime = false;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name != "tNs") continue;
    clock_ = std::max(clock_, parseNumber<std::int64_t>(*pair));
    hasTime = true;
  }
  if (!hasTime) throw BadLine("no tNs");
}

void Adapter::endBatch(std::string& reply) {
  insideBatch_ = false;
  for (Instance* instance : touched_) {
    instance->gateway->moveReply(reply);
    instance->touched = false;
  }
  touched_.clear();
  reply += "OK\n";
}

SimGateway& Adapter::gatewayOf(std::string_view pairs) {
  const auto name = findInstance(pairs);
  if (!name) throw BadLine("no instance");
  const auto it = instances_.find(*name);
  if (it == instances_.end()) throw BadLine("unknown instance");
  Instance& instance = it->second;
  if (!instance.touched) {
    instance.touched = true;
    touched_.push_back(&instance);
  }
  return *instance.gateway;
}

void Adapter::onEvent(std::string_view name, std::string_view pairs) {
  if (name == "REQ") return gatewayOf(pairs).onRequest(now(), pairs);
  if (name == "SETTLED") return gatewayOf(pairs).onResult(now(), pairs);
  if (name == "ROW") return onRow(pairs);
  if (name == "LEDGER") return onLedger(pairs);
  if (name == "ENLIST") return onEnlist(pairs);
  if (name == "RETIRE") return onRetire(pairs);
  if (name == "MEMBERSHIP") return onMembership(pairs);
  if (name == "TIMEOUT_FIRED") return gatewayOf(pairs).onWake(now());
  if (name == "LEFT") return gatewayOf(pairs).onClientDisconnected(now(), pairs);
  if (name == "HEAD_RECEIVED") return gatewayOf(pairs).onResponseStarted(now(), pairs);
  if (name == "PROBED" || name == "FROM_PEER") {
    gatewayOf(pairs);  // known, and of no use to the decisions
    return;
  }
  throw BadLine("unknown event");
}

void Adapter::onEnlist(std::string_view pairs) {
  std::string_view name;
  for (std::string_view rest = pairs; const auto pair = nextPair(rest);)
    if (pair->name == "i") {
      name = pair->value;
      break;
    }
  if (name.empty()) throw BadLine("no instance");
  remove(name);  // one that is enlisted again starts anew
  try {
    instances_.emplace(std::string(name),
                       Instance{std::make_unique<SimGateway>(name, readSettings(pairs), now())});
  } catch (const std::invalid_argument& bad) {
    throw BadLine(bad.what());
  }
  gatewayOf(pairs);
}

void Adapter::onRetire(std::string_view pairs) {
  const std::string name = gatewayOf(pairs).name();
  remove(name);
}

// Whatever the gateway still wanted dies with it, actions of this batch too.
void Adapter::remove(std::string_view name) {
  const auto it = instances_.find(name);
  if (it == instances_.end()) return;
  std::erase(touched_, &it->second);
  instances_.erase(it);
}

void Adapter::onLedger(std::string_view pairs) {
  std::size_t index = lists_.size();
  std::size_t rows = 0;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "buffer") index = parseNumber<std::size_t>(*pair);
    else if (pair->name == "rowsIn") rows = parseNumber<std::size_t>(*pair);
  }
  if (index >= lists_.size()) throw BadLine("list number missing or out of range");
  filling_ = &lists_[index];
  filling_->known = true;
  filling_->entries.clear();
  rowsDue_ = rows;
}

void Adapter::onRow(std::string_view pairs) {
  if (rowsDue_ == 0) throw BadLine("a row outside a list");
  --rowsDue_;
  filling_->entries.push_back(parseEndpoint(pairs));
}

void Adapter::onMembership(std::string_view pairs) {
  SimGateway& gateway = gatewayOf(pairs);
  std::size_t index = lists_.size();
  std::string_view kindName;
  while (const auto pair = nextPair(pairs)) {
    if (pair->name == "kind") kindName = pair->value;
    else if (pair->name == "buffer" && pair->value != "-") index = parseNumber<std::size_t>(*pair);
  }
  const EndpointListKind kind = parseListKind(kindName);
  if (kind == EndpointListKind::unavailable) return gateway.onEndpoints(now(), kind, {});
  if (index >= lists_.size() || !lists_[index].known) throw BadLine("unknown list");
  gateway.onEndpoints(now(), kind, lists_[index].entries);
}

}  // namespace cairnjunction::sim
