// Reading fields of JSON objects: defaults, units, ranges and errors.
#include "config/json_fields.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace cairnjunction::json_fields {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// The message of the BadConfig that `action` throws; empty if it throws none.
std::string errorOf(const std::function<void()>& action) {
  try {
    action();
    return "";
  } catch (const BadConfig& bad) {
    return bad.what();
  }
}

TEST(JsonFieldsTest, MissingAndNullFieldsKeepTheDefault) {
  int value = 7;
  read(json::object(), "count", value);
  read(json{{"count", nullptr}}, "count", value);
  EXPECT_EQ(value, 7);
}

TEST(JsonFieldsTest, DurationsAreNanoseconds) {
  policy::Duration value{};
  read(json{{"waitNs", 1500}}, "waitNs", value);
  EXPECT_EQ(value, 1500ns);
}

TEST(JsonFieldsTest, UnsignedNumbersOutOfRangeAreRejected) {
  std::uint32_t value = 1;
  read(json{{"count", 4294967295}}, "count", value);
  EXPECT_EQ(value, 4294967295u);
  EXPECT_EQ(errorOf([&] { read(json{{"count", -1}}, "count", value); }), "count: out of range");
  EXPECT_EQ(errorOf([&] { read(json{{"count", 4294967296}}, "count", value); }), "count: out of range");
}

TEST(JsonFieldsTest, ErrorNamesTheField) {
  bool value = false;
  EXPECT_EQ(errorOf([&] { read(json{{"cancel", "yes"}}, "cancel", value); }).rfind("cancel: ", 0), 0u);
}

TEST(JsonFieldsTest, MissingObjectIsEmptyAndAnotherTypeIsRejected) {
  EXPECT_TRUE(objectField(json::object(), "rules").empty());
  EXPECT_EQ(objectField(json{{"rules", {{"a", 1}}}}, "rules").at("a"), 1);
  EXPECT_EQ(errorOf([] { objectField(json{{"rules", 5}}, "rules"); }), "rules is no object");
}

TEST(JsonFieldsTest, RequirePositiveRejectsZeroAndOtherTypes) {
  requirePositive(json::object(), "aimNs");
  requirePositive(json{{"aimNs", 0.5}}, "aimNs");
  EXPECT_EQ(errorOf([] { requirePositive(json{{"aimNs", 0}}, "aimNs"); }), "aimNs: 0 is no number above 0");
  EXPECT_EQ(errorOf([] {
              requirePositive(json{{"aimNs", "5"}}, "aimNs");
            }),
            "aimNs: \"5\" is no number above 0");
}

}  // namespace
}  // namespace cairnjunction::json_fields
