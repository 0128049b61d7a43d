// Tests of parsing the fleet file.
#include "fleet/settings.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

std::string fileText(const std::string& more, int coordinators = 3) {
  std::string text = "fleet = \"yard\"\n" + more + "\n";
  for (int number = 1; number <= coordinators; ++number)
    text += "[[keeper]]\nnumber = " + std::to_string(number) +
            "\naddress = \"127.0.0.1:" + std::to_string(7100 + number) +
            "\"\nraft = \"127.0.0.1:" + std::to_string(7200 + number) + "\"\n";
  return text;
}

TEST(FleetSettings, ErrorsNameTheLineAndTheExpectedValue) {
  EXPECT_EQ(fleet::parseSettings(fileText("[member]\nzone = \"brasov\""), "f").zone, "brasov");
  const std::pair<std::string, const char*> mistakes[] = {
      {fileText("", 2), "3 or 5 keepers"},
      {fileText("beat = 3"), "f:2: unknown key 'beat'"},
      {fileText("beat_ms = \"1\""), "f:2: 'beat_ms' is no number from 50"},
      {fileText("beat_ms = 2000"), "'alone_after_ms' is shorter than three beats"},
      {fileText("fleet = 3"), "f:2"},
      {"fleet = \"\"", "'fleet' needs 1 to 128 bytes"},
      {fileText("") + "[[keeper]]\nnumber = 1\naddress = \"127.0.0.1:1\"\nraft = \"127.0.0.1:2\"\n",
       "stands there twice"},
      {fileText("") + "[[keeper]]\nnumber = 9\naddress = \"nowhere\"\nraft = \"127.0.0.1:2\"\n",
       "'nowhere' is no address:port"},
      {fileText("") + "[[keeper]]\nnumber = 9\naddress = \"127.0.0.1:1\"\nraft = \"::1:2\"\n", "no IPv4"},
      {fileText("[[duty]]\nname = \"list\"\nlease_ms = 500"), "shorter than three beats"},
      {fileText("[[duty]]\nname = \"list\"\nheirs = \"nobody\""), "names 'nobody', which is none"},
      {fileText("[[duty]]\nname = \"a\"\n[[duty]]\nname = \"a\""), "'a' stands there twice"},
      {fileText("[member]\nwiling = true"), "unknown key 'wiling'"},
      {fileText("member = 3"), "'member' is no table"}};
  for (const auto& [text, expected] : mistakes) try {
      fleet::parseSettings(text, "f");
      ADD_FAILURE() << text;
    } catch (const fleet::BadSettings& bad) {
      EXPECT_NE(std::string(bad.what()).find(expected), std::string::npos) << bad.what();
    }
}

TEST(FleetSettings, FindsCoordinatorsByNumberAndTasksByName) {
  const fleet::Settings settings =
      fleet::parseSettings(fileText("[[duty]]\nname = \"probe\"\nshards = 8"), "f");
  ASSERT_NE(settings.coordinator(2), nullptr);
  EXPECT_EQ(settings.coordinator(2)->address.port(), 7102);
  EXPECT_EQ(settings.coordinator(4), nullptr);
  ASSERT_NE(settings.taskSpec("probe"), nullptr);
  EXPECT_EQ(settings.taskSpec("probe")->shards, 8u);
  EXPECT_EQ(settings.taskSpec("list"), nullptr);
}

}  // namespace
}  // namespace cairnjunction::testing
