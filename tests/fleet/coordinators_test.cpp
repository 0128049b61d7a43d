// Tests with coordinators as processes that are killed, stopped or started with wrong disks, and members
// within the test's process. The first argument is the path of the coordinator's program.
#include <fcntl.h>
#include <sys/resource.h>

#include <boost/asio/read.hpp>
#include <csignal>

#include "fleet/boot_clock.hpp"
#include "fleet_processes.hpp"

namespace cairnjunction::testing {
namespace {

namespace files = std::filesystem;

// A peer whose first message is the test's, valid or not.
struct RawPeer {
  std::optional<fleet::LinkEnd> end;
  int responses = 0;
  std::shared_ptr<fleet::Link> link;

  RawPeer(asio::io_context& io, const tcp::endpoint& coordinator, const fleet::Message& message)
      : link(fleet::Link::dial(
            io, coordinator, {},
            {[this, message] { link->send(message); }, [this](const fleet::Message&) { ++responses; },
             [this](fleet::LinkEnd reason, const std::string&) { end = reason; }})) {}
  ~RawPeer() { link->abandon(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;
};

TEST_F(FleetTest, OneHolderSendsCommandsToAllMembersAndIsSucceededWhenItEnds) {
  startCoordinators();
  for (const char* name : {"a", "b", "c"}) join(name);
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
  std::string first = holder(list);
  ASSERT_TRUE(until(
      [&] { return members["a"]->hasJoined() && members["b"]->hasJoined() && members["c"]->hasJoined(); }));
  EXPECT_TRUE(members[first]->sendCommand(list, "hosts", true));
  for (const auto& [name, member] : members) {
    ASSERT_TRUE(until([&, n = name] { return observed[n].commands.size() == 1; })) << name;
    if (name != first) EXPECT_FALSE(member->sendCommand(list, "not mine", true));
  }
  // A member that joins later receives the last command. A member that leaves releases its lease, so the next
  // grant need not wait for its expiry.
  join("d");
  ASSERT_TRUE(until([&] { return observed["d"].commands.size() == 1; }));
  bool left = false;
  const lease::BootTime leaveStart = fleet::bootTime();
  members[first]->leave([&] { left = true; });
  EXPECT_FALSE(members[first]->sendCommand(list, "late", true));
  ASSERT_TRUE(until([&] { return left; }));
  members.erase(first);
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
  RecordProperty("transfer_ms", std::to_string((fleet::bootTime() - leaveStart).count()));
  const std::string second = holder(list);
  EXPECT_GT(members[second]->fencingGate().marks().at(list).epoch + 1, 1u);
  // A member that disappears is succeeded after its lease has expired, under another epoch.
  members.erase(second);
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
  EXPECT_TRUE(members[holder(list)]->sendCommand(list, "third", true));
  EXPECT_GE(observed[holder(list)].commands.back().token.epoch, 3u);
}

// Guards against a holder that ends since its command does not fit into a frame, as a list of very many
// endpoints (docs/incidents/nonsense-report.md). It is not sent, and the next one is.
TEST_F(FleetTest, ACommandThatIsTooLargeIsNotSent) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return holder(list) == "a"; }));
  EXPECT_FALSE(members["a"]->sendCommand(list, std::string(fleet::kMaxFrameBytes, 'x'), true));
  EXPECT_NE(text(dir + "a.log").find("\"command-too-large\""), std::string::npos);
  EXPECT_TRUE(members["a"]->sendCommand(list, std::string(fleet::kMaxFrameBytes - (16 << 10), 'x'), false));
  EXPECT_TRUE(members["a"]->sendCommand(list, "hosts", true));
  EXPECT_EQ(observed["a"].commands.size(), 2u);
}

