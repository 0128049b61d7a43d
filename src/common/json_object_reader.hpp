// Reads fields of JSON objects that another process sent into typed values. A field that is missing, has
// another type or is out of range is an error that names it; no JSON library's exception leaves the reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "common/json_field_error.hpp"

namespace cairnjunction {

// The integer that a JSON number stands for, without its fraction; empty if it is no number or doesn't fit.
inline std::optional<std::int64_t> integerOf(const nlohmann::json& value) {
  constexpr double kBeyondMax = 9223372036854775808.0;  // 2^63
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) return std::nullopt;
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (!value.is_number_float()) return std::nullopt;
  const auto number = value.get<double>();
  if (!(number >= -kBeyondMax && number < kBeyondMax)) return std::nullopt;
  return static_cast<std::int64_t>(number);
}

// The fields of one object. All methods throw JsonFieldError, and nothing else.
class JsonObjectReader {
 public:
  struct Range {
    std::int64_t min = std::numeric_limits<std::int64_t>::min();
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
  };

  // `path`: of the object within its document; empty: the document itself. `object` outlives this.
  JsonObjectReader(const nlohmann::json& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  std::string text(const char* field) const {
    const nlohmann::json* value = find(field);
    if (!value || !value->is_string()) throw error(field, "a text");
    return value->get<std::string>();
  }
  std::string text(const char* field, const std::string& defaultValue) const {
    return find(field) ? text(field) : defaultValue;
  }
  std::string nonEmptyText(const char* field) const {
    std::string value = text(field);
    if (value.empty()) throw error(field, "a text that is not empty");
    return value;
  }

  std::int64_t integer(const char* field, Range range) const {
    const nlohmann::json* value = find(field);
    if (!value || !value->is_number()) throw error(field, "a number");
    const std::optional<std::int64_t> number = integerOf(*value);
    if (!number || *number < range.min || *number > range.max)
      throw error(field, "a number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return *number;
  }
  std::int64_t integer(const char* field, Range range, std::int64_t defaultValue) const {
    return find(field) ? integer(field, range) : defaultValue;
  }

  double number(const char* field, double defaultValue) const {
    const nlohmann::json* value = find(field);
    if (!value) return defaultValue;
    if (!value->is_number()) throw error(field, "a number");
    return value->get<double>();
  }

  bool flag(const char* field, bool defaultValue) const {
    const nlohmann::json* value = find(field);
    if (!value) return defaultValue;
    if (!value->is_boolean()) throw error(field, "true or false");
    return value->get<bool>();
  }

  // Throws for a value that is no array, and for more than `maxEntries` entries.
  const nlohmann::json& array(const char* field,
                              std::size_t maxEntries = std::numeric_limits<std::size_t>::max()) const {
    const nlohmann::json* value = find(field);
    if (!value || !value->is_array()) throw error(field, "an array");
    if (value->size() > maxEntries)
      throw JsonFieldError(pathOf(field), "at most " + std::to_string(maxEntries) + " entries",
                           std::to_string(value->size()));
    return *value;
  }

  bool has(const char* field) const { return find(field) != nullptr; }

  // The path of an entry of the array `field`.
  std::string pathOfEntry(const char* field, std::size_t index) const {
    return pathOf(field) + "[" + std::to_string(index) + "]";
  }

  JsonFieldError error(const char* field, std::string expected) const {
    return {pathOf(field), std::move(expected), describe(field)};
  }

 private:
  const nlohmann::json* find(const char* field) const {
    if (!object_.is_object()) throw JsonFieldError(path_, "an object", describe(object_));
    const auto it = object_.find(field);
    return it == object_.end() ? nullptr : &*it;
  }
  std::string pathOf(const char* field) const { return path_.empty() ? field : path_ + "." + field; }

  // For error messages, so of bounded size: of arrays and objects only the type is given, and a long text is
  // cut off.
  static std::string describe(const nlohmann::json& value) {
    if (value.is_structured()) return value.type_name();
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() <= kMaxDescriptionBytes) return text;
    return text.substr(0, kMaxDescriptionBytes) + "...";
  }
  std::string describe(const char* field) const {
    const nlohmann::json* value = find(field);
    return value ? describe(*value) : "nothing";
  }

  static constexpr std::size_t kMaxDescriptionBytes = 100;

  const nlohmann::json& object_;
  std::string path_;
};

}  // namespace cairnjunction
