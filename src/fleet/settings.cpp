#include "fleet/settings.hpp"

#include <algorithm>
#include <set>

#include "discovery/endpoint_list.hpp"

namespace cairnjunction::fleet {
namespace {

using std::chrono::milliseconds;
using toml::Reader;

constexpr int kMaxMembers = 10'000;
constexpr int kMaxShards = 256;
constexpr int kMaxCoordinatorNumber = 1'000'000;
// Minimum lease duration and isolation timeout, in heartbeat intervals: a lease holder that misses one
// heartbeat, and the response to the next, keeps its lease.
constexpr int kMinHeartbeats = 3;

std::string readName(Reader& reader, const char* key) {
  std::string value = reader.text(key);
  if (value.empty() || value.size() > lease::kMaxNameBytes)
    reader.fail(reader.find(key),
                std::string("'") + key + "' needs 1 to " + std::to_string(lease::kMaxNameBytes) + " bytes");
  return value;
}

boost::asio::ip::tcp::endpoint readAddress(Reader& reader, const char* key) {
  try {
    return parseEndpoint(reader.text(key));
  } catch (const std::invalid_argument& bad) {
    reader.fail(reader.find(key), std::string("'") + key + "': " + bad.what());
  }
}

void readTime(Reader& reader, const char* key, std::int64_t min, std::int64_t max, milliseconds& value) {
  value = milliseconds(reader.number(key, min, max, value.count()));
}

CoordinatorAddress parseCoordinator(const ::toml::table& table, const std::string& file) {
  Reader reader(table, "[[keeper]]: ", file);
  CoordinatorAddress coordinator;
  coordinator.number = reader.number("number", 1, kMaxCoordinatorNumber, 0);
  if (coordinator.number == 0) reader.fail(nullptr, "'number' is missing");
  coordinator.address = readAddress(reader, "address");
  const auto raft = readAddress(reader, "raft");
  if (!raft.address().is_v4()) reader.fail(reader.find("raft"), "'raft' is no IPv4 address:port");
  coordinator.raft = reader.text("raft");
  reader.finish();
  return coordinator;
}

lease::TaskSpec parseTask(const ::toml::table& table, const std::string& file, milliseconds heartbeat) {
  Reader reader(table, "[[duty]]: ", file);
  lease::TaskSpec spec;
  spec.task = readName(reader, "name");
  spec.shards = static_cast<std::uint32_t>(reader.number("shards", 1, kMaxShards, 1));
  readTime(reader, "lease_ms", lease::kMinLeaseDuration.count(), lease::kMaxLeaseDuration.count(),
           spec.leaseDuration);
  if (spec.leaseDuration < kMinHeartbeats * heartbeat)
    reader.fail(reader.find("lease_ms"), "a lease of " + std::to_string(spec.leaseDuration.count()) +
                                             " ms is shorter than three beats of " +
                                             std::to_string(heartbeat.count()) + " ms");
  spec.preferredSuccessor = reader.text("heirs", "");
  spec.antiAffinity = reader.text("apart_from", "");
  reader.finish();
  return spec;
}

void readTimes(Reader& reader, Settings& settings) {
  readTime(reader, "beat_ms", 50, 10'000, settings.heartbeatInterval);
  readTime(reader, "alone_after_ms", 200, 60'000, settings.isolatedAfter);
  readTime(reader, "settle_ms", 0, 60'000, settings.leaderSettleTime);
  readTime(reader, "election_ms", 100, 10'000, settings.electionTimeout);
  if (settings.isolatedAfter < kMinHeartbeats * settings.heartbeatInterval)
    reader.fail(reader.find("alone_after_ms"), "'alone_after_ms' is shorter than three beats");
}

void readCoordinators(Reader& reader, const std::string& file, Settings& settings) {
  std::set<int> numbers;
  std::set<std::string> addresses;
  reader.tables("keeper", [&](const ::toml::table& table) {
    const CoordinatorAddress& added = settings.coordinators.emplace_back(parseCoordinator(table, file));
    const bool isNew = numbers.insert(added.number).second &&
                       addresses.insert(textOf(added.address)).second && addresses.insert(added.raft).second;
    if (!isNew)
      Reader(table, "[[keeper]]: ", file).fail(nullptr, "a number or an address stands there twice");
  });
  const std::size_t count = settings.coordinators.size();
  if (count != 1 && count != 3 && count != 5)
    reader.fail(reader.find("keeper"),
                "expected 3 or 5 keepers (or 1 for a trial), found " + std::to_string(count));
}

void readTasks(Reader& reader, const std::string& file, Settings& settings) {
  std::set<std::string> names;
  reader.tables("duty", [&](const ::toml::table& table) {
    const lease::TaskSpec& added =
        settings.tasks.emplace_back(parseTask(table, file, settings.heartbeatInterval));
    if (!names.insert(added.task).second)
      Reader(table, "[[duty]]: ", file).fail(nullptr, "'" + added.task + "' stands there twice");
  });
  for (const lease::TaskSpec& spec : settings.tasks)
    for (const std::string& other : {spec.preferredSuccessor, spec.antiAffinity})
      if (!other.empty() && !names.contains(other))
        reader.fail(reader.find("duty"), "duty '" + spec.task + "' names '" + other + "', which is none");
}

void readMember(Reader& reader, const std::string& file, Settings& settings) {
  const ::toml::node* node = reader.find("member");
  if (!node) return;
  if (!node->is_table()) reader.fail(node, "'member' is no table");
  Reader member(*node->as_table(), "[member]: ", file);
  settings.zone = member.text("zone", "");
  settings.eligible = member.flag("willing", true);
  settings.disk = member.text("disk", "");
  settings.log = member.text("log", "");
  member.finish();
}

}  // namespace

const CoordinatorAddress* Settings::coordinator(int number) const {
  const auto it = std::find_if(coordinators.begin(), coordinators.end(),
                               [&](const CoordinatorAddress& each) { return each.number == number; });
  return it == coordinators.end() ? nullptr : &*it;
}

const lease::TaskSpec* Settings::taskSpec(const std::string& task) const {
  const auto it = std::find_if(tasks.begin(), tasks.end(),
                               [&](const lease::TaskSpec& spec) { return spec.task == task; });
  return it == tasks.end() ? nullptr : &*it;
}

Settings parseSettings(const std::string& text, const std::string& name) {
  const ::toml::table table = toml::parse(text, name);
  Settings settings;
  Reader reader(table, "", name);
  settings.fleet = readName(reader, "fleet");
  settings.members = static_cast<std::uint32_t>(reader.number("members", 1, kMaxMembers, 1));
  readTimes(reader, settings);
  readCoordinators(reader, name, settings);
  readTasks(reader, name, settings);
  readMember(reader, name, settings);
  reader.finish();
  return settings;
}

Settings readSettings(const std::string& path) { return parseSettings(toml::readWhole(path), path); }

}  // namespace cairnjunction::fleet