// A member that stores its fencing marks restarts. The effect of the last command is lost, so that command is
// accepted once more; older ones are rejected.
TEST_F(FleetTest, RestartedMemberAcceptsOnlyTheLastCommandAgain) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return holder(list) == "a"; }));
  const std::string disk = "[member]\nwilling = false\ndisk = \"" + dir + "\"\n";
  join("b", disk);
  ASSERT_TRUE(until([&] { return members["b"]->hasJoined(); }));
  for (const char* body : {"first", "second"}) EXPECT_TRUE(members["a"]->sendCommand(list, body, true));
  ASSERT_TRUE(until([&] { return observed["b"].commands.size() == 2; }));
  members.erase("b");
  join("b", disk);
  ASSERT_TRUE(until([&] { return observed["b"].commands.size() == 1; }));
  EXPECT_EQ(observed["b"].commands[0].body, "second");
}

// The leader is killed repeatedly. After each failover the lease has a holder, epochs never decrease, and the
// holder's commands are accepted.
TEST_F(FleetTest, LeasesAndCommandsSurviveRepeatedLeaderFailures) {
  startCoordinators();
  for (const char* name : {"a", "b", "c"}) join(name);
  lease::Epoch last = 0;
  for (int round = 0; round < 4; ++round) {
    std::size_t countBefore = observed["a"].commands.size();
    ASSERT_TRUE(until([&] {
      const std::string holderName = holder(list);
      if (!holderName.empty()) members[holderName]->sendCommand(list, std::to_string(round), true);
      return observed["a"].commands.size() > countBefore;
    }));
    EXPECT_GE(observed["a"].commands.back().token.epoch, last);
    last = observed["a"].commands.back().token.epoch;
    ASSERT_TRUE(until([&] { return leader() != 0; }));
    const int number = leader();
    coordinators[number]->end(SIGKILL);
    ASSERT_TRUE(until([&] { return leader() != 0; }));
    startCoordinator(number);
  }
}

// Two of three coordinators are killed. Leases expire by their holders' own clocks and members detect that
// they are isolated; leases are granted again once a majority is back.
TEST_F(FleetTest, WithoutAMajorityLeasesExpireAndMembersAreIsolated) {
  startCoordinators();
  for (const char* name : {"a", "b"}) join(name);
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
  for (int number : {1, 2}) coordinators[number]->end(SIGKILL);
  ASSERT_TRUE(until([&] { return members["a"]->isIsolated() && members["b"]->isIsolated(); }));
  EXPECT_EQ(holder(list), "") << "a lease expires by the holder's own clock";
  startCoordinator(1);
  ASSERT_TRUE(until([&] { return !holder(list).empty() && !members["a"]->isIsolated(); }));
}

TEST_F(FleetTest, LeasesAreRebalancedToMembersThatJoin) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return observed["a"].leases.size() == 7; }));
  join("b");
  join("c");
  ASSERT_TRUE(until([&] {
    return observed["a"].leases.size() + observed["b"].leases.size() + observed["c"].leases.size() == 7 &&
           observed["b"].leases.size() >= 2 && observed["c"].leases.size() >= 2;
  })) << observed["a"].leases.size()
      << observed["b"].leases.size() << observed["c"].leases.size();
}

// A member dies ten times, the first three times when leases were released and could be granted to it. In the
// end the surviving member holds all leases.
TEST_F(FleetTest, ASurvivingMemberGetsAllLeasesOfARepeatedlyDyingOne) {
  startCoordinators();
  join("steady");
  ASSERT_TRUE(until([&] { return observed["steady"].leases.count(list) == 1; }));
  for (int i = 0; i < 10; ++i) {
    join("dies");
    ASSERT_TRUE(until([&] { return members["dies"]->hasJoined(); }));
    if (i < 3) {  // leases are released so that it can be granted one
      for (const lease::LeaseKey& key : std::set<lease::LeaseKey>(observed["steady"].leases))
        members["steady"]->release(key, false);
      ASSERT_TRUE(
          until([&] { return observed["steady"].leases.size() + observed["dies"].leases.size() >= 5; }));
    }
    members.erase("dies");
  }
  ASSERT_TRUE(until([&] { return observed["steady"].leases.size() == 7; }))
      << "the surviving member holds all leases in the end";
}

// --- Wrong disks

