// Where a receiver keeps what its fence has seen: JSON, replaced whole.
#include "fleet/fence_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "agreement/durable_file.hpp"

namespace cairnjunction::fleet {

using nlohmann::json;

FenceFile::FenceFile(const std::string& folder)
    : folder_(folder), path_(folder.empty() ? "" : folder + "/fence.json") {}

bool FenceFile::read(std::map<duty::Key, duty::Fence::Mark>& to) const {
  if (path_.empty()) return false;
  std::ifstream file(path_);
  if (!file) return false;
  try {
    for (const json& row : json::parse(file))
      to[{row.at("duty").get<std::string>(), row.at("shard").get<std::uint32_t>()}] = {
          row.at("epoch").get<duty::Epoch>(),
          row.at("sequence").get<duty::Sequence>(),
          {row.at("from").get<std::string>(), row.at("incarnation").get<duty::Incarnation>()}};
  } catch (const json::exception& bad) {
    throw std::runtime_error(path_ + ": " + bad.what());
  }
  return true;
}

bool FenceFile::write(const std::map<duty::Key, duty::Fence::Mark>& marks) const {
  if (path_.empty()) return true;
  json rows = json::array();
  for (const auto& [key, mark] : marks)
    rows.push_back({{"duty", key.duty},
                    {"shard", key.shard},
                    {"epoch", mark.epoch},
                    {"sequence", mark.sequence},
                    {"from", mark.from.name},
                    {"incarnation", mark.from.incarnation}});
  return agreement::replaceFile(folder_, path_, rows.dump(1) + "\n").empty();
}

}  // namespace cairnjunction::fleet
