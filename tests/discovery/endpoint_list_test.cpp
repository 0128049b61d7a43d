// Parsing and writing endpoint lists in discovery's JSON format, and the errors of lists that are malformed.
#include "discovery/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace cairnjunction::testing {
namespace {

using nlohmann::json;

json entry() {
  return {{"uid", "s-1"},      {"endpoint", "10.0.0.1:80"}, {"az", "b"},          {"model", "m5"},
          {"pod_group", 7},    {"state", "DRAINING"},       {"capacity_hint", 2}, {"boot_ms", 1234},
          {"unknown", "field"}};
}
bool isRejected(const json& document) {
  try {
    parseEndpointList(document);
    return false;
  } catch (const EndpointListError&) {
    return true;
  }
}
json document(const json& endpoint) { return {{"rev", 9}, {"all", true}, {"targets", {endpoint}}}; }

TEST(EndpointListTest, ReadsEachField) {
  const EndpointList list = parseEndpointList(document(entry()));
  EXPECT_EQ(list.version, 9);
  EXPECT_TRUE(list.full);
  ASSERT_EQ(list.endpoints.size(), 1u);
  const DiscoveredEndpoint& endpoint = list.endpoints[0];
  EXPECT_EQ(endpoint.uid, "s-1");
  EXPECT_EQ(textOf(endpoint.endpoint), "10.0.0.1:80");
  EXPECT_EQ(endpoint.zone, "b");
  EXPECT_EQ(endpoint.machineKind, "m5");
  EXPECT_EQ(endpoint.cell, 7);
  EXPECT_EQ(endpoint.state, DiscoveredState::draining);
  EXPECT_EQ(endpoint.weight, 2);
  EXPECT_EQ(endpoint.bootMs, 1234);
}

TEST(EndpointListTest, MissingOptionalFieldsHaveTheirDefaults) {
  const EndpointList list = parseEndpointList(
      {{"rev", 1}, {"targets", {{{"uid", "s"}, {"state", "SERVING"}, {"endpoint", "::1:1"}}}}});
  EXPECT_FALSE(list.full);
  ASSERT_EQ(list.endpoints.size(), 1u);
  EXPECT_EQ(list.endpoints[0].zone, "");
  EXPECT_EQ(list.endpoints[0].cell, 0);
  EXPECT_EQ(list.endpoints[0].weight, 1);
  EXPECT_EQ(list.endpoints[0].bootMs, 0);
}

TEST(EndpointListTest, OnlyADeletedEndpointNeedsNoAddress) {
  json endpoint = entry();
  endpoint.erase("endpoint");
  endpoint["state"] = "DELETED";
  EXPECT_EQ(parseEndpointList(document(endpoint)).endpoints[0].state, DiscoveredState::gone);
  for (const char* state : {"SERVING", "DRAINING"}) {
    endpoint["state"] = state;
    EXPECT_TRUE(isRejected(document(endpoint))) << state;
  }
}

TEST(EndpointListTest, WrittenListIsParsedToTheSameList) {
  for (const auto state : {DiscoveredState::serving, DiscoveredState::draining, DiscoveredState::gone}) {
    EndpointList list = parseEndpointList(document(entry()));
    list.endpoints[0].state = state;
    const EndpointList parsed = parseEndpointList(toJson(list));
    EXPECT_EQ(parsed.version, list.version);
    EXPECT_EQ(parsed.full, list.full);
    ASSERT_EQ(parsed.endpoints.size(), 1u);
    EXPECT_EQ(parsed.endpoints[0].state, state);
    EXPECT_EQ(parsed.endpoints[0].uid, "s-1");
    EXPECT_EQ(parsed.endpoints[0].endpoint, list.endpoints[0].endpoint);
    EXPECT_EQ(parsed.endpoints[0].bootMs, 1234);
  }
}

constexpr const char* kBootRange = "a number from -4611686018427 to 4611686018427";  // ms, as nanoseconds
constexpr const char* kCellRange = "a number from -9223372036854775808 to 9223372036854775807";

struct InvalidField {
  const char* field;
  json value;
  const char* expected;
  const char* found;
};

// Guards against numbers out of range that were taken as others (docs/incidents/nonsense-report.md): a start
// time in nanoseconds wrapped around to one in the future, so that the endpoint stayed in slow start. Each
// field in turn has an invalid value. The error names the field, the expected value and the value found.
TEST(EndpointListTest, ErrorNamesTheFieldTheExpectedAndTheFoundValue) {
  const std::vector<InvalidField> invalidValues = {
      {"uid", "", "a text that is not empty", "\"\""},
      {"uid", 5, "a text", "5"},
      {"state", "ASLEEP", "SERVING, DRAINING or DELETED", "\"ASLEEP\""},
      {"endpoint", "10.0.0.1", "address:port", "\"10.0.0.1\""},
      {"az", json::array(), "a text", "array"},
      {"capacity_hint", "much", "a number", "\"much\""},
      {"boot_ms", json::object(), "a number", "object"},
      {"boot_ms", 1e300, kBootRange, "1e+300"},
      {"boot_ms", 1'764'855'861'000'000'000, kBootRange, "1764855861000000000"},
      {"pod_group", 18446744073709551615U, kCellRange, "18446744073709551615"},
      {"pod_group", true, "a number", "true"}};
  for (const InvalidField& invalid : invalidValues) {
    json endpoint = entry();
    endpoint[invalid.field] = invalid.value;
    try {
      parseEndpointList(document(endpoint));
      ADD_FAILURE() << invalid.field << " was accepted";
    } catch (const EndpointListError& error) {
      EXPECT_EQ(error.field(), std::string("targets[0].") + invalid.field);
      EXPECT_EQ(error.expected(), invalid.expected);
      EXPECT_EQ(error.found(), invalid.found);
      EXPECT_EQ(std::string(error.what()), "host list: " + error.field() + ": expected " + invalid.expected +
                                               ", found " + invalid.found);
    }
  }
}

TEST(EndpointListTest, DocumentWithMissingOrInvalidFieldsIsRejected) {
  for (const json& invalid : {json::array(), json(5), json(nullptr), json::object(), json{{"rev", 1}},
                              json{{"targets", json::array()}}, json{{"rev", 1}, {"targets", 5}},
                              json{{"rev", 1}, {"all", "yes"}, {"targets", json::array()}},
                              json{{"rev", 1e19}, {"targets", json::array()}},
                              json{{"rev", 18446744073709551615U}, {"targets", json::array()}},
                              json{{"rev", 1}, {"targets", {{"uid", entry()}}}}})
    EXPECT_TRUE(isRejected(invalid)) << invalid;
}

}  // namespace
}  // namespace cairnjunction::testing
