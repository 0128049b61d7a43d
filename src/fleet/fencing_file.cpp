#include "fleet/fencing_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "consensus/durable_file.hpp"

namespace cairnjunction::fleet {

using nlohmann::json;

FencingFile::FencingFile(const std::string& folder)
    : folder_(folder), path_(folder.empty() ? "" : folder + "/fence.json") {}

std::optional<FencingMarks> FencingFile::read() const {
  if (!isEnabled()) return std::nullopt;
  std::ifstream file(path_);
  if (!file) return std::nullopt;
  FencingMarks marks;
  try {
    for (const json& row : json::parse(file))
      marks[{row.at("duty").get<std::string>(), row.at("shard").get<std::uint32_t>()}] = {
          row.at("epoch").get<lease::Epoch>(),
          row.at("sequence").get<lease::Sequence>(),
          {row.at("from").get<std::string>(), row.at("incarnation").get<lease::Incarnation>()}};
  } catch (const json::exception& bad) {
    throw std::runtime_error(path_ + ": " + bad.what());
  }
  return marks;
}

FencingFile::WriteResult FencingFile::write(const FencingMarks& marks) const {
  if (!isEnabled()) return WriteResult::durable;
  json rows = json::array();
  for (const auto& [key, mark] : marks)
    rows.push_back({{"duty", key.task},
                    {"shard", key.shard},
                    {"epoch", mark.epoch},
                    {"sequence", mark.sequence},
                    {"from", mark.holder.name},
                    {"incarnation", mark.holder.incarnation}});
  const auto error = consensus::replaceFile(folder_, path_, rows.dump(1) + "\n");
  return error ? WriteResult::failed : WriteResult::durable;
}

}  // namespace cairnjunction::fleet
