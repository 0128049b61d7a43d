#include "config/config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>

#include "config/json_fields.hpp"
#include "config/policy_settings.hpp"

namespace cairnjunction {
namespace {

using json_fields::objectField;
using json_fields::read;
using json_fields::requirePositive;
using nlohmann::json;

constexpr std::size_t kMinSockets = 64;
constexpr std::chrono::milliseconds kDefaultConnectTimeout{250};

std::uint64_t readSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, seed, 16);
  if (error != std::errc{} || end != last)
    throw BadConfig("seed: '" + text + "' is not a hexadecimal number");
  return seed;
}

int readDescriptor(const std::string& text) {
  int descriptor = -1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, descriptor);
  if (error != std::errc{} || end != last || descriptor < 3)  // 0 to 2 are the standard streams
    throw BadConfig("GW_ACCEPT_FD: '" + text + "' is not a file descriptor of an inherited socket");
  return descriptor;
}

// Reads entries that an environment variable or the file may set.
class EntryReader {
 public:
  EntryReader(const json& config, const Environment& environment, Reading reading)
      : config_(config), environment_(environment), reading_(reading) {}

  // The value of the entry `name` or of `variable`, by Reading; empty if neither is set.
  std::string text(const char* name, const char* variable) const {
    const char* value = environment_(variable);
    if (value && (reading_ == Reading::atStart || !config_.contains(name))) return value;
    std::string text;
    read(config_, name, text);
    return text;
  }
  // The same as an address and a port. Throws BadConfig if neither is set or the value is malformed.
  tcp::endpoint endpoint(const char* name, const char* variable) const {
    const std::string address = text(name, variable);
    if (address.empty()) throw BadConfig(std::string(variable) + " is not set");
    try {
      return parseEndpoint(address);
    } catch (const std::invalid_argument& bad) {
      throw BadConfig(std::string(variable) + ": " + bad.what());
    }
  }

 private:
  const json& config_;
  const Environment& environment_;
  Reading reading_;
};

policy::Settings readDecisionSettings(const json& config) {
  policy::Settings settings = readPolicySettings(objectField(config, "settings"));
  std::string seed;
  read(config, "seed", seed);
  if (!seed.empty()) settings.seed = readSeed(seed);
  return settings;
}

void readLimits(const json& limits, Config& config) {
  read(limits, "sockets", config.sockets);
  requirePositive(limits, "memory_mb");
  read(limits, "memory_mb", config.memoryMb);
  if (config.sockets < kMinSockets)
    throw BadConfig("sockets: must be at least " + std::to_string(kMinSockets));
}

std::optional<EndpointList> readKnown(const json& config) {
  if (!config.contains("known")) return std::nullopt;
  try {
    return parseEndpointList(config.at("known"));
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(std::string("known: ") + bad.what());
  }
}

// Throws BadConfig if the decision module, which checks its settings itself, rejects them.
void requireAccepted(const policy::Settings& settings) {
  try {
    const policy::LoadBalancer probe(settings, policy::Timestamp{});
  } catch (const std::invalid_argument& bad) {
    throw BadConfig(bad.what());
  }
}

}  // namespace

Config parseConfig(const json& document, const Environment& environment, Reading reading) {
  if (!document.is_object()) throw BadConfig("the configuration is not a JSON object");
  const EntryReader entries(document, environment, reading);
  Config config;
  config.name = entries.text("name", "GW_NAME");
  config.listen = entries.endpoint("listen", "GW_LISTEN");
  config.discovery = entries.endpoint("discovery", "GW_DISCOVERY");
  if (!entries.text("mgmt", "GW_MGMT").empty()) config.mgmt = entries.endpoint("mgmt", "GW_MGMT");
  if (const char* descriptor = environment("GW_ACCEPT_FD")) config.acceptFd = readDescriptor(descriptor);
  config.module = readDecisionSettings(document);
  readLimits(objectField(document, "limits"), config);
  config.connectTimeout = kDefaultConnectTimeout;
  read(objectField(objectField(document, "settings"), "ceilings"), "connectTimeoutNs", config.connectTimeout);
  config.known = readKnown(document);
  requireAccepted(config.module);
  config.shape = shapeOf(document);
  return config;
}

Config readConfig(const Environment& environment, Reading reading) {
  const char* path = environment("GW_CONFIG");
  if (!path) throw BadConfig("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw BadConfig(std::string("cannot read ") + path);
  const json parsed = json::parse(file, nullptr, false);
  if (parsed.is_discarded()) throw BadConfig(std::string(path) + " is not valid JSON");
  return parseConfig(parsed, environment, reading);
}

}  // namespace cairnjunction
