// The fleet file.
#include "fleet/settings.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "discovery/host_list.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMembersMost = 10'000, kShardsMost = 256;
// Of a lease: an owner that misses one beat, and the next one's answer, still has it.
constexpr int kBeatsInLease = 3;

class Reader {
 public:
  Reader(const toml::table& table, std::string what, std::string name)
      : table_(table), what_(std::move(what)), name_(std::move(name)) {}

  [[noreturn]] void fail(const toml::node* node, const std::string& problem) const {
    std::ostringstream text;
    text << name_;
    const toml::source_region& at = node ? node->source() : table_.source();
    if (at.begin.line) text << ":" << at.begin.line;
    text << ": " << what_ << problem;
    throw BadSettings(text.str());
  }
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  std::string text(const char* key, const char* otherwise = nullptr) {
    const toml::node* node = find(key);
    if (!node && otherwise) return otherwise;
    if (!node) fail(nullptr, std::string("'") + key + "' is missing");
    const auto value = node->value_exact<std::string>();
    if (!value) fail(node, std::string("'") + key + "' is not a text");
    if (value->size() > duty::kNameMost * 8) fail(node, std::string("'") + key + "' is too long");
    return *value;
  }
  std::string name(const char* key) {
    const std::string value = text(key);
    if (value.empty() || value.size() > duty::kNameMost)
      fail(find(key), std::string("'") + key + "' needs 1 to " + std::to_string(duty::kNameMost) + " bytes");
    return value;
  }
  std::int64_t number(const char* key, std::int64_t least, std::int64_t most, std::int64_t otherwise) {
    const toml::node* node = find(key);
    if (!node) return otherwise;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most)
      fail(node, std::string("'") + key + "' is no number from " + std::to_string(least) + " to " +
                     std::to_string(most));
    return *value;
  }
  bool flag(const char* key, bool otherwise) {
    const toml::node* node = find(key);
    if (!node) return otherwise;
    const auto value = node->value_exact<bool>();
    if (!value) fail(node, std::string("'") + key + "' is neither true nor false");
    return *value;
  }
  void tables(const char* key, const std::function<void(const toml::table&)>& each) {
    const toml::node* node = find(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array || !array->is_homogeneous<toml::table>())
      fail(node, std::string("'") + key + "' is not given as [[" + key + "]]");
    for (const toml::node& element : *array) each(*element.as_table());
  }
  void finish() const {
    for (const auto& [key, node] : table_)
      if (!known_.count(std::string(key.str()))) fail(&node, "unknown key '" + std::string(key.str()) + "'");
  }

 private:
  const toml::table& table_;
  std::string what_, name_;
  std::set<std::string> known_;
};

boost::asio::ip::tcp::endpoint endpointOf(Reader& reader, const char* key) {
  try {
    return parseEndpoint(reader.text(key));
  } catch (const std::invalid_argument& bad) {
    reader.fail(reader.find(key), std::string("'") + key + "': " + bad.what());
  }
}

KeeperAddress keeperOf(const toml::table& table, const std::string& name) {
  Reader reader(table, "[[keeper]]: ", name);
  KeeperAddress keeper;
  keeper.number = static_cast<int>(reader.number("number", 1, 1'000'000, 0));
  if (keeper.number == 0) reader.fail(nullptr, "'number' is missing");
  keeper.address = endpointOf(reader, "address");
  const auto raft = endpointOf(reader, "raft");
  if (!raft.address().is_v4()) reader.fail(reader.find("raft"), "'raft' is no IPv4 address:port");
  keeper.raft = reader.text("raft");
  reader.finish();
  return keeper;
}

duty::Spec dutyOf(const toml::table& table, const std::string& name, milliseconds beat) {
  Reader reader(table, "[[duty]]: ", name);
  duty::Spec spec;
  spec.duty = reader.name("name");
  spec.shards = static_cast<std::uint32_t>(reader.number("shards", 1, kShardsMost, 1));
  spec.lease = milliseconds(
      reader.number("lease_ms", duty::kLeaseLeast.count(), duty::kLeaseMost.count(), spec.lease.count()));
  if (spec.lease < kBeatsInLease * beat)
    reader.fail(reader.find("lease_ms"), "a lease of " + std::to_string(spec.lease.count()) +
                                             " ms is shorter than three beats of " +
                                             std::to_string(beat.count()) + " ms");
  spec.heirs = reader.text("heirs", "");
  spec.apartFrom = reader.text("apart_from", "");
  reader.finish();
  return spec;
}

