// The configuration of a gateway before stand-ins: sawmill classes, time limits on loopback.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace cairnjunction::standins {

struct GatewayClasses {
  int aimMs[3] = {600, 400, 400};  // cut-plan, stock-out, log-in
  static constexpr int kGiveUpMs[] = {1200, 2000, 1000};
  static constexpr const char* kNames[] = {"cut-plan", "stock-out", "log-in"};
};

// Addresses as "address:port".
nlohmann::json gatewayConfig(const std::string& name, const std::string& listen, const std::string& discovery,
                             const GatewayClasses& classes = {});

}  // namespace cairnjunction::standins
