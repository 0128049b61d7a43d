// A gateway in a fleet of three coordinators, and another member whose messages are the test's. The first
// argument is the path of the coordinator's program.
#include "app/gateway.hpp"
#include "fleet/fleet_processes.hpp"
#include "gateway_waits.hpp"

namespace cairnjunction::testing {
namespace {

class FleetGatewayTest : public FleetTest {
 protected:
  static constexpr std::uint32_t kProbeShards = 6;  // as in fileText()

  FakeDiscovery discovery{io};
  Peer worker{io, [](PeerConnection& connection) { connection.reply(answerText(200, "", "served")); }};
  std::unique_ptr<Gateway> gateway;
  int serial = 0;

  // Starts a gateway that is granted no lease, so that all are the other member's.
  void startGateway() {
    json config = configJson();
    discovery.list.push_back(target("s-0", worker.endpoint));
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    const fleet::Settings settings =
        fleet::parseSettings(fileText() + "[member]\nwilling = false\nlog = \"" + dir + "n0.log\"\n", "test");
    gateway = std::make_unique<Gateway>(
        io, parseConfig(config, [](const char*) { return nullptr; }), longWatches(),
        [](const std::string&) {}, jsonrpc::Settings{}, nullptr, &settings);
  }
  void TearDown() override {
    gateway.reset();
    FleetTest::TearDown();
  }
  std::uint64_t figure(const std::string& name) const {
    for (const auto& [each, value] : gateway->fleet()->figures())
      if (each == name) return value;
    return 0;
  }
  int statusOfARequest() {
    auto client = Client::connect(io, gateway->listening());
    client->send("GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: r" +
                 std::to_string(++serial) + "\r\n\r\n");
    EXPECT_TRUE(until([&] { return !client->answers.empty() || client->closedByPeer; }));
    return client->answers.empty() ? 0 : static_cast<int>(client->answers.front().result_int());
  }
};

// Guards against one member's nonsense that ended all other gateways (docs/incidents/nonsense-report.md).
// Nonsense of each kind is rejected, said once for each lease and counted; requests are served, and what the
// same member reports next is taken.
TEST_F(FleetGatewayTest, NonsenseOfAnotherMemberEndsNoGateway) {
  startCoordinators();
  fleet::Member& member = join("m");
  startGateway();
  ASSERT_TRUE(until([&] { return observed["m"].leases.size() == 1 + kProbeShards; }));
  ASSERT_TRUE(until([&] { return figure("fleet.joined") == 1; }));

  const std::vector<std::string> reports = {
      R"({"out":[],"up":[{"uid":"s-0","age_ms":"300 ms"}]})",
      R"({"out":[],"up":[{"uid":"s-0","age_ms":1e300}]})",
      R"({"out":[],"up":[{"uid":"s-0","age_ms":{}}]})",
      R"({"out":[],"up":[{"uid":"s-0","age_ms":18446744073709551615}]})",
      R"({"out":5,"up":7})",
      "[]",
      "",
      "{\"out\":[\"\xff\xfe\"]}"};
  const std::vector<std::string> lists = {R"({"rev":"1","targets":[]})",
                                          R"({"rev":1,"targets":[],"source":5})",
                                          R"({"rev":1,"targets":[],"era":"1"})", "5", "\xff"};
  for (const std::string& body : reports) EXPECT_TRUE(member.sendCommand({"probe", 0}, body, false)) << body;
  for (const std::string& body : lists) EXPECT_TRUE(member.sendCommand(list, body, false)) << body;
  ASSERT_TRUE(until([&] { return figure("fleet.orders_invalid") == reports.size() + lists.size(); }));

  EXPECT_EQ(statusOfARequest(), 200);
  EXPECT_EQ(gateway->hosts(), 1u) << "the list that it had stays";
  const std::string log = text(dir + "n0.log");
  const auto linesOf = [&log](const std::string& event) {
    std::size_t count = 0;
    for (std::size_t at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) ++count;
    return count;
  };
  EXPECT_EQ(linesOf("\"report-invalid\""), 1u) << log;
  EXPECT_EQ(linesOf("\"list-invalid\""), 1u) << log;
  EXPECT_NE(log.find("up[0].age_ms: expected a number"), std::string::npos) << log;

  EXPECT_TRUE(member.sendCommand(
      list, R"({"rev":7,"all":true,"targets":[],"source":"127.0.0.1:9000","era":0})", true));
  EXPECT_TRUE(until([&] { return figure("fleet.lists_taken") == 1; }));
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 1;
  cairnjunction::testing::coordinatorProgram = argv[1];
  return RUN_ALL_TESTS();
}
