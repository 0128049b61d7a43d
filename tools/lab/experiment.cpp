// Experiments from TOML.
#include "lab/experiment.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::lab {
namespace {

// `refuse`, of workers only, stands last and is not drawn.
constexpr std::array kKinds = {FaultKind::kill,     FaultKind::stop,      FaultKind::term,
                               FaultKind::cut,      FaultKind::hold,      FaultKind::hearsNone,
                               FaultKind::delay,    FaultKind::reset,     FaultKind::diskFull,
                               FaultKind::holdSent, FaultKind::clockStep, FaultKind::refuse};
constexpr int kStepMost = 86'400'000;  // ms; a day either way
constexpr int kSecondsMost = 600, kProcessesMost = 400;

[[noreturn]] void fail(const std::string& name, const toml::node& at, const std::string& what) {
  throw BadExperiment(name + ":" + std::to_string(at.source().begin.line) + ": " + what);
}

FaultKind kindOf(const std::string& text, const std::string& name, const toml::node& at) {
  for (const FaultKind kind : kKinds)
    if (text == nameOf(kind)) return kind;
  fail(name, at, "unknown kind of fault '" + text + "'");
}

class Table {
 public:
  Table(const toml::table& table, const std::string& name) : table_(table), name_(name) {}
  void number(const char* key, int& to, int least, int most) {
    const toml::node* node = find(key);
    if (!node) return;
    const auto value = node->value<std::int64_t>();
    if (!value || *value < least || *value > most)
      fail(name_, *node,
           std::string("'") + key + "' is no number from " + std::to_string(least) + " to " +
               std::to_string(most));
    to = static_cast<int>(*value);
  }
  void number(const char* key, double& to) {
    const toml::node* node = find(key);
    if (!node) return;
    const auto value = node->value<double>();
    if (!value || *value < 0 || *value > 1e6)
      fail(name_, *node, std::string("'") + key + "' is out of range");
    to = *value;
  }
  void flag(const char* key, bool& to) {
    if (const toml::node* node = find(key)) to = node->value<bool>().value_or(to);
  }
  std::string text(const char* key, const std::string& otherwise = {}) {
    const toml::node* node = find(key);
    return node ? node->value<std::string>().value_or(otherwise) : otherwise;
  }
  template <class Each>
  void tables(const char* key, Each each) {
    const toml::node* node = find(key);
    if (!node) return;
    if (!node->is_array_of_tables())
      fail(name_, *node, std::string("'") + key + "' is not given as [[" + key + "]]");
    for (const toml::node& element : *node->as_array()) each(*element.as_table());
  }
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  void finish() {
    for (const auto& [key, node] : table_)
      if (!known_.count(std::string(key.str())))
        fail(name_, node, "unknown key '" + std::string(key.str()) + "'");
  }

