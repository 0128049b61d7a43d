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

TEST(EndpointListTest, OptionalFieldsHaveTheirDefaults) {
  const EndpointList list = parseEndpointList(
      {{"rev", 1}, {"targets", {{{"uid", "s"}, {"state", "SERVING"}, {"endpoint", "::1:1"}}}}});
  EXPECT_FALSE(list.full);
  ASSERT_EQ(list.endpoints.size(), 1u);
  EXPECT_EQ(list.endpoints[0].zone, "");
  EXPECT_EQ(list.endpoints[0].cell, 0);
  EXPECT_EQ(list.endpoints[0].weight, 1);
  EXPECT_EQ(list.endpoints[0].bootMs, 0);
}

TEST(EndpointListTest, OnlyAnEndpointThatIsGoneNeedsNoAddress) {
  json endpoint = entry();
  endpoint.erase("endpoint");
  endpoint["state"] = "DELETED";
  EXPECT_EQ(parseEndpointList(document(endpoint)).endpoints[0].state, DiscoveredState::gone);
  for (const char* state : {"SERVING", "DRAINING"}) {
    endpoint["state"] = state;
    EXPECT_TRUE(isRejected(document(endpoint))) << state;
  }
}

TEST(EndpointListTest, WritesWhatItReads) {
  for (const auto state : {DiscoveredState::serving, DiscoveredState::draining, DiscoveredState::gone}) {
    EndpointList list = parseEndpointList(document(entry()));
    list.endpoints[0].state = state;
    const EndpointList again = parseEndpointList(toJson(list));
    EXPECT_EQ(again.version, list.version);
    EXPECT_EQ(again.full, list.full);
    ASSERT_EQ(again.endpoints.size(), 1u);
    EXPECT_EQ(again.endpoints[0].state, state);
    EXPECT_EQ(again.endpoints[0].uid, "s-1");
    EXPECT_EQ(again.endpoints[0].endpoint, list.endpoints[0].endpoint);
    EXPECT_EQ(again.endpoints[0].bootMs, 1234);
  }
}

struct BadField {
  const char* field;
  json value;
  const char* expected;
  const char* found;
};

// Each field in turn has a value of a wrong kind: the error names the field, what belongs there and what was
// found.
TEST(EndpointListTest, ErrorsNameTheFieldAndWhatWasExpectedAndFound) {
  const std::vector<BadField> bad = {{"uid", "", "a text that is not empty", "\"\""},
                                     {"uid", 5, "a text", "5"},
                                     {"state", "ASLEEP", "SERVING, DRAINING or DELETED", "\"ASLEEP\""},
                                     {"endpoint", "10.0.0.1", "address:port", "\"10.0.0.1\""},
                                     {"az", json::array(), "a text", "array"},
                                     {"capacity_hint", "much", "a number", "\"much\""},
                                     {"boot_ms", json::object(), "a number", "object"}};
  for (const BadField& wrong : bad) {
    json endpoint = entry();
    endpoint[wrong.field] = wrong.value;
    try {
      parseEndpointList(document(endpoint));
      ADD_FAILURE() << wrong.field << " was taken";
    } catch (const EndpointListError& error) {
      EXPECT_EQ(error.field(), std::string("targets[0].") + wrong.field);
      EXPECT_EQ(error.expected(), wrong.expected);
      EXPECT_EQ(error.found(), wrong.found);
      EXPECT_EQ(std::string(error.what()),
                "host list: " + error.field() + ": expected " + wrong.expected + ", found " + wrong.found);
    }
  }
}

TEST(EndpointListTest, DocumentWithoutItsFieldsIsRejected) {
  for (const json& bad : {json::array(), json(5), json(nullptr), json::object(), json{{"rev", 1}},
                          json{{"targets", json::array()}}, json{{"rev", 1}, {"targets", 5}},
                          json{{"rev", 1}, {"all", "yes"}, {"targets", json::array()}}})
    EXPECT_TRUE(isRejected(bad)) << bad;
}

}  // namespace
}  // namespace cairnjunction::testing
