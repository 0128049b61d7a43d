// The handshake of a coordinator with one other, which the test plays.
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
  ReservedPort nobody{io};
  std::vector<std::shared_ptr<fleet::Link>> links;
  std::vector<fleet::VoterHandshakeRequest> requests;
  std::vector<fleet::VoterHandshake::Result> results;

  const std::string disk = folder.file("disk");

  void SetUp() override { std::filesystem::create_directories(disk); }
  void TearDown() override {
    for (const auto& link : links) link->abandon();
  }
  // Coordinator 2 is the test's; nobody listens at 3's address.
  fleet::Settings settings(int coordinators = 3) const {
    fleet::Settings settings;
    settings.fleet = "yard";
    settings.coordinators = {{1, nobody.endpoint, ""}};
    if (coordinators > 1) {
      settings.coordinators.push_back({2, acceptor.local_endpoint(), ""});
      settings.coordinators.push_back({3, nobody.endpoint, ""});
    }
    return settings;
  }
  void answerWith(const fleet::Message& answer) {
    acceptor.async_accept([this, answer](error_code ec, tcp::socket socket) {
      if (ec) return;
      const std::size_t index = links.size();
      links.push_back(fleet::Link::accepted(io, std::move(socket), {},
                                            {nullptr,
                                             [this, index, answer](const fleet::Message& message) {
                                               requests.push_back(
                                                   std::get<fleet::VoterHandshakeRequest>(message));
                                               links[index]->send(answer);
                                               links[index]->finish(fleet::LinkEnd::stopped);
                                             },
                                             nullptr}));
      answerWith(answer);
    });
  }
  std::function<void(const fleet::VoterHandshake::Result&)> collect() {
    return [this](const fleet::VoterHandshake::Result& result) { results.push_back(result); };
  }
};

TEST_F(VoterHandshakeTest, AMajorityAdmits) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  answerWith(fleet::VoterHandshakeResponse{2, {9, 3}, ""});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  EXPECT_TRUE(results.empty());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::admitted);
  EXPECT_EQ(requests.at(0).number, 1);
  EXPECT_EQ(requests.at(0).mark, identity.own());
}

TEST_F(VoterHandshakeTest, OneCoordinatorAloneNeedsNobody) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  const fleet::VoterHandshake handshake(io, settings(1), 1, identity, events, collect());
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, Outcome::admitted);
}

// The other coordinator knows that this one had another disk. This one must not vote.
TEST_F(VoterHandshakeTest, ARejectionByAnotherIsTheResult) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  answerWith(fleet::VoterHandshakeResponse{2, {9, 3}, "another disk than it had"});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::rejected);
  EXPECT_EQ(results[0].reason, "another disk than it had");
}

// The fleet file is wrong: at 2's address 3 answers.
TEST_F(VoterHandshakeTest, AnAnswerFromAnotherNumberIsARejection) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  answerWith(fleet::VoterHandshakeResponse{3, {9, 3}, ""});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::rejected);
  EXPECT_NE(results[0].reason.find("at keeper 2's address is keeper 3"), std::string::npos);
}

// The other coordinator does not know this one yet, say since it has an older fleet file. It is asked again.
TEST_F(VoterHandshakeTest, AJoinRejectionIsRetried) {
  consensus::VoterIdentity identity(disk, "yard", 1);
  answerWith(fleet::JoinRejected{"not one of ours"});
  const fleet::VoterHandshake handshake(io, settings(), 1, identity, events, collect());
  ASSERT_TRUE(until([&] { return requests.size() >= 2; }));
  EXPECT_TRUE(results.empty());
}

}  // namespace
}  // namespace cairnjunction::testing
