// Tests of a coordinator's handshake, with a scripted peer.
#include "fleet/voter_handshake.hpp"

#include "net_peers.hpp"
#include "temporary_folder.hpp"

namespace cairnjunction::testing {
namespace {

using Outcome = fleet::VoterHandshake::Result::Outcome;

class VoterHandshakeTest : public LoopTest {
 protected:
  TemporaryFolder folder{"voter_handshake"};
  fleet::EventLog events{folder.file("log"), fleet::EventLog::Role::coordinator, "1"};
  tcp::acceptor acceptor{io, loopback()};
  ReservedPort unusedPort{io};
  std::vector<std::shared_ptr<fleet::Link>> links;
  std::vector<fleet::VoterHandshakeRequest> requests;
  std::vector<fleet::VoterHandshake::Result> results;

  const std::string disk = folder.file("disk");

  void SetUp() override { std::filesystem::create_directories(disk); }
  void TearDown() override {
    for (const auto& link : links) link->abandon();
  }
  // Coordinator 2 is the scripted peer; nothing listens at coordinator 3's address.
  fleet::Settings settings(int coordinators = 3) const {
    fleet::Settings settings;
    settings.fleet = "yard";
    settings.coordinators = {{1, unusedPort.endpoint, ""}};
    if (coordinators > 1) {
      settings.coordinators.push_back({2, acceptor.local_endpoint(), ""});
      settings.coordinators.push_back({3, unusedPort.endpoint, ""});
    }
    return settings;
  }
  void respondWith(const fleet::Message& response) {
    acceptor.async_accept([this, response](error_code ec, tcp::socket socket) {
      if (ec) return;
      const std::size_t index = links.size();
      links.push_back(fleet::Link::accepted(io, std::move(socket), {},
                                            {nullptr,
                                             [this, index, response](const fleet::Message& message) {
                                               requests.push_back(
                                                   std::get<fleet::VoterHandshakeRequest>(message));
                                               links[index]->send(response);
                                               links[index]->finish(fleet::LinkEnd::stopped);
                                             },
                                             nullptr}));
      respondWith(response);
    });
  }
  std::function<void(const fleet::VoterHandshake::Result&)> collect() {
    return [this](const fleet::VoterHandshake::Result& result) { results.push_back(result); };
  }
};

TEST_F(VoterHandshakeTest, IsAdmittedByAMajority) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  respondWith(fleet::VoterHandshakeResponse{2, {9, 3}, ""});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  EXPECT_TRUE(results.empty());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::admitted);
  EXPECT_EQ(requests.at(0).number, 1);
  EXPECT_EQ(requests.at(0).mark, identity.own());
}

TEST_F(VoterHandshakeTest, ASingleCoordinatorIsAdmittedAtOnce) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  const fleet::VoterHandshake handshake(io, settings(1), 1, identity, events, collect());
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, Outcome::admitted);
}

// The peer remembers another disk of this coordinator, which must not vote.
TEST_F(VoterHandshakeTest, IsRejectedByAPeer) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  respondWith(fleet::VoterHandshakeResponse{2, {9, 3}, "another disk than it had"});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::rejected);
  EXPECT_EQ(results[0].reason, "another disk than it had");
}

// The fleet file is wrong: coordinator 3 responds at coordinator 2's address.
TEST_F(VoterHandshakeTest, AResponseFromAnotherNumberIsARejection) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  respondWith(fleet::VoterHandshakeResponse{3, {9, 3}, ""});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::rejected);
  EXPECT_NE(results[0].reason.find("at keeper 2's address is keeper 3"), std::string::npos);
}

// The peer does not know this coordinator yet, for example because it has an older fleet file. The request is
// retried.
TEST_F(VoterHandshakeTest, RetriesAfterJoinRejected) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  respondWith(fleet::JoinRejected{"not one of ours"});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return requests.size() >= 2; }));
  EXPECT_TRUE(results.empty());
}

}  // namespace
}  // namespace cairnjunction::testing
