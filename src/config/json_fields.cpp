#include "config/json_fields.hpp"

namespace cairnjunction::json_fields {

using nlohmann::json;

const json& objectField(const json& object, const char* name) {
  static const json none = json::object();
  const auto it = object.find(name);
  if (it == object.end()) return none;
  if (!it->is_object()) throw BadConfig(std::string(name) + " is no object");
  return *it;
}

void requirePositive(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  if (!it->is_number() || it->get<double>() <= 0)
    throw BadConfig(std::string(name) + ": " + it->dump() + " is no number above 0");
}

}  // namespace cairnjunction::json_fields
