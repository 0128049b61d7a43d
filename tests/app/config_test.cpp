// What the gateway makes of its variables and its JSON file.
#include "config/config.hpp"

#include <cstdio>
#include <fstream>
#include <map>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

Config parse(const json& j) {
  return parseConfig(j, [](const char*) { return nullptr; });
}

void expectBad(const json& j, const std::string& word) {
  try {
    parse(j);
    FAIL() << "taken: " << word;
  } catch (const BadConfig& bad) {
    const std::string what = bad.what();
    EXPECT_NE(what.find(word), std::string::npos) << what;
    EXPECT_EQ(what.find('\n'), std::string::npos) << "one line: " << what;
  }
}

TEST(Config, ReadsSettingsAndKnownHosts) {
  json j = configJson();
  j["known"] = {{"rev", 41}, {"all", true}, {"targets", {target("s-1", loopback(81), "b", "DRAINING")}}};
  j["settings"]["ceilings"]["streamsPerConn"] = 100;
  const Config c = parse(j);
  EXPECT_EQ(c.module.classes.size(), 3u);
  EXPECT_EQ(c.module.classes[2].idempotency, policy::Idempotency::keyed);
  EXPECT_EQ(c.module.classes[2].dedupScope, policy::DedupScope::zone);
  EXPECT_EQ(c.module.classes[0].latencyObjective, std::chrono::seconds(20));
  EXPECT_EQ(c.module.seed, 0x8c1f30d27a5be964u);
  EXPECT_TRUE(c.module.pollDiscovery && c.module.cancelAllowed && !c.module.hedging);
  EXPECT_EQ(c.module.streamsPerConnection, 1u) << "on sockets a connection carries one request at a time";
  ASSERT_TRUE(c.known);
  EXPECT_EQ(c.known->version, 41);
  EXPECT_EQ(c.known->endpoints.at(0).state, DiscoveredState::draining);
}

TEST(Config, AVariableGoesBeforeTheFile) {
  const Config c = parseConfig(configJson(), [](const char* name) -> const char* {
    return std::string_view(name) == "GW_LISTEN" ? "127.0.0.2:99" : nullptr;
  });
  EXPECT_EQ(textOf(c.listen), "127.0.0.2:99");
}

TEST(Config, SaysInOneLineWhatIsWrong) {
  expectBad(json::array(), "configuration");
  json j = configJson();
  j.erase("listen");
  expectBad(j, "GW_LISTEN");
  j = configJson();
  j["discovery"] = "nowhere";
  expectBad(j, "GW_DISCOVERY");
  j = configJson();
  j["settings"].erase("grades");
  expectBad(j, "grades");
  j = configJson();
  j["settings"]["grades"][0]["aimNs"] = "soon";
  expectBad(j, "aimNs");
  j = configJson();
  j["settings"]["grades"][0]["effect"] = "odd";
  expectBad(j, "effect");
  j = configJson();
  j["settings"]["ceilings"]["maxAttempts"] = -1;
  expectBad(j, "maxAttempts");
  j = configJson();
  j["settings"]["rules"]["coldShare"] = 0;
  expectBad(j, "coldShare");
  j = configJson();
  j["seed"] = "xyz";
  expectBad(j, "seed");
  j = configJson();
  j["limits"]["sockets"] = 3;
  expectBad(j, "sockets");
  j = configJson();
  j["known"] = {{"rev", 1}, {"targets", {{{"uid", "s-1"}, {"state", "ODD"}}}}};
  expectBad(j, "known");
}

TEST(Config, AMissingOrBrokenFileIsToldToo) {
  EXPECT_THROW(readConfig([](const char*) { return nullptr; }), BadConfig);
  EXPECT_THROW(readConfig([](const char*) { return "/nonexistent/config.json"; }), BadConfig);
  const std::string path = ::testing::TempDir() + "broken_config.json";
  std::ofstream(path) << "{";
  EXPECT_THROW(readConfig([&](const char*) { return path.c_str(); }), BadConfig);
  std::remove(path.c_str());
}

