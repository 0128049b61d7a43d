#include "config/routes_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

#include "route/json.hpp"
#include "route/router.hpp"

namespace cairnjunction {

route::Routes readRoutes(const std::string& path) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) throw route::BadRoutes(path + ": cannot be read");
  if (file.tellg() > static_cast<std::streamoff>(kMaxRoutesFileBytes))
    throw route::BadRoutes(path + ": larger than 256 MiB");
  file.seekg(0);
  const nlohmann::json parsed = nlohmann::json::parse(file, nullptr, false);
  if (parsed.is_discarded()) throw route::BadRoutes(path + ": is not valid JSON");
  try {
    return route::fromJson(parsed);
  } catch (const route::BadRoutes& bad) {
    throw route::BadRoutes(path + ": " + bad.what());
  }
}

}  // namespace cairnjunction
