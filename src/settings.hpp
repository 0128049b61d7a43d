// Rejects settings that make no sense, before any decision is taken on them.
#pragma once

#include "ochrehill/ochrehill.hpp"

namespace ochrehill {

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

}  // namespace ochrehill
