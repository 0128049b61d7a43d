// The judge sees each promise broken: from a folder of good ledgers, one line at a time is made a lie.
#include "lab/checks.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "lab/experiment.hpp"
#include "lab/report.hpp"

namespace cairnjunction::lab {
namespace {

using nlohmann::json;

class LedgersTest : public ::testing::Test {
 protected:
  const std::string dir = ::testing::TempDir() + "ledgers_" + std::to_string(::getpid());
  void SetUp() override {
    std::filesystem::create_directories(dir);
    write("run.json", R"({"experiment":"by hand","seed":7,"begin_ms":1000,"end_ms":9000,"alive":["n0","n1"],
                          "give_up_ms":{"cut-plan":1200,"stock-out":2000},"expect_refused":1})");
    write("clients.jsonl",
          call("c1", 0, 200, 1, 2000, 5) + call("c2", 1, 503, 1, 2000, 5) + call("c3", 1, 0, 0, 5000, 4000));
    write("workers.txt",
          "came 2001 9001 stock-out c1\nran 2002 0 stock-out c1\ncame 4100 9001 cut-plan c2\n");
    write("hosts.jsonl", R"({"ms":1000,"version":2,"port":9001,"state":"SERVING"})"
                         "\n"
                         R"({"ms":3000,"version":3,"port":9001,"state":"DRAINING"})"
                         "\n");
    write("faults.jsonl", R"({"kind":"kill","whom":"gateway:1","process":"n1","begin_ms":5500,"end_ms":7000})"
                          "\n");
    write("n0.jsonl", started(900, 11) + begun(1100, 1) + taken(1200, 1, "n0", 11) + told(1200, 2) +
                          ended(4000, 1) + taken(4500, 2, "n1", 22) + told(4500, 3));
    write("n1.jsonl", started(900, 22) + taken(1200, 1, "n0", 11) + told(1200, 2) + begun(4400, 2) +
                          told(4400, 3) + taken(4500, 2, "n1", 22) + refused(4600, 1) + started(7000, 33) +
                          told(7100, 3));
  }
  void TearDown() override { std::filesystem::remove_all(dir); }
  void write(const std::string& name, const std::string& text) { std::ofstream(dir + "/" + name) << text; }
  void add(const std::string& name, const std::string& text) {
    std::ofstream(dir + "/" + name, std::ios::app) << text;
  }

