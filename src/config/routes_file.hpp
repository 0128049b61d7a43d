// Reads the routes file.
#pragma once

#include <cstddef>
#include <string>

#include "route/routes.hpp"

namespace cairnjunction {

inline constexpr std::size_t kMaxRoutesFileBytes = 256 << 20;  // 256 MiB; a location takes about 300 bytes

// Reads and validates the routes in the file at `path`. Throws route::BadRoutes, whose text starts with the
// path.
route::Routes readRoutes(const std::string& path);

}  // namespace cairnjunction
