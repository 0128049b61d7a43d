// Where a receiver keeps what its fence has seen: JSON, replaced whole.
#include "fleet/fencing_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "consensus/durable_file.hpp"

namespace cairnjunction::fleet {

using nlohmann::json;

FencingFile::FencingFile(const std::string& folder)
    : folder_(folder), path_(folder.empty() ? "" : folder + "/fence.json") {}

bool FencingFile::read(std::map<lease::LeaseKey, lease::FencingGate::FencingMark>& to) const {
  if (path_.empty()) return false;
  std::ifstream file(path_);
  if (!file) return false;
  try {
    for (const json& row : json::parse(file))
      to[{row.at("duty").get<std::string>(), row.at("shard").get<std::uint32_t>()}] = {
          row.at("epoch").get<lease::Epoch>(),
          row.at("sequence").get<lease::Sequence>(),
          {row.at("from").get<std::string>(), row.at("incarnation").get<lease::Incarnation>()}};
  } catch (const json::exception& bad) {
    throw std::runtime_error(path_ + ": " + bad.what());
  }
  return true;
}

bool FencingFile::write(const std::map<lease::LeaseKey, lease::FencingGate::FencingMark>& marks) const {
  if (path_.empty()) return true;
  json rows = json::array();
  for (const auto& [key, mark] : marks)
    rows.push_back({{"duty", key.task},
                    {"shard", key.shard},
                    {"epoch", mark.epoch},
                    {"sequence", mark.sequence},
                    {"from", mark.holder.name},
                    {"incarnation", mark.holder.incarnation}});
  return !consensus::replaceFile(folder_, path_, rows.dump(1) + "\n");
}

}  // namespace cairnjunction::fleet
