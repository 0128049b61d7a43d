// Routes as JSON: nothing is lost there and back, and nothing unknown is taken.
#include "route/json.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "import/sites.hpp"
#include "route/router.hpp"

namespace cairnjunction::testing {
namespace {

using nlohmann::json;

std::string failure(const std::string& text) {
  try {
    route::fromJson(json::parse(text));
  } catch (const route::BadRoutes& bad) {
    return bad.what();
  }
  return "";
}

TEST(JsonTest, EverySiteComesBackAsItWas) {
  MemoryFiles files = filesBelow(SITES);
  std::size_t sites = 0;
  for (const auto& [path, text] : files.files) {
    if (!path.ends_with(".conf")) continue;
    const ImportedText imported(path, files);
    const auto once = route::toJson(imported.result.routes);
    const route::Routes back = route::fromJson(json::parse(once.dump()));
    EXPECT_EQ(route::toJson(back).dump(), once.dump()) << path;
    ++sites;
  }
  EXPECT_GE(sites, 20u);
}

TEST(JsonTest, WhatIsWrongIsSaidWithItsPlace) {
  EXPECT_EQ(failure("[]"), "routes: is no object");
  EXPECT_EQ(failure("{}"), "routes: 'version' is missing");
  EXPECT_EQ(failure(R"({"version":2})"), "routes: 'version' is no whole number from 1 to 1");
  EXPECT_EQ(failure(R"({"version":1,"sevrers":[]})"), "routes: 'sevrers' is not known");
  EXPECT_EQ(failure(R"({"version":1,"servers":[{"locations":[{"patern":"/"}]}]})"),
            "routes/servers/0/locations/0: 'pattern' is missing");
  EXPECT_EQ(failure(R"({"version":1,"servers":[{"locations":[{"pattern":"/","modifier":"=="}]}]})"),
            "routes/servers/0/locations/0: 'modifier' is none of those known: '=='");
  EXPECT_EQ(failure(R"({"version":1,"pools":[{"name":"a","servers":[{"address":"x","weight":0}]}]})"),
            "routes/pools/0/servers/0: 'weight' is no whole number from 1 to 65535");
  EXPECT_EQ(failure(R"({"version":1,"pools":[{"name":"a","servers":[{"address":"x","weight":1.5}]}]})"),
            "routes/pools/0/servers/0: 'weight' is no whole number from 1 to 65535");
  EXPECT_EQ(failure(R"({"version":1,"servers":[{"locations":[{"pattern":"/","fallback":"=abc"}]}]})"),
            "routes/servers/0/locations/0: 'fallback' is no status: '=abc'");
  std::string deep = R"({"version":1,"servers":[{"locations":[)";
  for (int i = 0; i < 30; ++i) deep += R"({"pattern":"/","locations":[)";
  for (int i = 0; i < 30; ++i) deep += "]}";
  EXPECT_NE(failure(deep + "]}]}").find("nested deeper than 16"), std::string::npos);
}

// The published schema speaks of the keys that are read, and of no others.
void keysOf(const json& schema, std::set<std::string>& keys) {
  if (schema.is_object()) {
    if (schema.contains("properties") && schema["properties"].is_object())
      for (const auto& [key, value] : schema["properties"].items()) keys.insert(key);
    for (const auto& [key, value] : schema.items()) keysOf(value, keys);
  }
  if (schema.is_array())
    for (const json& each : schema) keysOf(each, keys);
}

TEST(JsonTest, TheSchemaHasTheKeysThatAreRead) {
  std::ifstream file(SCHEMA);
  const json schema = json::parse(file);
  std::set<std::string> published;
  keysOf(schema, published);
  std::ifstream source(SOURCE);
  std::set<std::string> read;
  std::string line;
  while (std::getline(source, line))
    for (const char* begin : {"read(\"", "number(\"", "list(\"", "need(\"", "find(\"", "readSteps(o, \""}) {
      const std::size_t at = line.find(begin);
      if (at == std::string::npos) continue;
      const std::size_t from = at + std::string(begin).size();
      read.insert(line.substr(from, line.find('"', from) - from));
    }
  EXPECT_EQ(published, read);
}

}  // namespace
}  // namespace cairnjunction::testing
