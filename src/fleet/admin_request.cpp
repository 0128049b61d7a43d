#include "fleet/admin_request.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "common/json_object_reader.hpp"

namespace cairnjunction::fleet {
namespace {

constexpr const char* kRequest = "ask";
constexpr const char* kTask = "duty";
constexpr const char* kShard = "shard";

AdminRequest parse(const JsonObjectReader& reader) {
  const std::string name = reader.text(kRequest, "");
  if (name == "status") return StatusRequest{};
  if (name == "duties") return LeasesRequest{};
  if (name != "hand-over")
    throw InvalidAdminRequest("unknown question '" + name + "': status, duties, hand-over");
  const std::int64_t shard = reader.integer(kShard, {0, std::numeric_limits<std::uint32_t>::max()}, 0);
  return TransferRequest{{reader.text(kTask, ""), static_cast<std::uint32_t>(shard)}};
}

}  // namespace

AdminRequest parseAdminRequest(const nlohmann::json& request) {
  try {
    return parse(JsonObjectReader(request, ""));
  } catch (const JsonFieldError& error) {
    throw InvalidAdminRequest(error.what());
  }
}

}  // namespace cairnjunction::fleet