// A coordinator starts with an older copy of its disk, and then with an empty disk. The other coordinators
// remember its disk and reject it: it exits with the reason and does not vote, and the others continue.
TEST_F(FleetTest, RejectsACoordinatorWithALostOrOlderDisk) {
  startCoordinators();
  ASSERT_TRUE(until([&] { return leader() != 0; }));
  ASSERT_EQ(coordinators[3]->end(SIGTERM), 0);
  files::copy(folder(3), dir + "older", files::copy_options::recursive);
  startCoordinator(3);
  ASSERT_TRUE(until([&] {
    return text(folder(3) + ".log")
               .find("\"" + std::string(nameOf(fleet::Event::votingStarted)) +
                     "\",\"keeper\":\"3\",\"starts\":2") != std::string::npos;
  }));
  ASSERT_TRUE(
      until([&] { return text(folder(1) + "/identity.toml").find("starts = 2") != std::string::npos; }));
  coordinators[3]->end(SIGKILL);
  // Restore the copy from before its second start, and lower its start count by one: the next start would
  // otherwise have the same count as the second.
  files::remove_all(folder(3));
  files::copy(dir + "older", folder(3), files::copy_options::recursive);
  std::string identity = text(folder(3) + "/identity.toml");
  identity.replace(identity.find("starts = 1"), 10, "starts = 0");
  std::ofstream(folder(3) + "/identity.toml") << identity;
  startCoordinator(3);
  EXPECT_EQ(coordinators[3]->exitCode(), 3);
  EXPECT_NE(text(folder(3) + ".err").find("older copy of its disk"), std::string::npos)
      << text(folder(3) + ".err");
  files::remove_all(folder(3));
  startCoordinator(3);
  EXPECT_EQ(coordinators[3]->exitCode(), 3);
  EXPECT_NE(text(folder(3) + ".err").find("another disk than it had"), std::string::npos);
  // The others continue.
  join("a");
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
}

// Guards against a coordinator that exits because another one starts while its own disk is full and it can't
// store the other's mark. The third coordinator admits the other one; this one does after it can write again.
TEST_F(FleetTest, ACoordinatorThatCannotWriteKeepsRunningWhenAnotherStarts) {
  startCoordinators();
  ASSERT_TRUE(until([&] { return leader() != 0; }));
  const std::string next = folder(1) + "/identity.toml.next";
  files::create_directory(next);  // blocks the temporary file that is written first
  ASSERT_EQ(coordinators[2]->end(SIGTERM), 0);
  startCoordinator(2);
  const auto logHas = [&](int number, const std::string& what) {
    return text(folder(number) + ".log").find(what) != std::string::npos;
  };
  ASSERT_TRUE(until([&] { return logHas(1, "identity.toml.next: not opened"); }));
  ASSERT_TRUE(until([&] { return logHas(2, "\"starts\":2"); }));
  files::remove(next);
  ASSERT_TRUE(
      until([&] { return text(folder(1) + "/identity.toml").find("starts = 2") != std::string::npos; }));
  for (int number = 1; number <= 3; ++number)
    EXPECT_EQ(coordinators[number]->end(SIGTERM), 0) << "coordinator " << number;
}

// Guards against a start on a full disk that damages the folder or exits without naming the cause.
TEST_F(FleetTest, StartOnAFullDiskNamesTheFileAndKeepsTheFolderUnchanged) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return observed["a"].leases.size() == 7; }));
  ASSERT_EQ(coordinators[3]->end(SIGTERM), 0);
  const std::string identity = text(folder(3) + "/identity.toml");
  const std::string log = text(folder(3) + "/log/raft.db");
  rlimit limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &limit), 0);
  const rlimit whole = limit;
  std::signal(SIGXFSZ, SIG_IGN);
  limit.rlim_cur = 200;  // bytes: too few for the identity file, enough for the error message
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);  // inherited by the coordinator
  startCoordinator(3);
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &whole), 0);
  EXPECT_EQ(coordinators[3]->exitCode(), 1);
  EXPECT_EQ(text(folder(3) + "/identity.toml"), identity);
  EXPECT_EQ(text(folder(3) + "/log/raft.db"), log);
  EXPECT_NE(text(folder(3) + ".err").find(folder(3) + "/identity.toml.next: not written: File too large"),
            std::string::npos)
      << text(folder(3) + ".err");
  files::remove(folder(3) + ".log");
  startCoordinator(3);
  ASSERT_TRUE(until([&] {
    return text(folder(3) + ".log").find("\"" + std::string(nameOf(fleet::Event::votingStarted)) + "\"") !=
           std::string::npos;
  }));
  EXPECT_EQ(coordinators[3]->end(SIGTERM), 0);
}

