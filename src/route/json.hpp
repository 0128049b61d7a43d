// Routes as JSON (docs/routes.schema.json). Reading is strict: an unknown key or a wrong type is an error
// that says where, so that a misspelt word can't silently change where requests go.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "route/routes.hpp"

namespace cairnjunction::route {

nlohmann::ordered_json toJson(const Routes& routes);

// Throws BadRoutes (route/router.hpp).
Routes fromJson(const nlohmann::json& json);

}  // namespace cairnjunction::route
