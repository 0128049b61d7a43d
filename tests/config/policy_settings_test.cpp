// How the operators' names of settings map to the settings of the decision module.
#include "config/policy_settings.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "config/bad_config.hpp"

namespace cairnjunction {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

json withGrade(const json& grade) { return {{"grades", {grade}}}; }

bool isRejected(const json& settings) {
  try {
    readPolicySettings(settings);
    return false;
  } catch (const BadConfig&) {
    return true;
  }
}

TEST(PolicySettingsTest, ReadsEachNameOfAClass) {
  const policy::Settings settings = readPolicySettings(withGrade({{"name", "pay"},
                                                                  {"aimNs", 5},
                                                                  {"giveUpNs", 9},
                                                                  {"windowNs", 3},
                                                                  {"points", 4.5},
                                                                  {"lateShare", 0.25},
                                                                  {"aimStretch", 2.5},
                                                                  {"inTurn", true},
                                                                  {"effect", "dedup"},
                                                                  {"group", "cell"},
                                                                  {"staysIn", {"a"}},
                                                                  {"boundTo", {"m5", "m6"}}}));
  ASSERT_EQ(settings.classes.size(), 1u);
  const policy::ClassSettings& pay = settings.classes[0];
  EXPECT_EQ(pay.name, "pay");
  EXPECT_EQ(pay.latencyObjective, 5ns);
  EXPECT_EQ(pay.clientTimeout, 9ns);
  EXPECT_EQ(pay.dedupWindow, 3ns);
  EXPECT_EQ(pay.priorityWeight, 4.5);
  EXPECT_EQ(pay.lateValueFraction, 0.25);
  EXPECT_EQ(pay.objectiveCostFactor, 2.5);
  EXPECT_TRUE(pay.serializedByKey);
  EXPECT_EQ(pay.idempotency, policy::Idempotency::keyed);
  EXPECT_EQ(pay.dedupScope, policy::DedupScope::cell);
  EXPECT_EQ(pay.allowedZones, std::vector<std::string>{"a"});
  EXPECT_EQ(pay.allowedMachineKinds, (std::vector<std::string>{"m5", "m6"}));
}

TEST(PolicySettingsTest, ClassIsUnsafeAndUnrestrictedByDefault) {
  const policy::Settings settings = readPolicySettings(withGrade({{"name", "x"}, {"aimNs", 5}}));
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].idempotency, policy::Idempotency::unsafe);
  EXPECT_EQ(settings.classes[0].dedupScope, policy::DedupScope::all);
  EXPECT_FALSE(settings.classes[0].allowedZones);
  EXPECT_FALSE(settings.classes[0].allowedMachineKinds);
  EXPECT_EQ(settings.classes[0].clientTimeout, 5ns) << "never below the latency objective";
}

TEST(PolicySettingsTest, EmptyListOfZonesAllowsNone) {
  const policy::Settings settings =
      readPolicySettings(withGrade({{"name", "x"}, {"staysIn", json::array()}}));
  ASSERT_TRUE(settings.classes.at(0).allowedZones);
  EXPECT_TRUE(settings.classes[0].allowedZones->empty());
}

TEST(PolicySettingsTest, ReadsFleetRulesAndTenants) {
  json document = withGrade({{"name", "x"}});
  document["groupSize"] = 3;
  document["myNumber"] = 2;
  document["zone"] = "b";
  document["registryMode"] = "ask";
  document["weights"] = "live";
  document["rules"] = {{"coldNs", 7}, {"fallMultiple", 3.0}, {"keyRestNs", 11}};
  document["tenants"] = {{{"name", "t"}, {"quotaRps", 12.0}}};
  const policy::Settings settings = readPolicySettings(document);
  EXPECT_EQ(settings.gatewayCount, 3u);
  EXPECT_EQ(settings.gatewayIndex, 2u);
  EXPECT_EQ(settings.zone, "b");
  EXPECT_TRUE(settings.pollDiscovery);
  EXPECT_TRUE(settings.loadReports);
  EXPECT_EQ(settings.slowStartDuration, 7ns);
  EXPECT_EQ(settings.collapseLoadFactor, 3.0);
  EXPECT_EQ(settings.keyCooldown, 11ns);
  ASSERT_EQ(settings.tenants.size(), 1u);
  EXPECT_EQ(settings.tenants[0].name, "t");
  EXPECT_EQ(settings.tenants[0].quotaPerSecond, 12.0);
}

TEST(PolicySettingsTest, DiscoveryIsPolledOnlyInModeAsk) {
  json document = withGrade({{"name", "x"}});
  EXPECT_FALSE(readPolicySettings(document).pollDiscovery);
  document["registryMode"] = "push";
  EXPECT_FALSE(readPolicySettings(document).pollDiscovery);
}

// On sockets a connection carries one request at a time, independent of the simulator's setting.
TEST(PolicySettingsTest, ConnectionCarriesOneRequest) {
  json document = withGrade({{"name", "x"}});
  document["ceilings"] = {{"streams", 8}};
  EXPECT_EQ(readPolicySettings(document).streamsPerConnection, 1u);
}

TEST(PolicySettingsTest, InvalidSettingsAreRejected) {
  EXPECT_TRUE(isRejected(json::object())) << "no classes";
  EXPECT_TRUE(isRejected({{"grades", 5}}));
  EXPECT_TRUE(isRejected({{"grades", {5}}}));
  EXPECT_TRUE(isRejected(withGrade({{"effect", "harmless"}})));
  EXPECT_TRUE(isRejected(withGrade({{"group", "planet"}})));
  EXPECT_TRUE(isRejected(withGrade({{"effect", "dedup"}, {"windowNs", 0}}))) << "no repeat would be dropped";
  EXPECT_TRUE(isRejected(withGrade({{"aimNs", 0}})));
  EXPECT_TRUE(isRejected({{"grades", {{{"name", "a"}}, {{"name", "a"}}}}}))
      << "two classes with the same name";
  EXPECT_TRUE(isRejected({{"grades", {{{"name", "a"}}}}, {"registryMode", "guess"}}));
}

}  // namespace
}  // namespace cairnjunction
