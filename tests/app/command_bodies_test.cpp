// Bodies of the fleet's commands: what is written is read, and whatever else comes is an error of one type.
#include "app/command_bodies.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Reports as the versions before typed messages wrote them: they may run in the same fleet.
TEST(CommandBodiesTest, AReportIsReadAsItWasAlwaysWritten) {
  const ProbeReport report{{"s-1", "s-2"}, {{"s-3", 300ms}}};
  EXPECT_EQ(parseProbeReport(R"({"out":["s-1","s-2"],"up":[{"age_ms":300,"uid":"s-3"}]})"), report);
  EXPECT_EQ(encode(report), R"({"out":["s-1","s-2"],"up":[{"age_ms":300,"uid":"s-3"}]})");
  EXPECT_EQ(parseProbeReport("{}"), ProbeReport{}) << "nothing is unreachable, nothing has recovered";
  EXPECT_EQ(encode(ProbeReport{}), R"({"out":[],"up":[]})");
}

TEST(CommandBodiesTest, AListIsReadAsItIsWritten) {
  EndpointListMessage message;
  message.list = parseEndpointList(
      {{"rev", 9},
       {"targets",
        {{{"uid", "s-1"}, {"state", "SERVING"}, {"endpoint", "10.0.0.1:80"}, {"capacity_hint", 0.5}}}}});
  message.version = {"10.0.0.9:9000", 3, 9};
  const EndpointListMessage parsed = parseEndpointListMessage(encode(message));
  EXPECT_EQ(parsed.version, message.version);
  EXPECT_TRUE(parsed.list.full);
  ASSERT_EQ(parsed.list.endpoints.size(), 1u);
  EXPECT_EQ(parsed.list.endpoints[0].uid, "s-1");
  EXPECT_EQ(parsed.list.endpoints[0].weight, 0.5);
}

std::string reportError(const std::string& body) {
  try {
    parseProbeReport(body);
    return "accepted";
  } catch (const InvalidCommandBody& invalid) {
    return invalid.what();
  }
}

// Guards against nonsense in a report that ended each gateway that read it
// (docs/incidents/nonsense-report.md): wrong types, numbers out of range and text that is not UTF-8 are
// rejected, with the place that is wrong.
TEST(CommandBodiesTest, NonsenseInAReportIsRejectedWithItsPlace) {
  EXPECT_EQ(reportError(R"({"up":[{"uid":"w1","age_ms":"300 ms"}]})"),
            "up[0].age_ms: expected a number, found \"300 ms\"");
  EXPECT_EQ(reportError(R"({"up":[{"uid":"w1","age_ms":null}]})"),
            "up[0].age_ms: expected a number, found null");
  EXPECT_EQ(reportError(R"({"up":[{"uid":"w1"}]})"), "up[0].age_ms: expected a number, found nothing");
  EXPECT_EQ(reportError(R"({"up":[{"uid":7,"age_ms":1}]})"), "up[0].uid: expected a text, found 7");
  EXPECT_EQ(reportError(R"({"up":["w1"]})"), "up[0]: expected an object, found \"w1\"");
  EXPECT_EQ(reportError(R"({"up":{"uid":"w1","age_ms":1}})"), "up: expected an array, found object");
  EXPECT_EQ(reportError(R"({"out":"w1"})"), "out: expected an array, found \"w1\"");
  EXPECT_EQ(reportError(R"({"out":["w1",2]})"), "out[1]: expected a text, found number");
  for (const char* age : {"-1", "1e300", "-1e300", "9223372036854775807", "18446744073709551615"})
    EXPECT_NE(reportError(R"({"up":[{"uid":"w1","age_ms":)" + std::string(age) + "}]}")
                  .find("up[0].age_ms: expected a number from 0 to 31536000000, found "),
              std::string::npos)
        << age;
  for (const char* body :
       {"", "[]", "5", "null", "{", "{\"out\":[\"\xff\xfe\"]}", "\xff", "{\"out\":[1e999]}"})
    EXPECT_NE(reportError(body), "accepted") << body;
  const json tooMany = std::vector<std::string>(kMaxReportedEndpoints + 1, "s");
  EXPECT_EQ(reportError(json{{"out", tooMany}}.dump()), "out: expected at most 4096 entries, found 4097");
}

// A text of a megabyte in the place of a number does not go into the log whole.
TEST(CommandBodiesTest, AnErrorIsShortWhateverWasFound) {
  EXPECT_LT(reportError(R"({"up":[{"uid":"w1","age_ms":")" + std::string(1 << 20, 'x') + "\"}]}").size(),
            200u);
}

TEST(CommandBodiesTest, NonsenseInAListIsRejected) {
  const json valid = {{"rev", 1}, {"targets", json::array()}, {"source", "a:1"}, {"era", 1}};
  EXPECT_NO_THROW(parseEndpointListMessage(valid.dump()));
  const std::vector<std::pair<const char*, json>> invalidFields = {{"source", 5},
                                                                   {"era", "1"},
                                                                   {"era", -1},
                                                                   {"era", 1e300},
                                                                   {"era", 18446744073709551615U},
                                                                   {"rev", nullptr},
                                                                   {"rev", "1"},
                                                                   {"all", 1},
                                                                   {"targets", 5},
                                                                   {"targets", json::array({json::array()})},
                                                                   {"targets", json::array({5})},
                                                                   {"era", true},
                                                                   {"era", json::object()}};
  for (const auto& [field, value] : invalidFields) {
    json invalid = valid;
    invalid[field] = value;
    EXPECT_THROW(parseEndpointListMessage(invalid.dump()), InvalidCommandBody) << invalid;
  }
  for (const char* body : {"", "[]", "null", "{", "\xff"})
    EXPECT_THROW(parseEndpointListMessage(body), InvalidCommandBody) << body;
}

}  // namespace
}  // namespace cairnjunction::testing