// Each file of the log is damaged in turn, near its beginning and in its middle. The coordinator either exits
// and names the log, or recovers the state of the others and votes; it must never invent a state.
TEST_F(FleetTest, ACoordinatorWithADamagedLogNamesItOrRecovers) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return observed["a"].leases.size() == 7; }));
  ASSERT_EQ(coordinators[3]->end(SIGTERM), 0);
  int named = 0, files = 0;
  for (const auto& entry : files::directory_iterator(folder(3) + "/log")) {
    const std::string name = entry.path().filename();
    if (name.rfind("metadata", 0) == 0) continue;
    ++files;
    const std::string whole = text(entry.path());
    for (const std::size_t at : {std::size_t{9}, whole.size() / 2}) {
      std::string damaged = whole;
      for (std::size_t i = at; i < std::min(at + 8, damaged.size()); ++i)
        damaged[i] = static_cast<char>(~damaged[i]);
      std::ofstream(entry.path(), std::ios::binary | std::ios::trunc) << damaged;
      startCoordinator(3);
      ASSERT_TRUE(until([&] {
        return !text(folder(3) + ".err").empty() ||
               text(folder(3) + ".log")
                       .find("\"" + std::string(nameOf(fleet::Event::votingStarted)) + "\"") !=
                   std::string::npos;
      }));
      if (text(folder(3) + ".err").empty()) {
        coordinators[3]->end(SIGKILL);
      } else {
        EXPECT_EQ(coordinators[3]->exitCode(), 1);
        EXPECT_NE(text(folder(3) + ".err").find(folder(3) + "/log"), std::string::npos)
            << text(folder(3) + ".err");
        ++named;
      }
      files::remove(folder(3) + ".log");
      std::ofstream(entry.path(), std::ios::binary | std::ios::trunc) << whole;
    }
  }
  EXPECT_GE(files, 1);
  EXPECT_GE(named, 1);
}

// --- Invalid peers

// A member of another fleet, a second process with the same name, a process of another protocol version, and
// peers that send no valid frames. Each is rejected with the reason or disconnected, and the others are not
// affected.
TEST_F(FleetTest, RejectsInvalidPeersWithoutAffectingOthers) {
  startCoordinators();
  join("a");
  ASSERT_TRUE(until([&] { return !holder(list).empty(); }));
  join("foreign", "", "other");
  ASSERT_TRUE(until([&] {
    return members["foreign"]->lastLinkEnd().find("a member of fleet 'other'") != std::string::npos;
  }));
  // A second process with the same name is rejected while the first is connected, and admitted afterwards.
  auto first = std::move(members["a"]);
  join("a");
  ASSERT_TRUE(until(
      [&] { return members["a"]->lastLinkEnd().find("in use by another process") != std::string::npos; }));
  first.reset();
  ASSERT_TRUE(until([&] { return members["a"]->hasJoined(); }));
  // A process of another protocol version.
  tcp::socket other(io);
  other.connect({asio::ip::make_address("127.0.0.1"), ports[static_cast<std::size_t>(leader() - 1)]});
  asio::write(other, asio::buffer(*fleet::encode(fleet::JoinRequest{99, "yard", {"new", 1}, "", true})));
  std::string response;
  bool closed = false;
  asio::async_read(other, asio::dynamic_buffer(response), [&](error_code, std::size_t) { closed = true; });
  ASSERT_TRUE(until([&] { return closed; }));
  EXPECT_NE(response.find("protocol 99, this keeper speaks 1"), std::string::npos) << response;
  // Bytes that are no frame, by their length or their payload, and messages that a member must not send.
  for (const std::string& bytes :
       {std::string(1000, '\xff'), std::string("GET / HTTP/1.1\r\n\r\n"), std::string(64, '\0'),
        *fleet::encode(fleet::Heartbeat{}), *fleet::encode(fleet::JoinResponse{})}) {
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), ports[static_cast<std::size_t>(leader() - 1)]});
    asio::write(socket, asio::buffer(bytes));
    bool over = false;
    std::array<char, 256> answer;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(answer), [&](error_code ec, std::size_t) {
        if (ec) over = true;
        else read();
      });
    };
    read();
    ASSERT_TRUE(until([&] { return over; })) << "the connection must be closed";
  }
  EXPECT_TRUE(members["a"]->hasJoined());
}

