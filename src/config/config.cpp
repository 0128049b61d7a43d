#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>

namespace cairnjunction {
namespace {

using nlohmann::json;
using policy::Duration;

template <class T>
void read(const json& object, const char* name, T& into) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return;
  try {
    if constexpr (std::is_same_v<T, Duration>) into = Duration(it->get<std::int64_t>());
    else if constexpr (std::is_same_v<T, std::uint32_t>) {
      const auto n = it->get<std::int64_t>();
      if (n < 0 || n > std::numeric_limits<std::uint32_t>::max()) throw BadConfig("out of range");
      into = static_cast<std::uint32_t>(n);
    } else into = it->get<T>();
  } catch (const std::exception& bad) {
    throw BadConfig(std::string(name) + ": " + bad.what());
  }
}

const json& part(const json& object, const char* name) {
  static const json none = json::object();
  const auto it = object.find(name);
  if (it == object.end()) return none;
  if (!it->is_object()) throw BadConfig(std::string(name) + " is no object");
  return *it;
}

// Throws BadConfig unless the member is absent or a number above 0.
void requirePositive(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  if (!it->is_number() || it->get<double>() <= 0)
    throw BadConfig(std::string(name) + ": " + it->dump() + " is no number above 0");
}

policy::ClassSettings readClass(const json& grade) {
  if (!grade.is_object()) throw BadConfig("grades: an entry is no object");
  requirePositive(grade, "aimNs");
  requirePositive(grade, "giveUpNs");
  policy::ClassSettings c;
  std::string effect = "fragile", group = "all";
  read(grade, "name", c.name);
  read(grade, "aimNs", c.latencyObjective);
  read(grade, "giveUpNs", c.clientTimeout);
  read(grade, "windowNs", c.dedupWindow);
  read(grade, "points", c.priorityWeight);
  read(grade, "lateShare", c.lateValueFraction);
  read(grade, "aimStretch", c.objectiveCostFactor);
  read(grade, "inTurn", c.serializedByKey);
  read(grade, "effect", effect);
  read(grade, "group", group);
  if (effect == "retryable") c.idempotency = policy::Idempotency::safe;
  else if (effect == "dedup") {
    c.idempotency = policy::Idempotency::keyed;
    // With a dedup window of zero, endpoints drop no repeats: a retry of a keyed request would run a second
    // time.
    if (c.dedupWindow <= Duration{})
      throw BadConfig("windowNs: class '" + c.name + "' has its repeats dropped, so it needs one above 0");
  } else if (effect != "fragile") throw BadConfig("effect: unknown '" + effect + "'");
  if (group == "zone") c.dedupScope = policy::DedupScope::zone;
  else if (group == "cell") c.dedupScope = policy::DedupScope::cell;
  else if (group != "all") throw BadConfig("group: unknown '" + group + "'");
  std::vector<std::string> names;
  if (grade.contains("staysIn")) read(grade, "staysIn", names), c.allowedZones = names;
  names.clear();
  if (grade.contains("boundTo")) read(grade, "boundTo", names), c.allowedMachineKinds = names;
  c.clientTimeout = std::max(c.clientTimeout, c.latencyObjective);
  return c;
}

policy::Settings readSettings(const json& settings) {
  policy::Settings s;
  std::string registryMode, weights;
  read(settings, "groupSize", s.gatewayCount);
  read(settings, "myNumber", s.gatewayIndex);
  read(settings, "zone", s.zone);
  read(settings, "overShareWorth", s.overQuotaWeightFactor);
  read(settings, "registryMode", registryMode);
  read(settings, "weights", weights);
  read(settings, "stepNs", s.eventInterval);
  if (!registryMode.empty() && registryMode != "ask" && registryMode != "push")
    throw BadConfig("registryMode: '" + registryMode + "' is neither ask nor push");
  s.pollDiscovery = registryMode == "ask";
  s.loadReports = weights == "live";
  read(part(settings, "domain"), "warmKeys", s.keyAffinity);
  const json& ceilings = part(settings, "ceilings");
  requirePositive(ceilings, "connectTimeoutNs");
  read(ceilings, "retryAfter", s.retryAfterAllowed);
  read(ceilings, "cancel", s.cancelAllowed);
  requirePositive(ceilings, "maxAttempts");
  read(ceilings, "maxAttempts", s.maxAttempts);
  read(ceilings, "idleCloseNs", s.idleTimeout);
  read(ceilings, "maxRetryAfterNs", s.maxRetryAfter);
  // On sockets a connection carries one request at a time, whatever the simulator's setting says. With a
  // larger number the load balancer would count a busy connection as a free one.
  s.streamsPerConnection = 1;
  const json& rules = part(settings, "rules");
  read(rules, "askWithinNs", s.maxPollInterval);
  read(rules, "coldNs", s.slowStartDuration);
  read(rules, "coldShare", s.slowStartInitialFraction);
  read(rules, "fallMultiple", s.collapseLoadFactor);
  read(rules, "fallNs", s.collapseWindow);
  read(rules, "keyRestNs", s.keyCooldown);
  const auto grades = settings.find("grades");
  if (grades == settings.end() || !grades->is_array()) throw BadConfig("grades: missing or no list");
  for (const json& grade : *grades) s.classes.push_back(readClass(grade));
  for (std::size_t i = 0; i < s.classes.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (s.classes[i].name == s.classes[j].name)
        throw BadConfig("grades: '" + s.classes[i].name + "' stands there twice");
  if (const auto tenants = settings.find("tenants"); tenants != settings.end() && tenants->is_array())
    for (const json& tenant : *tenants) {
      policy::TenantSettings t;
      read(tenant, "name", t.name);
      read(tenant, "quotaRps", t.quotaPerSecond);
      s.tenants.push_back(t);
    }
  return s;
}

std::uint64_t readSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw BadConfig("seed: '" + text + "' is no hexadecimal number");
  return seed;
}

int readDescriptor(const std::string& text) {
  int fd = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fd);
  if (error != std::errc{} || end != text.data() + text.size() || fd < 3)
    throw BadConfig("GW_ACCEPT_FD: '" + text + "' is no descriptor of an inherited socket");
  return fd;
}

