// Who a keeper is, by its disk.
#include "consensus/voter_identity.hpp"

#include <filesystem>
#include <random>
#include <sstream>

#include "consensus/durable_file.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::consensus {
namespace {

constexpr const char* kFile = "/identity.toml";

std::uint64_t numberAt(const toml::table& table, const char* key, const std::string& path) {
  const auto value = table[key].value<std::int64_t>();
  if (!value || *value < 0) throw LogError(path + ": '" + key + "' is no number");
  return static_cast<std::uint64_t>(*value);
}

std::uint64_t drawn() {
  std::random_device random;
  return ((static_cast<std::uint64_t>(random()) << 32 | random()) >> 1) |
         1;  // fits a signed number of the file
}

}  // namespace

VoterIdentity::VoterIdentity(const std::string& folder, const std::string& fleet, int number)
    : folder_(folder), fleet_(fleet), number_(number) {
  if (!std::filesystem::is_directory(folder)) throw LogError(folder + ": no folder");
  const std::string path = folder + kFile;
  if (std::filesystem::exists(path)) {
    try {
      const toml::table file = toml::parse_file(path);
      if (file["fleet"].value_or(std::string()) != fleet)
        throw LogError(path + ": of the fleet '" + file["fleet"].value_or(std::string()) + "', not of '" +
                       fleet + "'");
      if (numberAt(file, "number", path) != static_cast<std::uint64_t>(number))
        throw LogError(path + ": of keeper " + std::to_string(numberAt(file, "number", path)) +
                       ", not of keeper " + std::to_string(number));
      own_ = {numberAt(file, "incarnation", path), numberAt(file, "starts", path)};
      if (const toml::array* peers = file["peer"].as_array())
        for (const toml::node& node : *peers) {
          const toml::table* peer = node.as_table();
          if (!peer) throw LogError(path + ": 'peer' is no table");
          peers_[static_cast<int>(numberAt(*peer, "number", path))] = {numberAt(*peer, "incarnation", path),
                                                                       numberAt(*peer, "starts", path)};
        }
    } catch (const toml::parse_error& bad) {
      std::ostringstream where;
      where << path << ": " << bad.description() << " at " << bad.source().begin;
      throw LogError(where.str());
    }
  } else {
    if (!std::filesystem::is_empty(folder))
      throw LogError(path + ": missing, though the folder is not empty: its log may not be voted with");
    own_.incarnation = drawn();
  }
  ++own_.startCount;
  write();
}

std::string VoterIdentity::checkPeer(int number, const VoterMark& told) {
  const auto known = peers_.find(number);
  if (known != peers_.end()) {
    if (known->second.incarnation != told.incarnation)
      return "keeper " + std::to_string(number) +
             " comes with another disk than it had: give the new one a number of its own";
    if (told.startCount < known->second.startCount)
      return "keeper " + std::to_string(number) + " comes with an older copy of its disk: start " +
             std::to_string(told.startCount) + ", but start " + std::to_string(known->second.startCount) +
             " was seen";
    if (told.startCount == known->second.startCount) return {};
  }
  peers_[number] = told;
  write();
  return {};
}

void VoterIdentity::write() const {
  toml::array peers;
  for (const auto& [number, mark] : peers_)
    peers.push_back(toml::table{{"number", number},
                                {"incarnation", static_cast<std::int64_t>(mark.incarnation)},
                                {"starts", static_cast<std::int64_t>(mark.startCount)}});
  std::ostringstream text;
  text << "# Written by the keeper. Copied, edited or removed, it makes the other keepers turn this one "
          "away.\n"
       << toml::table{{"fleet", fleet_},
                      {"number", number_},
                      {"incarnation", static_cast<std::int64_t>(own_.incarnation)},
                      {"starts", static_cast<std::int64_t>(own_.startCount)},
                      {"peer", std::move(peers)}}
       << '\n';
  if (const std::string failed = replaceFile(folder_, folder_ + kFile, text.str()); !failed.empty())
    throw LogError(failed);
}

}  // namespace cairnjunction::consensus
