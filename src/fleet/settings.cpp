// The fleet file.
#include "fleet/settings.hpp"

#include <algorithm>
#include <set>

#include "discovery/endpoint_list.hpp"

namespace cairnjunction::fleet {
namespace {

using std::chrono::milliseconds;

constexpr int kMembersMost = 10'000, kShardsMost = 256;
// Of a lease: an owner that misses one beat, and the next one's answer, still has it.
constexpr int kBeatsInLease = 3;

using toml::Reader;

std::string nameAt(Reader& reader, const char* key) {
  const std::string value = reader.text(key);
  if (value.empty() || value.size() > lease::kNameMost)
    reader.fail(reader.find(key),
                std::string("'") + key + "' needs 1 to " + std::to_string(lease::kNameMost) + " bytes");
  return value;
}

boost::asio::ip::tcp::endpoint endpointOf(Reader& reader, const char* key) {
  try {
    return parseEndpoint(reader.text(key));
  } catch (const std::invalid_argument& bad) {
    reader.fail(reader.find(key), std::string("'") + key + "': " + bad.what());
  }
}

CoordinatorAddress keeperOf(const ::toml::table& table, const std::string& name) {
  Reader reader(table, "[[keeper]]: ", name);
  CoordinatorAddress keeper;
  keeper.number = static_cast<int>(reader.number("number", 1, 1'000'000, 0));
  if (keeper.number == 0) reader.fail(nullptr, "'number' is missing");
  keeper.address = endpointOf(reader, "address");
  const auto raft = endpointOf(reader, "raft");
  if (!raft.address().is_v4()) reader.fail(reader.find("raft"), "'raft' is no IPv4 address:port");
  keeper.raft = reader.text("raft");
  reader.finish();
  return keeper;
}

lease::TaskSpec dutyOf(const ::toml::table& table, const std::string& name, milliseconds beat) {
  Reader reader(table, "[[duty]]: ", name);
  lease::TaskSpec spec;
  spec.task = nameAt(reader, "name");
  spec.shards = static_cast<std::uint32_t>(reader.number("shards", 1, kShardsMost, 1));
  spec.leaseDuration = milliseconds(reader.number("lease_ms", lease::kLeaseLeast.count(),
                                                  lease::kLeaseMost.count(), spec.leaseDuration.count()));
  if (spec.leaseDuration < kBeatsInLease * beat)
    reader.fail(reader.find("lease_ms"), "a lease of " + std::to_string(spec.leaseDuration.count()) +
                                             " ms is shorter than three beats of " +
                                             std::to_string(beat.count()) + " ms");
  spec.preferredSuccessor = reader.text("heirs", "");
  spec.antiAffinity = reader.text("apart_from", "");
  reader.finish();
  return spec;
}

Settings settingsOf(const ::toml::table& file, const std::string& name) {
  Settings settings;
  Reader reader(file, "", name);
  settings.fleet = nameAt(reader, "fleet");
  settings.members = static_cast<std::uint32_t>(reader.number("members", 1, kMembersMost, 1));
  const auto time = [&](const char* key, std::int64_t least, std::int64_t most, milliseconds& to) {
    to = milliseconds(reader.number(key, least, most, to.count()));
  };
  time("beat_ms", 50, 10'000, settings.heartbeatInterval);
  time("alone_after_ms", 200, 60'000, settings.isolatedAfter);
  time("settle_ms", 0, 60'000, settings.leaderSettleTime);
  time("election_ms", 100, 10'000, settings.electionTimeout);
  if (settings.isolatedAfter < kBeatsInLease * settings.heartbeatInterval)
    reader.fail(reader.find("alone_after_ms"), "'alone_after_ms' is shorter than three beats");
  std::set<int> numbers;
  std::set<std::string> addresses;
  reader.tables("keeper", [&](const ::toml::table& table) {
    settings.coordinators.push_back(keeperOf(table, name));
    const CoordinatorAddress& k = settings.coordinators.back();
    if (!numbers.insert(k.number).second || !addresses.insert(textOf(k.address)).second ||
        !addresses.insert(k.raft).second)
      Reader(table, "[[keeper]]: ", name).fail(nullptr, "a number or an address stands there twice");
  });
  const std::size_t n = settings.coordinators.size();
  if (n != 1 && n != 3 && n != 5)
    reader.fail(reader.find("keeper"),
                "expected 3 or 5 keepers, or one to try it out, and found " + std::to_string(n));
  std::set<std::string> duties;
  reader.tables("duty", [&](const ::toml::table& table) {
    settings.tasks.push_back(dutyOf(table, name, settings.heartbeatInterval));
    if (!duties.insert(settings.tasks.back().task).second)
      Reader(table, "[[duty]]: ", name)
          .fail(nullptr, "'" + settings.tasks.back().task + "' stands there twice");
  });
  for (const lease::TaskSpec& spec : settings.tasks)
    for (const std::string& other : {spec.preferredSuccessor, spec.antiAffinity})
      if (!other.empty() && !duties.count(other))
        reader.fail(reader.find("duty"), "duty '" + spec.task + "' names '" + other + "', which is none");
  if (const ::toml::node* node = reader.find("member")) {
    if (!node->is_table()) reader.fail(node, "'member' is no table");
    Reader member(*node->as_table(), "[member]: ", name);
    settings.zone = member.text("zone", "");
    settings.eligible = member.flag("willing", true);
    settings.disk = member.text("disk", "");
    settings.log = member.text("log", "");
    member.finish();
  }
  reader.finish();
  return settings;
}

}  // namespace

const CoordinatorAddress* Settings::coordinator(int number) const {
  const auto it = std::find_if(coordinators.begin(), coordinators.end(),
                               [&](const auto& k) { return k.number == number; });
  return it == coordinators.end() ? nullptr : &*it;
}

const lease::TaskSpec* Settings::taskSpec(const std::string& duty) const {
  const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const auto& d) { return d.task == duty; });
  return it == tasks.end() ? nullptr : &*it;
}

Settings parseSettings(const std::string& text, const std::string& name) {
  return settingsOf(toml::parse(text, name), name);
}

Settings readSettings(const std::string& path) { return parseSettings(toml::readWhole(path), path); }

}  // namespace cairnjunction::fleet
