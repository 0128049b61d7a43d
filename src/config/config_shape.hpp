// Which keys a configuration file has, so that one that is read again can't silently lose some.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cairnjunction {

// The keys of a file's objects, as paths with '/' between them, sorted; of its classes those that all of them
// have. Without what may come and go: the known endpoints and the seed.
using ConfigShape = std::vector<std::string>;

// Of a configuration that was read, so that it has its classes.
ConfigShape shapeOf(const nlohmann::json& config);

// Throws BadConfig that names a key of the file in force which the next one lacks: it would fall back to a
// default that nobody wrote.
void requireShape(const ConfigShape& inForce, const ConfigShape& next);

}  // namespace cairnjunction
