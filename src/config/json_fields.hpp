// Reading the fields of a JSON object into typed settings. All throw BadConfig, which names the field.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

#include "cairnjunction/load_balancer.hpp"
#include "config/bad_config.hpp"

namespace cairnjunction::json_fields {

// Durations stand in the file as nanoseconds.
template <class Value>
Value valueOf(const nlohmann::json& field) {
  if constexpr (std::is_same_v<Value, policy::Duration>) return Value(field.get<std::int64_t>());
  else if constexpr (std::is_same_v<Value, std::uint32_t>) {
    const auto number = field.get<std::int64_t>();
    if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) throw BadConfig("out of range");
    return static_cast<std::uint32_t>(number);
  } else return field.get<Value>();
}

// Reads `name` into `into`, which keeps its value if the field is missing or null.
template <class Value>
void read(const nlohmann::json& object, const char* name, Value& into) {
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return;
  try {
    into = valueOf<Value>(*it);
  } catch (const std::exception& bad) {
    throw BadConfig(std::string(name) + ": " + bad.what());
  }
}

// The object `name`; an empty one if it is missing.
const nlohmann::json& part(const nlohmann::json& object, const char* name);

// Throws unless `name` is missing or a number above 0.
void requirePositive(const nlohmann::json& object, const char* name);

}  // namespace cairnjunction::json_fields
