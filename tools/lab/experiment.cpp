// Reads experiments from TOML and draws their random faults.
#include "lab/experiment.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace cairnjunction::lab {
namespace {

// `refuse`, of workers only, stands last and is not drawn.
constexpr std::array kKinds = {FaultKind::kill,     FaultKind::stop,      FaultKind::term,
                               FaultKind::cut,      FaultKind::hold,      FaultKind::hearsNone,
                               FaultKind::delay,    FaultKind::reset,     FaultKind::diskFull,
                               FaultKind::holdSent, FaultKind::clockStep, FaultKind::refuse};
constexpr int kStepMost = 86'400'000;  // ms; a day either way
constexpr double kRateMost = 1e6;
constexpr int kSecondsMost = 600, kProcessesMost = 400;

using toml::Reader;

FaultKind kindOf(const std::string& text, const Reader& reader, const ::toml::node* at) {
  for (const FaultKind kind : kKinds)
    if (text == nameOf(kind)) return kind;
  reader.fail(at, "unknown kind of fault '" + text + "'");
}

Experiment experimentOf(const ::toml::table& file, const std::string& name) {
  Experiment e;
  Reader reader(file, "", name);
  const auto take = [&](const char* key, int least, int most, int& to) {
    to = reader.number(key, least, most, to);
  };
  e.name = reader.text("name", "unnamed");
  take("seconds", 1, kSecondsMost, e.seconds);
  take("gateways", 1, kProcessesMost, e.gateways);
  take("keepers", 1, 5, e.keepers);
  take("workers", 1, kProcessesMost, e.workers);
  e.fleet = reader.flag("fleet", e.fleet);
  e.disks = reader.flag("disks", e.disks);
  e.probing = reader.flag("probing", e.probing);
  e.rate = reader.real("rate", 0, kRateMost, e.rate);
  take("beat_ms", 50, 10'000, e.beatMs);
  take("lease_ms", 200, 60'000, e.leaseMs);
  take("alone_after_ms", 200, 60'000, e.aloneMs);
  take("election_ms", 100, 10'000, e.electionMs);
  take("settle_ms", 0, 60'000, e.settleMs);
  take("probe_shards", 1, 256, e.probeShards);
  take("expect_refused", 0, 1'000'000, e.expectRefused);
  reader.tables("fault", [&](const ::toml::table& t) {
    Reader row(t, "[[fault]]: ", name);
    Fault fault;
    fault.atMs = row.number("at_ms", 0, kSecondsMost * 1000, 0);
    fault.forMs = row.number("for_ms", 0, kSecondsMost * 1000, 0);
    fault.ms = row.number("ms", -kStepMost, kStepMost, 0);
    fault.kind = kindOf(row.text("kind"), row, row.find("kind"));
    fault.whom = row.text("whom", "");
    if (fault.whom.empty()) row.fail(nullptr, "a fault needs 'whom'");
    row.finish();
    e.faults.push_back(fault);
  });
  reader.tables("host", [&](const ::toml::table& t) {
    Reader row(t, "[[host]]: ", name);
    HostChange change;
    change.atMs = row.number("at_ms", 0, kSecondsMost * 1000, 0);
    change.worker = row.number("worker", 0, kProcessesMost, 0);
    change.state = row.text("state");
    if (change.state != "SERVING" && change.state != "DRAINING" && change.state != "DELETED")
      row.fail(row.find("state"), "a host's state is SERVING, DRAINING or DELETED");
    row.finish();
    e.changes.push_back(change);
  });
  if (const ::toml::node* node = reader.find("random")) {
    if (!node->is_table()) reader.fail(node, "'random' is no table");
    Reader random(*node->as_table(), "[random]: ", name);
    e.randomFaults = random.number("faults", 0, 100, e.randomFaults);
    e.randomFromMs = random.number("from_ms", 0, kSecondsMost * 1000, e.randomFromMs);
    if (const ::toml::node* kinds = random.find("kinds")) {
      if (!kinds->is_array()) random.fail(kinds, "'kinds' is no list");
      for (const ::toml::node& kind : *kinds->as_array())
        e.randomKinds.push_back(kindOf(kind.value<std::string>().value_or(""), random, &kind));
    }
    random.finish();
  }
  reader.finish();
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
  return experimentOf(toml::parse(text, name), name);
}

Experiment readExperiment(const std::string& path) { return parseExperiment(toml::readWhole(path), path); }

Experiment planned(Experiment e, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  const std::vector<FaultKind> kinds =
      e.randomKinds.empty() ? std::vector<FaultKind>(kKinds.begin(), kKinds.end() - 1) : e.randomKinds;
  // No faults in the last part of the run, so that anything that does not recover shows.
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