std::string told(const json& config, const char* name, const char* variable, const Environment& environment,
                 Reading reading) {
  std::string text;
  const char* value = environment(variable);
  if (value && (reading == Reading::atStart || !config.contains(name))) text = value;
  else read(config, name, text);
  return text;
}

tcp::endpoint toldEndpoint(const json& config, const char* name, const char* variable,
                           const Environment& environment, Reading reading) {
  const std::string text = told(config, name, variable, environment, reading);
  if (text.empty()) throw BadConfig(std::string(variable) + " is not set");
  try {
    return parseEndpoint(text);
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(std::string(variable) + ": " + bad.what());
  }
}

void addShape(const json& object, const std::string& path, ConfigShape& shape) {
  for (const auto& [key, value] : object.items()) {
    if (path.empty() && (key == "known" || key == "seed")) continue;
    shape.push_back(path + key);
    if (value.is_object()) addShape(value, path + key + "/", shape);
  }
}

void addClassShape(const json& grades, ConfigShape& shape) {  // as read by readClass
  for (const auto& [key, value] : grades.at(0).items())
    if (std::all_of(grades.begin(), grades.end(), [&, k = key](const json& c) { return c.contains(k); }))
      shape.push_back("settings/grades/*/" + key);
}

ConfigShape shapeOf(const json& config) {
  ConfigShape shape;
  addShape(config, "", shape);
  addClassShape(config.at("settings").at("grades"), shape);
  std::sort(shape.begin(), shape.end());
  return shape;
}

}  // namespace

void requireShape(const ConfigShape& inForce, const ConfigShape& next) {
  for (const std::string& key : inForce)
    if (!std::binary_search(next.begin(), next.end(), key))
      throw BadConfig("'" + key + "' is missing, which the file in force has");
}

Config parseConfig(const json& json, const Environment& environment, Reading reading) {
  if (!json.is_object()) throw BadConfig("the configuration is no object");
  Config config;
  config.name = told(json, "name", "GW_NAME", environment, reading);
  config.listen = toldEndpoint(json, "listen", "GW_LISTEN", environment, reading);
  config.discovery = toldEndpoint(json, "discovery", "GW_DISCOVERY", environment, reading);
  if (!told(json, "mgmt", "GW_MGMT", environment, reading).empty())
    config.mgmt = toldEndpoint(json, "mgmt", "GW_MGMT", environment, reading);
  if (const char* fd = environment("GW_ACCEPT_FD")) config.acceptFd = readDescriptor(fd);
  config.module = readSettings(part(json, "settings"));
  std::string seed;
  read(json, "seed", seed);
  if (!seed.empty()) config.module.seed = readSeed(seed);
  read(part(json, "limits"), "sockets", config.sockets);
  requirePositive(part(json, "limits"), "memory_mb");
  read(part(json, "limits"), "memory_mb", config.memoryMb);
  if (config.sockets < 64) throw BadConfig("sockets: at least 64 are needed");
  config.connectTimeout = std::chrono::milliseconds(250);
  read(part(part(json, "settings"), "ceilings"), "connectTimeoutNs", config.connectTimeout);
  if (json.contains("known")) try {
      config.known = parseEndpointList(json.at("known"));
    } catch (const std::invalid_argument& bad) {
      throw BadConfig(std::string("known: ") + bad.what());
    }
  try {  // the load balancer validates its own settings
    policy::LoadBalancer probe(config.module, policy::Timestamp{});
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(bad.what());
  }
  config.shape = shapeOf(json);
  return config;
}

Config readConfig(const Environment& environment, Reading reading) {
  const char* path = environment("GW_CONFIG");
  if (!path) throw BadConfig("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw BadConfig(std::string("cannot read ") + path);
  const json parsed = json::parse(file, nullptr, false);
  if (parsed.is_discarded()) throw BadConfig(std::string(path) + " holds no JSON");
  return parseConfig(parsed, environment, reading);
}

}  // namespace cairnjunction