 private:
  const toml::table& table_;
  const std::string& name_;
  std::set<std::string> known_;
};

Experiment experimentOf(const toml::table& file, const std::string& name) {
  Experiment e;
  Table table(file, name);
  e.name = table.text("name", "unnamed");
  table.number("seconds", e.seconds, 1, kSecondsMost);
  table.number("gateways", e.gateways, 1, kProcessesMost);
  table.number("keepers", e.keepers, 1, 5);
  table.number("workers", e.workers, 1, kProcessesMost);
  table.flag("fleet", e.fleet);
  table.flag("disks", e.disks);
  table.flag("probing", e.probing);
  table.number("rate", e.rate);
  table.number("beat_ms", e.beatMs, 50, 10'000);
  table.number("lease_ms", e.leaseMs, 200, 60'000);
  table.number("alone_after_ms", e.aloneMs, 200, 60'000);
  table.number("election_ms", e.electionMs, 100, 10'000);
  table.number("settle_ms", e.settleMs, 0, 60'000);
  table.number("probe_shards", e.probeShards, 1, 256);
  table.number("expect_refused", e.expectRefused, 0, 1'000'000);
  table.tables("fault", [&](const toml::table& t) {
    Table row(t, name);
    Fault fault;
    row.number("at_ms", fault.atMs, 0, kSecondsMost * 1000);
    row.number("for_ms", fault.forMs, 0, kSecondsMost * 1000);
    row.number("ms", fault.ms, -kStepMost, kStepMost);
    fault.kind = kindOf(row.text("kind"), name, t);
    fault.whom = row.text("whom");
    if (fault.whom.empty()) fail(name, t, "a fault needs 'whom'");
    row.finish();
    e.faults.push_back(fault);
  });
  table.tables("host", [&](const toml::table& t) {
    Table row(t, name);
    HostChange change;
    row.number("at_ms", change.atMs, 0, kSecondsMost * 1000);
    row.number("worker", change.worker, 0, kProcessesMost);
    change.state = row.text("state");
    if (change.state != "SERVING" && change.state != "DRAINING" && change.state != "DELETED")
      fail(name, t, "a host's state is SERVING, DRAINING or DELETED");
    row.finish();
    e.changes.push_back(change);
  });
  if (const toml::node* node = table.find("random")) {
    if (!node->is_table()) fail(name, *node, "'random' is no table");
    Table random(*node->as_table(), name);
    random.number("faults", e.randomFaults, 0, 100);
    random.number("from_ms", e.randomFromMs, 0, kSecondsMost * 1000);
    if (const toml::node* kinds = random.find("kinds"); kinds && kinds->is_array())
      for (const toml::node& kind : *kinds->as_array())
        e.randomKinds.push_back(kindOf(kind.value<std::string>().value_or(""), name, kind));
    random.finish();
  }
  table.finish();
  return e;
}

}  // namespace

const char* nameOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kill: return "kill";
    case FaultKind::stop: return "stop";
    case FaultKind::term: return "term";
    case FaultKind::cut: return "cut";
    case FaultKind::hold: return "hold";
    case FaultKind::hearsNone: return "hears-none";
    case FaultKind::delay: return "delay";
    case FaultKind::reset: return "reset";
    case FaultKind::diskFull: return "disk-full";
    case FaultKind::holdSent: return "hold-sent";
    case FaultKind::refuse: return "refuse";
    case FaultKind::clockStep: return "clock-step";
  }
  return "";
}

Experiment parseExperiment(const std::string& text, const std::string& name) {
  try {
    return experimentOf(toml::parse(text, name), name);
  } catch (const toml::parse_error& bad) {
    throw BadExperiment(name + ":" + std::to_string(bad.source().begin.line) + ": " +
                        std::string(bad.description()));
  }
}

Experiment readExperiment(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw BadExperiment(path + ": can't be read");
  return parseExperiment(text.str(), path);
}

Experiment planned(Experiment e, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  const std::vector<FaultKind> kinds =
      e.randomKinds.empty() ? std::vector<FaultKind>(kKinds.begin(), kKinds.end() - 1) : e.randomKinds;
  // The last part of the run is calm, so that what does not return shows.
  const int calm = 4 * e.leaseMs + 3000, until = std::max(e.seconds * 1000 - calm, e.randomFromMs + 1);
  for (int i = 0; i < e.randomFaults; ++i) {
    Fault fault;
    fault.kind = kinds[static_cast<std::size_t>(draw(0, static_cast<int>(kinds.size()) - 1))];
    fault.atMs = draw(e.randomFromMs, until);
    fault.forMs = std::min(draw(e.leaseMs / 2, 4 * e.leaseMs), std::max(until - fault.atMs, 200));
    fault.ms = fault.kind == FaultKind::clockStep ? (draw(0, 1) ? 3'600'000 : -3'600'000) : draw(5, 300);
    switch (draw(0, 4)) {
      case 0: fault.whom = "leader"; break;
      case 1: fault.whom = "keeper:" + std::to_string(draw(1, e.keepers)); break;
      case 2: fault.whom = "gateway:" + std::to_string(draw(0, e.gateways - 1)); break;
      default: fault.whom = draw(0, 1) ? "owner:list" : "owner:probe"; break;
    }
    e.faults.push_back(fault);
  }
  std::stable_sort(e.faults.begin(), e.faults.end(),
                   [](const auto& a, const auto& b) { return a.atMs < b.atMs; });
  return e;
}

}  // namespace cairnjunction::lab
