#include "config/config_shape.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/bad_config.hpp"

namespace cairnjunction {
namespace {

using nlohmann::json;

void addKeys(const json& object, const std::string& path, ConfigShape& shape) {
  for (const auto& [key, value] : object.items()) {
    const bool mayBeAbsent = path.empty() && (key == "known" || key == "seed");
    if (mayBeAbsent) continue;
    shape.push_back(path + key);
    if (value.is_object()) addKeys(value, path + key + "/", shape);
  }
}

void addClassKeys(const json& classes, ConfigShape& shape) {
  for (const auto& entry : classes.at(0).items()) {
    const std::string& key = entry.key();
    const bool inAll = std::all_of(classes.begin(), classes.end(),
                                   [&](const json& requestClass) { return requestClass.contains(key); });
    if (inAll) shape.push_back("settings/grades/*/" + key);
  }
}

}  // namespace

ConfigShape shapeOf(const json& config) {
  ConfigShape shape;
  addKeys(config, "", shape);
  addClassKeys(config.at("settings").at("grades"), shape);
  std::sort(shape.begin(), shape.end());
  return shape;
}

void requireShape(const ConfigShape& active, const ConfigShape& next) {
  for (const std::string& key : active)
    if (!std::binary_search(next.begin(), next.end(), key))
      throw BadConfig("'" + key + "' is missing, but the active configuration has it");
}

}  // namespace cairnjunction