// Guards against a member whose name is not UTF-8 (docs/incidents/nonsense-report.md): it was admitted, and
// the leader ended when an operator asked for its status.
TEST_F(FleetTest, ANameThatIsNotTextEndsNoCoordinator) {
  startCoordinators();
  ASSERT_TRUE(until([&] { return leader() != 0; }));
  const int number = leader();
  const RawPeer peer(io, address(number), fleet::JoinRequest{1, "yard", {"m\xff\xfe", 7}, "", true});
  ASSERT_TRUE(until([&] { return peer.end || peer.responses > 0; }));
  EXPECT_EQ(leader(), number) << "it answers and leads";
  EXPECT_NE(text(folder(number) + ".log").find("a member that is not UTF-8"), std::string::npos);
  EXPECT_EQ(coordinators[number]->end(SIGTERM), 0);
}

// Guards against a mark that the file of a coordinator's identity can't hold
// (docs/incidents/nonsense-report.md): it was stored, and the coordinator could not start again.
TEST_F(FleetTest, ACoordinatorStartsAgainAfterAMarkOutOfRange) {
  startCoordinator(1);
  const auto isRunning = [&] { return text(folder(1) + ".err").empty() && answers(1); };
  ASSERT_TRUE(until(isRunning));
  const RawPeer peer(io, address(1), fleet::VoterHandshakeRequest{1, "yard", 3, {1ULL << 63, 1}});
  ASSERT_TRUE(until([&] { return peer.end.has_value(); }));
  EXPECT_EQ(peer.responses, 0);
  EXPECT_EQ(coordinators[1]->end(SIGTERM), 0);
  startCoordinator(1);
  EXPECT_TRUE(until(isRunning)) << text(folder(1) + ".err");
}

// Guards against a request of a wrong type at the admin socket (docs/incidents/nonsense-report.md), which
// ended the coordinator. Each is answered with what was expected.
TEST_F(FleetTest, NonsenseAtTheAdminSocketEndsNoCoordinator) {
  startCoordinator(1);
  ASSERT_TRUE(until([&] { return answers(1); }));
  const std::vector<std::pair<json, std::string>> requests = {
      {{{"ask", 5}}, "ask: expected a text, found 5"},
      {{{"ask", nullptr}}, "ask: expected a text, found null"},
      {{{"ask", "hand-over"}, {"duty", 7}}, "duty: expected a text, found 7"},
      {{{"ask", "hand-over"}, {"duty", "list"}, {"shard", "0"}}, "shard: expected a number, found \"0\""},
      {{{"ask", "hand-over"}, {"duty", "list"}, {"shard", -1}},
       "shard: expected a number from 0 to 4294967295, found -1"},
      {{{"ask", "all"}}, "unknown question 'all': status, duties, hand-over"},
      {json::object(), "unknown question '': status, duties, hand-over"}};
  for (const auto& [request, expected] : requests) {
    try {
      fleet::queryAdminSocket(folder(1) + "/control.sock", request);
      ADD_FAILURE() << request << " was answered without an error";
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(error.what(), expected) << request;
    }
  }
  EXPECT_TRUE(answers(1));
  EXPECT_EQ(coordinators[1]->end(SIGTERM), 0);
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 1;
  cairnjunction::testing::coordinatorProgram = argv[1];
  return RUN_ALL_TESTS();
}