TEST(HostList, RefusesNonsense) {
  EXPECT_THROW(parseEndpointList(json::array()), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}}), std::invalid_argument);
  EXPECT_THROW(parseEndpointList({{"rev", 1}, {"targets", {{{"uid", ""}, {"state", "SERVING"}}}}}),
               std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("1.2.3.4:99999"), std::invalid_argument);
  EXPECT_THROW(parseEndpoint("host:80"), std::invalid_argument);
}

TEST(Config, AFileReadAgainGoesBeforeTheVariables) {
  json j = configJson();
  j["discovery"] = "127.0.0.1:7";
  const auto environment = [](const char* name) {
    return std::string(name) == "GW_DISCOVERY" ? "127.0.0.1:6" : nullptr;
  };
  EXPECT_EQ(parseConfig(j, environment).discovery.port(), 6);
  EXPECT_EQ(parseConfig(j, environment, Reading::again).discovery.port(), 7);
  j.erase("discovery");
  EXPECT_EQ(parseConfig(j, environment, Reading::again).discovery.port(), 6);
}

TEST(Config, DeadlinesAndAttemptsAreNumbersAboveZero) {
  for (const json& bad : {json(0), json(-5), json("soon"), json(nullptr), json::array()}) {
    json j = configJson();
    j["settings"]["grades"][1]["giveUpNs"] = bad;
    expectBad(j, "giveUpNs");
    j = configJson();
    j["settings"]["grades"][1]["aimNs"] = bad;
    expectBad(j, "aimNs");
    j = configJson();
    j["settings"]["ceilings"]["maxAttempts"] = bad;
    expectBad(j, "maxAttempts");
  }
  json j = configJson();
  j["settings"]["grades"].push_back(j["settings"]["grades"][0]);
  expectBad(j, "twice");
}

// What a gateway could not keep, or could take for two things, is no setting.
TEST(Config, WhatCanNotBeKeptIsNamed) {
  for (const json& bad : {json(0), json(-1), json(nullptr)}) {
    json j = configJson();
    j["settings"]["grades"][2]["windowNs"] = bad;
    expectBad(j, "windowNs");
    j = configJson();
    j["settings"]["ceilings"]["connectTimeoutNs"] = bad;
    expectBad(j, "connectTimeoutNs");
    j = configJson();
    j["limits"]["memory_mb"] = bad;
    expectBad(j, "memory_mb");
  }
  json j = configJson();
  j["settings"]["grades"][2].erase("windowNs");
  expectBad(j, "windowNs");
  j = configJson();
  j["settings"]["grades"][1]["windowNs"] = 0;  // of a class whose repeats nobody drops
  EXPECT_NO_THROW(parse(j));
  j = configJson();
  j["settings"]["registryMode"] = "pull";
  expectBad(j, "registryMode");
  for (const char* good : {"ask", "push"}) {
    j["settings"]["registryMode"] = good;
    EXPECT_NO_THROW(parse(j));
  }
}

TEST(Config, AKeyThatTheFileInForceHasMayNotBeMissing) {
  const json whole = configJson();
  const ConfigShape inForce = parse(whole).shape;
  EXPECT_NO_THROW(requireShape(inForce, parse(whole).shape));
  json more = whole;
  more["settings"]["rules"]["new"] = 1;
  EXPECT_NO_THROW(requireShape(inForce, parse(more).shape));
  json without = whole;
  without.erase("seed");
  EXPECT_NO_THROW(requireShape(inForce, parse(without).shape)) << "new with each start";
  const auto lacks = [&](const json& next, const std::string& key) {
    try {
      requireShape(inForce, parse(next).shape);
      ADD_FAILURE() << "taken without " << key;
    } catch (const BadConfig& bad) {
      EXPECT_NE(std::string(bad.what()).find(key), std::string::npos) << bad.what();
    }
  };
  without = whole;
  without.erase("limits");
  lacks(without, "limits");
  without = whole;
  without["settings"]["ceilings"].erase("maxAttempts");
  lacks(without, "settings/ceilings/maxAttempts");
  without = whole;
  without["settings"]["grades"][2].erase("giveUpNs");
  lacks(without, "giveUpNs");
}

}  // namespace
}  // namespace cairnjunction::testing
