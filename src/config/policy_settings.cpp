#include "config/policy_settings.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/json_fields.hpp"

namespace cairnjunction {
namespace {

using json_fields::objectField;
using json_fields::read;
using json_fields::requirePositive;
using nlohmann::json;
using policy::Duration;

policy::Idempotency idempotencyOf(const std::string& effect) {
  if (effect == "retryable") return policy::Idempotency::safe;
  if (effect == "dedup") return policy::Idempotency::keyed;
  if (effect == "fragile") return policy::Idempotency::unsafe;
  throw BadConfig("effect: unknown '" + effect + "'");
}

policy::DedupScope dedupScopeOf(const std::string& group) {
  if (group == "all") return policy::DedupScope::all;
  if (group == "zone") return policy::DedupScope::zone;
  if (group == "cell") return policy::DedupScope::cell;
  throw BadConfig("group: unknown '" + group + "'");
}

std::vector<std::string> readNames(const json& object, const char* name) {
  std::vector<std::string> names;
  read(object, name, names);
  return names;
}

policy::ClassSettings readClass(const json& grade) {
  if (!grade.is_object()) throw BadConfig("grades: each entry must be an object");
  requirePositive(grade, "aimNs");
  requirePositive(grade, "giveUpNs");
  policy::ClassSettings result;
  std::string effect = "fragile";
  std::string group = "all";
  read(grade, "name", result.name);
  read(grade, "aimNs", result.latencyObjective);
  read(grade, "giveUpNs", result.clientTimeout);
  read(grade, "windowNs", result.dedupWindow);
  read(grade, "points", result.priorityWeight);
  read(grade, "lateShare", result.lateValueFraction);
  read(grade, "aimStretch", result.objectiveCostFactor);
  read(grade, "inTurn", result.serializedByKey);
  read(grade, "effect", effect);
  read(grade, "group", group);
  result.idempotency = idempotencyOf(effect);
  // With a window of 0, endpoints would drop no repeats, and a retry could run the request twice.
  if (result.idempotency == policy::Idempotency::keyed && result.dedupWindow <= Duration{})
    throw BadConfig("windowNs: must be above 0 for class '" + result.name + "', whose effect is dedup");
  result.dedupScope = dedupScopeOf(group);
  // An empty list allows none; a missing list allows all.
  if (grade.contains("staysIn")) result.allowedZones = readNames(grade, "staysIn");
  if (grade.contains("boundTo")) result.allowedMachineKinds = readNames(grade, "boundTo");
  result.clientTimeout = std::max(result.clientTimeout, result.latencyObjective);
  return result;
}

void requireDistinctNames(const std::vector<policy::ClassSettings>& classes) {
  for (std::size_t i = 0; i < classes.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (classes[i].name == classes[j].name)
        throw BadConfig("grades: '" + classes[i].name + "' is listed twice");
}

void readClasses(const json& settings, policy::Settings& result) {
  const auto grades = settings.find("grades");
  if (grades == settings.end() || !grades->is_array()) throw BadConfig("grades: missing or not a list");
  for (const json& grade : *grades) result.classes.push_back(readClass(grade));
  requireDistinctNames(result.classes);
}

void readTenants(const json& settings, policy::Settings& result) {
  const auto tenants = settings.find("tenants");
  if (tenants == settings.end() || !tenants->is_array()) return;
  for (const json& entry : *tenants) {
    policy::TenantSettings tenant;
    read(entry, "name", tenant.name);
    read(entry, "quotaRps", tenant.quotaPerSecond);
    result.tenants.push_back(tenant);
  }
}

void readFleet(const json& settings, policy::Settings& result) {
  std::string registryMode;
  std::string weights;
  read(settings, "groupSize", result.gatewayCount);
  read(settings, "myNumber", result.gatewayIndex);
  read(settings, "zone", result.zone);
  read(settings, "overShareWorth", result.overQuotaWeightFactor);
  read(settings, "registryMode", registryMode);
  read(settings, "weights", weights);
  read(settings, "stepNs", result.eventInterval);
  if (!registryMode.empty() && registryMode != "ask" && registryMode != "push")
    throw BadConfig("registryMode: '" + registryMode + "' is neither ask nor push");
  result.pollDiscovery = registryMode == "ask";
  result.loadReports = weights == "live";
  read(objectField(settings, "domain"), "warmKeys", result.keyAffinity);
}

void readCeilings(const json& ceilings, policy::Settings& result) {
  requirePositive(ceilings, "connectTimeoutNs");
  read(ceilings, "retryAfter", result.retryAfterAllowed);
  read(ceilings, "cancel", result.cancelAllowed);
  requirePositive(ceilings, "maxAttempts");
  read(ceilings, "maxAttempts", result.maxAttempts);
  read(ceilings, "idleCloseNs", result.idleTimeout);
  read(ceilings, "maxRetryAfterNs", result.maxRetryAfter);
  // On sockets a connection carries one request at a time, independent of the simulator's setting. With a
  // higher value the decision module would treat a busy connection as a free one.
  result.streamsPerConnection = 1;
}

void readRules(const json& rules, policy::Settings& result) {
  read(rules, "askWithinNs", result.maxPollInterval);
  read(rules, "coldNs", result.slowStartDuration);
  read(rules, "coldShare", result.slowStartInitialFraction);
  read(rules, "fallMultiple", result.collapseLoadFactor);
  read(rules, "fallNs", result.collapseWindow);
  read(rules, "keyRestNs", result.keyCooldown);
}

}  // namespace

policy::Settings readPolicySettings(const json& settings) {
  policy::Settings result;
  readFleet(settings, result);
  readCeilings(objectField(settings, "ceilings"), result);
  readRules(objectField(settings, "rules"), result);
  readClasses(settings, result);
  readTenants(settings, result);
  return result;
}

}  // namespace cairnjunction
