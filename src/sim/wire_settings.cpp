#include "sim/wire_settings.hpp"

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

#include "sim/wire_line.hpp"

namespace cairnjunction::sim {
namespace {

using policy::ClassSettings;
using policy::DedupScope;
using policy::Duration;
using policy::Idempotency;
using policy::Settings;
using policy::TenantSettings;

// How a value of the wire is put into settings of type Target.
template <class Target>
using Reader = void (*)(Target&, const Pair&);

template <class Target>
using Readers = std::unordered_map<std::string_view, Reader<Target>>;

template <class Target, class Number, Number Target::*Field>
void readNumber(Target& target, const Pair& pair) {
  target.*Field = parseNumber<Number>(pair);
}

template <class Target, Duration Target::*Field>
void readDuration(Target& target, const Pair& pair) {
  target.*Field = parseDuration(pair);
}

template <class Target, bool Target::*Field>
void readBool(Target& target, const Pair& pair) {
  target.*Field = parseBool(pair);
}

template <class Target, std::string Target::*Field>
void readText(Target& target, const Pair& pair) {
  target.*Field = pair.value;
}

Idempotency idempotencyOf(std::string_view effect) {
  if (effect == "retryable") return Idempotency::safe;
  if (effect == "dedup") return Idempotency::keyed;
  return Idempotency::unsafe;
}

DedupScope dedupScopeOf(std::string_view group) {
  if (group == "all") return DedupScope::all;
  if (group == "zone") return DedupScope::zone;
  return DedupScope::cell;
}

const Readers<Settings>& settingsReaders() {
  static const Readers<Settings> readers = {
      // The wire's seed is signed.
      {"rngSeed",
       [](Settings& settings, const Pair& pair) {
         settings.seed = static_cast<std::uint64_t>(parseNumber<std::int64_t>(pair));
       }},
      {"groupSize", readNumber<Settings, std::uint32_t, &Settings::gatewayCount>},
      {"myNumber", readNumber<Settings, std::uint32_t, &Settings::gatewayIndex>},
      {"zone", readText<Settings, &Settings::zone>},
      {"overShareWorth", readNumber<Settings, double, &Settings::overQuotaWeightFactor>},
      {"weights", [](Settings& settings, const Pair& pair) { settings.loadReports = pair.value == "live"; }},
      {"registryMode",
       [](Settings& settings, const Pair& pair) { settings.pollDiscovery = pair.value == "ask"; }},
      {"stepNs", readDuration<Settings, &Settings::eventInterval>},
      {"domain.warmKeys", readBool<Settings, &Settings::keyAffinity>},
      {"ceilings.parallelTries", readBool<Settings, &Settings::hedging>},
      {"ceilings.retryAfter", readBool<Settings, &Settings::retryAfterAllowed>},
      {"ceilings.cancel", readBool<Settings, &Settings::cancelAllowed>},
      {"ceilings.maxAttempts", readNumber<Settings, std::uint32_t, &Settings::maxAttempts>},
      {"ceilings.streamsPerConn", readNumber<Settings, std::uint32_t, &Settings::streamsPerConnection>},
      {"ceilings.idleCloseNs", readDuration<Settings, &Settings::idleTimeout>},
      {"ceilings.maxRetryAfterNs", readDuration<Settings, &Settings::maxRetryAfter>},
      {"rules.askWithinNs", readDuration<Settings, &Settings::maxPollInterval>},
      {"rules.coldNs", readDuration<Settings, &Settings::slowStartDuration>},
      {"rules.coldShare", readNumber<Settings, double, &Settings::slowStartInitialFraction>},
      {"rules.fallMultiple", readNumber<Settings, double, &Settings::collapseLoadFactor>},
      {"rules.fallNs", readDuration<Settings, &Settings::collapseWindow>},
      {"rules.keyRestNs", readDuration<Settings, &Settings::keyCooldown>},
  };
  return readers;
}

const Readers<ClassSettings>& classReaders() {
  static const Readers<ClassSettings> readers = {
      {"name", readText<ClassSettings, &ClassSettings::name>},
      {"aimNs", readDuration<ClassSettings, &ClassSettings::latencyObjective>},
      {"giveUpNs", readDuration<ClassSettings, &ClassSettings::clientTimeout>},
      {"windowNs", readDuration<ClassSettings, &ClassSettings::dedupWindow>},
      {"points", readNumber<ClassSettings, double, &ClassSettings::priorityWeight>},
      {"lateShare", readNumber<ClassSettings, double, &ClassSettings::lateValueFraction>},
      {"aimStretch", readNumber<ClassSettings, double, &ClassSettings::objectiveCostFactor>},
      {"inTurn", readBool<ClassSettings, &ClassSettings::serializedByKey>},
      {"staysIn",
       [](ClassSettings& settings, const Pair& pair) { settings.allowedZones = parseNames(pair.value); }},
      {"boundTo", [](ClassSettings& settings,
                     const Pair& pair) { settings.allowedMachineKinds = parseNames(pair.value); }},
      {"effect",
       [](ClassSettings& settings, const Pair& pair) { settings.idempotency = idempotencyOf(pair.value); }},
      {"group",
       [](ClassSettings& settings, const Pair& pair) { settings.dedupScope = dedupScopeOf(pair.value); }},
  };
  return readers;
}

const Readers<TenantSettings>& tenantReaders() {
  static const Readers<TenantSettings> readers = {
      {"name", readText<TenantSettings, &TenantSettings::name>},
      {"quotaRps", readNumber<TenantSettings, double, &TenantSettings::quotaPerSecond>},
  };
  return readers;
}

template <class Target>
void readField(const Readers<Target>& readers, std::string_view field, Target& target, const Pair& pair) {
  const auto it = readers.find(field);
  if (it != readers.end()) it->second(target, pair);
}

// The element of a list whose parts come in any order.
template <class Element>
Element& elementAt(std::vector<Element>& list, std::size_t index) {
  if (list.size() <= index) list.resize(index + 1);
  return list[index];
}

void readPair(Settings& settings, const Pair& pair) {
  if (const auto ofClass = indexedName(pair.name, "grades"))
    readField(classReaders(), ofClass->field, elementAt(settings.classes, ofClass->index), pair);
  else if (const auto ofTenant = indexedName(pair.name, "tenants"))
    readField(tenantReaders(), ofTenant->field, elementAt(settings.tenants, ofTenant->index), pair);
  else readField(settingsReaders(), pair.name, settings, pair);
}

}  // namespace

Settings readSettings(std::string_view pairs) {
  Settings settings;
  try {
    while (const auto pair = nextPair(pairs)) readPair(settings, *pair);
  } catch (const BadLine& bad) {
    throw std::invalid_argument(bad.what());
  }
  for (ClassSettings& each : settings.classes)
    each.clientTimeout = std::max(each.clientTimeout, each.latencyObjective);
  return settings;
}

}  // namespace cairnjunction::sim
