#include "consensus/voter_identity.hpp"

#include <filesystem>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

#include "consensus/durable_file.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::consensus {
namespace {

constexpr const char* kFileName = "/identity.toml";

std::uint64_t readNumber(const toml::table& table, const char* key, const std::string& path) {
  const auto value = table[key].value<std::int64_t>();
  if (!value || *value < 0) throw LogError(path + ": '" + key + "' is not a non-negative integer");
  return static_cast<std::uint64_t>(*value);
}

VoterMark readMark(const toml::table& table, const std::string& path) {
  return {readNumber(table, "incarnation", path), readNumber(table, "starts", path)};
}

toml::table parseFile(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << path << ": " << error.description() << " at " << error.source().begin;
    throw LogError(text.str());
  }
}

// Not 0, and fits into the signed 64-bit integers of TOML.
std::uint64_t generateIncarnation() {
  std::random_device random;
  return ((static_cast<std::uint64_t>(random()) << 32 | random()) >> 1) | 1;
}

}  // namespace

std::string rejectionText(const VoterCheck& check) {
  const std::string voter = "keeper " + std::to_string(check.number);
  switch (check.result) {
    case VoterCheckResult::accepted: return {};
    case VoterCheckResult::differentDisk:
      return voter + " comes with another disk than it had: give the new one a number of its own";
    case VoterCheckResult::olderDisk:
      return voter + " comes with an older copy of its disk: start " +
             std::to_string(check.found.startCount) + ", but start " +
             std::to_string(check.expected.startCount) + " was seen";
  }
  return {};
}

VoterIdentity::VoterIdentity(std::string folder, std::string fleet, int number)
    : folder_(std::move(folder)), fleet_(std::move(fleet)), number_(number) {
  if (!std::filesystem::is_directory(folder_)) throw LogError(folder_ + ": not an existing folder");
  const std::string path = folder_ + kFileName;
  if (std::filesystem::exists(path)) {
    read(path);
  } else {
    if (!std::filesystem::is_empty(folder_))
      throw LogError(path +
                     ": missing, though the folder is not empty: this voter must not vote with its log");
    own_.incarnation = generateIncarnation();
  }
  ++own_.startCount;
  write();
}

void VoterIdentity::read(const std::string& path) {
  const toml::table file = parseFile(path);
  const std::string fleet = file["fleet"].value_or(std::string());
  if (fleet != fleet_) throw LogError(path + ": of the fleet '" + fleet + "', not of '" + fleet_ + "'");
  const std::uint64_t number = readNumber(file, "number", path);
  if (number != static_cast<std::uint64_t>(number_))
    throw LogError(path + ": of keeper " + std::to_string(number) + ", not of keeper " +
                   std::to_string(number_));
  own_ = readMark(file, path);
  const toml::array* peers = file["peer"].as_array();
  if (!peers) return;
  for (const toml::node& node : *peers) {
    const toml::table* peer = node.as_table();
    if (!peer) throw LogError(path + ": 'peer' is not a table");
    peers_[static_cast<int>(readNumber(*peer, "number", path))] = readMark(*peer, path);
  }
}

VoterCheck VoterIdentity::checkPeer(int number, const VoterMark& found) {
  const auto seen = peers_.find(number);
  VoterCheck check{VoterCheckResult::accepted, number, found, seen == peers_.end() ? found : seen->second};
  if (check.expected.incarnation != found.incarnation) check.result = VoterCheckResult::differentDisk;
  else if (found.startCount < check.expected.startCount) check.result = VoterCheckResult::olderDisk;
  if (!check.accepted() || (seen != peers_.end() && seen->second == found)) return check;
  const std::map<int, VoterMark> before = peers_;
  peers_[number] = found;
  try {
    write();
  } catch (const LogError&) {
    peers_ = before;
    throw;
  }
  return check;
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
  if (const auto error = replaceFile(folder_, folder_ + kFileName, text.str()))
    throw LogError(textOf(*error));
}

}  // namespace cairnjunction::consensus
