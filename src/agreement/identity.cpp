// Who a keeper is, by its disk.
#include "agreement/identity.hpp"

#include <filesystem>
#include <random>
#include <sstream>

#include "agreement/durable_file.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace cairnjunction::agreement {
namespace {

constexpr const char* kFile = "/identity.toml";

std::uint64_t numberAt(const toml::table& table, const char* key, const std::string& path) {
  const auto value = table[key].value<std::int64_t>();
  if (!value || *value < 0) throw BadLog(path + ": '" + key + "' is no number");
  return static_cast<std::uint64_t>(*value);
}

std::uint64_t drawn() {
  std::random_device random;
  return ((static_cast<std::uint64_t>(random()) << 32 | random()) >> 1) |
         1;  // fits a signed number of the file
}

}  // namespace

Identity::Identity(const std::string& folder, const std::string& fleet, int number)
    : folder_(folder), fleet_(fleet), number_(number) {
  if (!std::filesystem::is_directory(folder)) throw BadLog(folder + ": no folder");
  const std::string path = folder + kFile;
  if (std::filesystem::exists(path)) {
    try {
      const toml::table file = toml::parse_file(path);
      if (file["fleet"].value_or(std::string()) != fleet)
        throw BadLog(path + ": of the fleet '" + file["fleet"].value_or(std::string()) + "', not of '" +
                     fleet + "'");
      if (numberAt(file, "number", path) != static_cast<std::uint64_t>(number))
        throw BadLog(path + ": of keeper " + std::to_string(numberAt(file, "number", path)) +
                     ", not of keeper " + std::to_string(number));
      own_ = {numberAt(file, "incarnation", path), numberAt(file, "starts", path)};
      if (const toml::array* peers = file["peer"].as_array())
        for (const toml::node& node : *peers) {
          const toml::table* peer = node.as_table();
          if (!peer) throw BadLog(path + ": 'peer' is no table");
          peers_[static_cast<int>(numberAt(*peer, "number", path))] = {numberAt(*peer, "incarnation", path),
                                                                       numberAt(*peer, "starts", path)};
        }
    } catch (const toml::parse_error& bad) {
      std::ostringstream where;
      where << path << ": " << bad.description() << " at " << bad.source().begin;
      throw BadLog(where.str());
    }
  } else {
    if (!std::filesystem::is_empty(folder))
      throw BadLog(path + ": missing, though the folder is not empty: its log may not be voted with");
    own_.incarnation = drawn();
  }
  ++own_.starts;
  write();
}

std::string Identity::judge(int number, const Mark& told) {
  const auto known = peers_.find(number);
  if (known != peers_.end()) {
    if (known->second.incarnation != told.incarnation)
      return "keeper " + std::to_string(number) +
             " comes with another disk than it had: give the new one a number of its own";
    if (told.starts < known->second.starts)
      return "keeper " + std::to_string(number) + " comes with an older copy of its disk: start " +
             std::to_string(told.starts) + ", but start " + std::to_string(known->second.starts) +
             " was seen";
    if (told.starts == known->second.starts) return {};
  }
  peers_[number] = told;
  write();
  return {};
}

void Identity::write() const {
  toml::array peers;
  for (const auto& [number, mark] : peers_)
    peers.push_back(toml::table{{"number", number},
                                {"incarnation", static_cast<std::int64_t>(mark.incarnation)},
                                {"starts", static_cast<std::int64_t>(mark.starts)}});
  std::ostringstream text;
  text << "# Written by the keeper. Copied, edited or removed, it makes the other keepers turn this one "
          "away.\n"
       << toml::table{{"fleet", fleet_},
                      {"number", number_},
                      {"incarnation", static_cast<std::int64_t>(own_.incarnation)},
                      {"starts", static_cast<std::int64_t>(own_.starts)},
                      {"peer", std::move(peers)}}
       << '\n';
  if (const std::string failed = replaceFile(folder_, folder_ + kFile, text.str()); !failed.empty())
    throw BadLog(failed);
}

}  // namespace cairnjunction::agreement
