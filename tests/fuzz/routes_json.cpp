// Fuzz target: routes as JSON, and the router made of what passes.
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "route/json.hpp"
#include "route/router.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cairnjunction::route;
  const auto json = nlohmann::json::parse(data, data + size, nullptr, false);
  if (json.is_discarded()) return 0;
  try {
    const Router router(fromJson(json));
    Request request;
    request.host = "a.b";
    for (const char* target : {"/", "/a", "/a/b?c"}) {
      request.target = target;
      router.route(request);
    }
  } catch (const BadRoutes&) {
  }
  return 0;
}