  static std::string call(const char* id, int gateway, int status, int answers, int due, double took) {
    return json{{"id", id},           {"class", "stock-out"}, {"gateway", gateway}, {"status", status},
                {"answers", answers}, {"due_ms", due},        {"took_ms", took},    {"end", ""}}
               .dump() +
           "\n";
  }
  static std::string line(int ms, const char* event, json more) {
    more["boot_ms"] = ms;
    more["event"] = event;
    return more.dump() + "\n";
  }
  static json key(int epoch) { return {{"duty", "list"}, {"shard", 0}, {"epoch", epoch}}; }
  static std::string started(int ms, int incarnation) {
    return line(ms, "started", {{"incarnation", incarnation}});
  }
  static std::string begun(int ms, int epoch) { return line(ms, "lease-acquired", key(epoch)); }
  static std::string ended(int ms, int epoch) { return line(ms, "lease-ended", key(epoch)); }
  static std::string told(int ms, int version) { return line(ms, "list-accepted", {{"version", version}}); }
  static std::string refused(int ms, int epoch) { return line(ms, "command-rejected", key(epoch)); }
  static std::string taken(int ms, int epoch, const char* from, int incarnation) {
    json fields = key(epoch);
    fields.update({{"from", from}, {"from_incarnation", incarnation}, {"sequence", 1}});
    return line(ms, "command-applied", fields);
  }
  std::set<std::string> broken() {
    std::set<std::string> names;
    for (const Check& check : judge(readLedgers(dir)))
      if (!check.held) names.insert(check.name);
    return names;
  }
};

using Names = std::set<std::string>;

TEST_F(LedgersTest, GoodOnesHold) {
  EXPECT_EQ(broken(), Names{});
  const Ledgers ledgers = readLedgers(dir);
  for (const Check& check : judge(ledgers)) EXPECT_GT(check.counted, 0u) << check.name;
  ASSERT_EQ(gaps(ledgers).size(), 1u);
  EXPECT_EQ(gaps(ledgers)[0].ms, 400);
  writeReport(dir, ledgers, judge(ledgers));
  EXPECT_GT(std::filesystem::file_size(dir + "/owners.svg"), 500u);
}

TEST_F(LedgersTest, EachPromiseIsSeenBroken) {
  const std::tuple<const char*, const char*, std::string> lies[] = {
      {"one-answer", "clients.jsonl", call("c9", 0, 0, 0, 2000, 4000)},    // none, and nothing happened to it
      {"one-answer", "clients.jsonl", call("c9", 0, 200, 2, 2000, 5)},     // two
      {"one-answer", "clients.jsonl", call("c9", 1, 200, 2, 5600, 5)},     // two, also while it is killed
      {"one-answer", "clients.jsonl", call("c9", 0, 200, 1, 2000, 2600)},  // after the client's time
      {"unsafe-once", "workers.txt", "ran 2500 0 stock-out c1\n"},
      {"drained-quiet", "workers.txt", "came 6500 9001 cut-plan c1\n"},  // n0 was told at 4500
      {"one-owner-an-epoch", "n1.jsonl", begun(4700, 1)},                // as n0 had
      {"one-owner-an-epoch", "n1.jsonl", taken(4700, 2, "n0", 11)},      // an order of n1's epoch
      {"one-owner-an-epoch", "n0.jsonl", taken(4700, 2, "n1", 33)},      // by its next process
      {"no-older-after-newer", "n1.jsonl", taken(7200, 1, "n0", 11)},    // also after a restart
      {"lists-caught-up", "n0.jsonl", told(8000, 2)},
  };
  for (const auto& [promise, file, text] : lies) {
    SetUp();
    add(file, text);
    EXPECT_EQ(broken(), Names{promise}) << text;
  }
  SetUp();
  add("n0.jsonl", started(8500, 44) + told(9500, 3));  // a new process that heard the list only after the end
  EXPECT_EQ(broken(), Names{"lists-caught-up"});
  SetUp();
  write("n1.jsonl", started(900, 22) + told(4400, 3));
  EXPECT_EQ(broken(), Names{"old-orders-came-and-were-refused"});
}

TEST_F(LedgersTest, WhatCanNotBeReadIsNamed) {
  add("clients.jsonl", "{\n");
  try {
    readLedgers(dir);
    FAIL();
  } catch (const std::runtime_error& bad) {
    EXPECT_NE(std::string(bad.what()).find("clients.jsonl:4"), std::string::npos) << bad.what();
  }
  add("n0.jsonl", "{\"half");  // of a process that was killed
  std::filesystem::remove(dir + "/clients.jsonl");
  EXPECT_NO_THROW(readLedgers(dir));
}

TEST(Experiment, ASeedGivesTheSamePlanAndMistakesAreNamed) {
  const std::string text = "seconds = 20\n[random]\nfaults = 8\n";
  const auto plan = [&](std::uint64_t seed) {
    std::string all;
    for (const Fault& f : planned(parseExperiment(text, "x"), seed).faults)
      all += std::to_string(f.atMs) + nameOf(f.kind) + f.whom + std::to_string(f.forMs) + " ";
    return all;
  };
  EXPECT_EQ(plan(1), plan(1));
  EXPECT_NE(plan(1), plan(2));
  for (const auto& [bad, said] : std::initializer_list<std::pair<const char*, const char*>>{
           {"secnds = 3", "x:1: unknown key 'secnds'"},
           {"\n[[fault]]\nkind = \"meteor\"\nwhom = \"leader\"", "unknown kind of fault 'meteor'"},
           {"gateways = 0", "'gateways' is no number from 1"},
           {"[[fault]]\nkind = \"kill\"", "needs 'whom'"},
           {"a = ", "x:1"}})
    try {
      parseExperiment(bad, "x");
      ADD_FAILURE() << bad;
    } catch (const BadExperiment& e) {
      EXPECT_NE(std::string(e.what()).find(said), std::string::npos) << e.what();
    }
}

}  // namespace
}  // namespace cairnjunction::lab