Settings settingsOf(const toml::table& file, const std::string& name) {
  Settings settings;
  Reader reader(file, "", name);
  settings.fleet = reader.name("fleet");
  settings.members = static_cast<std::uint32_t>(reader.number("members", 1, kMembersMost, 1));
  const auto time = [&](const char* key, std::int64_t least, std::int64_t most, milliseconds& to) {
    to = milliseconds(reader.number(key, least, most, to.count()));
  };
  time("beat_ms", 50, 10'000, settings.beat);
  time("alone_after_ms", 200, 60'000, settings.aloneAfter);
  time("settle_ms", 0, 60'000, settings.settle);
  time("election_ms", 100, 10'000, settings.election);
  if (settings.aloneAfter < kBeatsInLease * settings.beat)
    reader.fail(reader.find("alone_after_ms"), "'alone_after_ms' is shorter than three beats");
  std::set<int> numbers;
  std::set<std::string> addresses;
  reader.tables("keeper", [&](const toml::table& table) {
    settings.keepers.push_back(keeperOf(table, name));
    const KeeperAddress& k = settings.keepers.back();
    std::ostringstream address;
    address << k.address;
    if (!numbers.insert(k.number).second || !addresses.insert(address.str()).second ||
        !addresses.insert(k.raft).second)
      Reader(table, "[[keeper]]: ", name).fail(nullptr, "a number or an address stands there twice");
  });
  const std::size_t n = settings.keepers.size();
  if (n != 1 && n != 3 && n != 5)
    reader.fail(reader.find("keeper"),
                "expected 3 or 5 keepers, or one to try it out, and found " + std::to_string(n));
  std::set<std::string> duties;
  reader.tables("duty", [&](const toml::table& table) {
    settings.duties.push_back(dutyOf(table, name, settings.beat));
    if (!duties.insert(settings.duties.back().duty).second)
      Reader(table, "[[duty]]: ", name)
          .fail(nullptr, "'" + settings.duties.back().duty + "' stands there twice");
  });
  for (const duty::Spec& spec : settings.duties)
    for (const std::string& other : {spec.heirs, spec.apartFrom})
      if (!other.empty() && !duties.count(other))
        reader.fail(reader.find("duty"), "duty '" + spec.duty + "' names '" + other + "', which is none");
  if (const toml::node* node = reader.find("member")) {
    if (!node->is_table()) reader.fail(node, "'member' is no table");
    Reader member(*node->as_table(), "[member]: ", name);
    settings.zone = member.text("zone", "");
    settings.willing = member.flag("willing", true);
    settings.disk = member.text("disk", "");
    settings.log = member.text("log", "");
    member.finish();
  }
  reader.finish();
  return settings;
}

}  // namespace

const KeeperAddress* Settings::keeper(int number) const {
  const auto it =
      std::find_if(keepers.begin(), keepers.end(), [&](const auto& k) { return k.number == number; });
  return it == keepers.end() ? nullptr : &*it;
}

const duty::Spec* Settings::spec(const std::string& duty) const {
  const auto it = std::find_if(duties.begin(), duties.end(), [&](const auto& d) { return d.duty == duty; });
  return it == duties.end() ? nullptr : &*it;
}

Settings parseSettings(const std::string& text, const std::string& name) {
  try {
    return settingsOf(toml::parse(text, name), name);
  } catch (const toml::parse_error& bad) {
    throw BadSettings(name + ":" + std::to_string(bad.source().begin.line) + ": " +
                      std::string(bad.description()));
  }
}

Settings readSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw BadSettings(path + ": can't be read");
  return parseSettings(text.str(), path);
}

}  // namespace cairnjunction::fleet
