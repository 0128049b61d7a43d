// Tests of the structured event log.
#include "fleet/event_log.hpp"

#include <gtest/gtest.h>

#include <set>
#include <sstream>

#include "temporary_folder.hpp"

namespace cairnjunction::testing {
namespace {

using fleet::Event;
using fleet::EventLog;
using nlohmann::json;

std::vector<json> linesOf(const std::string& text) {
  std::vector<json> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(json::parse(line));
  return lines;
}

TEST(EventLog, LinesHaveTheEventTheWriterAndTheTime) {
  const TemporaryFolder folder("event_log");
  EventLog member(folder.file("member"), EventLog::Role::member, "n0");
  member.writeCommand(Event::commandSent, {{"list", 2}, 7, 41, {"n0", 9}}, {{"more", 1}});
  const std::vector<json> lines = linesOf(folder.textOf("member"));
  ASSERT_EQ(lines.size(), 1u);
  json line = lines[0];
  EXPECT_GT(line["boot_ms"].get<std::int64_t>(), 0);
  line.erase("boot_ms");
  EXPECT_EQ(line, (json{{"event", nameOf(Event::commandSent)},
                        {"member", "n0"},
                        {"duty", "list"},
                        {"shard", 2},
                        {"epoch", 7},
                        {"sequence", 41},
                        {"from", "n0"},
                        {"from_incarnation", 9},
                        {"more", 1}}));
  EventLog coordinator(folder.file("coordinator"), EventLog::Role::coordinator, "1");
  coordinator.write(Event::memberLeft);
  EXPECT_EQ(linesOf(folder.textOf("coordinator")).at(0)["keeper"], "1");
}

// A peer causes thousands of events per second. Lines beyond the rate limit are dropped, and the next written
// line has their count.
TEST(EventLog, CountsLinesDroppedByTheRateLimit) {
  const TemporaryFolder folder("event_log");
  EventLog log(folder.file("log"), EventLog::Role::member, "n0");
  constexpr std::uint64_t events = 10 * EventLog::kMaxLinesPerSecond;
  for (std::uint64_t i = 0; i < events; ++i) log.write(Event::joined);
  const std::size_t before = linesOf(folder.textOf("log")).size();
  EXPECT_LT(before, events);
  // In one of the next seconds a line is written again.
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  std::uint64_t more = 0;
  do {
    log.write(Event::joined);
    ++more;
    written = 0;
    dropped = 0;
    for (const json& line : linesOf(folder.textOf("log"))) {
      ++written;
      dropped += line.value("lines_left_out", std::uint64_t{0});
    }
  } while (written == before && std::chrono::steady_clock::now() < deadline);
  EXPECT_EQ(written + dropped, events + more);
}

TEST(EventLog, EventNamesAreUnique) {
  std::set<std::string_view> names;
  int count = 0;
  for (int event = 0; event <= static_cast<int>(Event::votingStarted); ++event, ++count)
    names.insert(nameOf(static_cast<Event>(event)));
  EXPECT_EQ(names.size(), static_cast<std::size_t>(count));
  EXPECT_FALSE(names.contains(""));
}

}  // namespace
}  // namespace cairnjunction::testing
