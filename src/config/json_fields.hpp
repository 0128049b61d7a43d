// Reads the fields of a JSON object into typed settings. read(), objectField() and requirePositive() throw
// BadConfig that names the field.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

#include "cairnjunction/load_balancer.hpp"
#include "config/bad_config.hpp"

namespace cairnjunction::json_fields {

// Converts a field to `Value`; a duration is a number of nanoseconds. Throws BadConfig for a number out of
// range, and nlohmann::json::exception for another type.
template <class Value>
Value convert(const nlohmann::json& field) {
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
    into = convert<Value>(*it);
  } catch (const std::exception& bad) {
    throw BadConfig(std::string(name) + ": " + bad.what());
  }
}

// Returns the object in the field `name`; an empty object if the field is missing.
const nlohmann::json& objectField(const nlohmann::json& object, const char* name);

// Throws unless the field `name` is missing or is a number above 0.
void requirePositive(const nlohmann::json& object, const char* name);

}  // namespace cairnjunction::json_fields
