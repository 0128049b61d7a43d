// The configuration of a gateway before stand-ins.
#include "standins/gateway_config.hpp"

namespace cairnjunction::standins {

using nlohmann::json;

json gatewayConfig(const std::string& name, const std::string& listen, const std::string& discovery,
                   const GatewayClasses& classes) {
  constexpr const char* kEffects[] = {"retryable", "fragile", "dedup"};
  constexpr double kWorth[] = {12, 1, 1};
  json grades = json::array();
  for (std::size_t i = 0; i < 3; ++i)
    grades.push_back({{"name", classes.kNames[i]},
                      {"effect", kEffects[i]},
                      {"group", "zone"},
                      {"points", kWorth[i]},
                      {"aimNs", classes.aimMs[i] * 1'000'000LL},
                      {"giveUpNs", classes.kGiveUpMs[i] * 1'000'000LL},
                      {"windowNs", 2'000'000'000}});
  return {{"name", name},
          {"listen", listen},
          {"discovery", discovery},
          {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
          {"settings",
           {{"zone", "brasov"},
            {"registryMode", "ask"},
            {"stepNs", 5'000'000},
            {"ceilings",
             {{"cancel", true},
              {"maxAttempts", 6},
              {"retryAfter", true},
              {"maxRetryAfterNs", 1'000'000'000},
              {"idleCloseNs", 15'000'000'000},
              {"connectTimeoutNs", 250'000'000}}},
            {"rules", {{"askWithinNs", 30'000'000'000}}},
            {"grades", std::move(grades)}}}};
}

}  // namespace cairnjunction::standins
