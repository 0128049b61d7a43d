// The keys of a configuration file, used to reject a reloaded file that lacks a key of the active one.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cairnjunction {

// The keys of all objects of a file, as paths separated by '/', sorted. Of the request classes it has only
// the keys that every class has. The keys of the known endpoints and of the seed are left out, since they may
// be absent.
using ConfigShape = std::vector<std::string>;

// Expects a document that parseConfig() accepted, which has at least one request class.
ConfigShape shapeOf(const nlohmann::json& config);

// Throws BadConfig if `next` lacks a key of `active`, and names that key. Without this check the setting
// would silently fall back to its default.
void requireShape(const ConfigShape& active, const ConfigShape& next);

}  // namespace cairnjunction
