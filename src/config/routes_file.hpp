// Reads a routes file (JSON, docs/routes.schema.json).
#pragma once

#include <cstddef>
#include <string>

#include "route/routes.hpp"

namespace cairnjunction {

inline constexpr std::size_t kRoutesFileMost = 256 << 20;  // bytes: some 300 for a location

// Throws route::BadRoutes, whose text begins with the path.
route::Routes readRoutes(const std::string& path);

}  // namespace cairnjunction
