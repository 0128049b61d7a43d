// Keepers as processes, killed, stopped, cut off and given wrong disks; members of the test's own. The
// keeper's path is the first argument.
#include <fcntl.h>

#include <boost/asio/read.hpp>

#include "fleet/boot_clock.hpp"
#include "rig.hpp"

namespace cairnjunction::testing {
namespace {

namespace files = std::filesystem;

TEST_F(FleetTest, OneOwnerWhoseOrdersReachAllAndWhoIsFollowedWhenItEnds) {
  startKeepers();
  for (const char* name : {"a", "b", "c"}) join(name);
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
  std::string first = owner(list);
  ASSERT_TRUE(until(
      [&] { return members["a"]->hasJoined() && members["b"]->hasJoined() && members["c"]->hasJoined(); }));
  EXPECT_TRUE(members[first]->sendCommand(list, "hosts", true));
  for (const auto& [name, member] : members) {
    ASSERT_TRUE(until([&, n = name] { return seen[n].orders.size() == 1; })) << name;
    if (name != first) EXPECT_FALSE(member->sendCommand(list, "not mine", true));
  }
  // One that joins later is told the last order; one that stops hands over without waiting for a lease.
  join("d");
  ASSERT_TRUE(until([&] { return seen["d"].orders.size() == 1; }));
  bool left = false;
  const lease::BootTime asked = fleet::bootTime();
  members[first]->leave([&] { left = true; });
  EXPECT_FALSE(members[first]->sendCommand(list, "late", true));
  ASSERT_TRUE(until([&] { return left; }));
  members.erase(first);
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
  RecordProperty("hand_over_ms", std::to_string((fleet::bootTime() - asked).count()));
  const std::string second = owner(list);
  EXPECT_GT(members[second]->fencingGate().marks().at(list).epoch + 1, 1u);
  // One that vanishes is followed when its lease has ended, under another epoch.
  members.erase(second);
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
  EXPECT_TRUE(members[owner(list)]->sendCommand(list, "third", true));
  EXPECT_GE(seen[owner(list)].orders.back().token.epoch, 3u);
}

// A member with a disk that starts again holds nothing of the last order's effect: it is told that one once
// more.
TEST_F(FleetTest, AfterARestartTheLastOrderIsTakenOnceMoreAndNoOlderOne) {
  startKeepers();
  join("a");
  ASSERT_TRUE(until([&] { return owner(list) == "a"; }));
  const std::string disk = "[member]\nwilling = false\ndisk = \"" + dir + "\"\n";
  join("b", disk);
  ASSERT_TRUE(until([&] { return members["b"]->hasJoined(); }));
  for (const char* body : {"first", "second"}) EXPECT_TRUE(members["a"]->sendCommand(list, body, true));
  ASSERT_TRUE(until([&] { return seen["b"].orders.size() == 2; }));
  members.erase("b");
  join("b", disk);
  ASSERT_TRUE(until([&] { return seen["b"].orders.size() == 1; }));
  EXPECT_EQ(seen["b"].orders[0].body, "second");
}

// The leader killed, again and again: whoever owns a duty keeps it or is followed; epochs only grow, and
// orders of each owner are taken by all.
TEST_F(FleetTest, LeadersKilledInTurnLoseNothing) {
  startKeepers();
  for (const char* name : {"a", "b", "c"}) join(name);
  lease::Epoch last = 0;
  for (int round = 0; round < 4; ++round) {
    std::size_t had = seen["a"].orders.size();
    ASSERT_TRUE(until([&] {
      const std::string who = owner(list);
      if (!who.empty()) members[who]->sendCommand(list, std::to_string(round), true);
      return seen["a"].orders.size() > had;
    }));
    EXPECT_GE(seen["a"].orders.back().token.epoch, last);
    last = seen["a"].orders.back().token.epoch;
    ASSERT_TRUE(until([&] { return leader() != 0; }));
    const int number = leader();
    keepers[number]->end(SIGKILL);
    ASSERT_TRUE(until([&] { return leader() != 0; }));
    startKeeper(number);
  }
}

TEST_F(FleetTest, WithoutAMajorityNothingIsGrantedAndMembersKnowThatTheyAreAlone) {
  startKeepers();
  for (const char* name : {"a", "b"}) join(name);
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
  for (int number : {1, 2}) keepers[number]->end(SIGKILL);
  ASSERT_TRUE(until([&] { return members["a"]->isIsolated() && members["b"]->isIsolated(); }));
  EXPECT_EQ(owner(list), "") << "a lease ends by the owner's own clock";
  startKeeper(1);
  ASSERT_TRUE(until([&] { return !owner(list).empty() && !members["a"]->isIsolated(); }));
}

TEST_F(FleetTest, DutiesAreSpreadOverWhoeverJoins) {
  startKeepers();
  join("a");
  ASSERT_TRUE(until([&] { return seen["a"].owns.size() == 7; }));
  join("b");
  join("c");
  ASSERT_TRUE(until([&] {
    return seen["a"].owns.size() + seen["b"].owns.size() + seen["c"].owns.size() == 7 &&
           seen["b"].owns.size() >= 2 && seen["c"].owns.size() >= 2;
  })) << seen["a"].owns.size()
      << seen["b"].owns.size() << seen["c"].owns.size();
}

TEST_F(FleetTest, AMemberThatTakesADutyAndDiesTenTimesIsPassedOver) {
  startKeepers();
  join("steady");
  ASSERT_TRUE(until([&] { return seen["steady"].owns.count(list) == 1; }));
  for (int i = 0; i < 10; ++i) {
    join("dies");
    ASSERT_TRUE(until([&] { return members["dies"]->hasJoined(); }));
    if (i < 3) {  // it is given one when others give it back
      for (const lease::LeaseKey& key : std::set<lease::LeaseKey>(seen["steady"].owns))
        members["steady"]->release(key, false);
      ASSERT_TRUE(until([&] { return seen["steady"].owns.size() + seen["dies"].owns.size() >= 5; }));
    }
    members.erase("dies");
  }
  ASSERT_TRUE(until([&] { return seen["steady"].owns.size() == 7; })) << "all of it, in the end";
}

// --- Wrong disks
// --------------------------------------------------------------------------------------------

TEST_F(FleetTest, AKeeperThatLostItsDiskOrHasAnOlderOneIsTurnedAwayByName) {
  startKeepers();
  ASSERT_TRUE(until([&] { return leader() != 0; }));
  ASSERT_EQ(keepers[3]->end(SIGTERM), 0);
  files::copy(folder(3), dir + "older", files::copy_options::recursive);
  startKeeper(3);
  ASSERT_TRUE(until([&] {
    return text(folder(3) + ".log").find("\"votes\",\"keeper\":\"3\",\"starts\":2") != std::string::npos;
  }));
  ASSERT_TRUE(
      until([&] { return text(folder(1) + "/identity.toml").find("starts = 2") != std::string::npos; }));
  keepers[3]->end(SIGKILL);
  // The copy from before its second start: it would be start 2 once more, or 1 with one start taken off.
  files::remove_all(folder(3));
  files::copy(dir + "older", folder(3), files::copy_options::recursive);
  std::string identity = text(folder(3) + "/identity.toml");
  identity.replace(identity.find("starts = 1"), 10, "starts = 0");
  std::ofstream(folder(3) + "/identity.toml") << identity;
  startKeeper(3);
  EXPECT_EQ(keepers[3]->exitCode(), 3);
  EXPECT_NE(text(folder(3) + ".err").find("older copy of its disk"), std::string::npos)
      << text(folder(3) + ".err");
  files::remove_all(folder(3));
  startKeeper(3);
  EXPECT_EQ(keepers[3]->exitCode(), 3);
  EXPECT_NE(text(folder(3) + ".err").find("another disk than it had"), std::string::npos);
  // The others go on.
  join("a");
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
}

// Every file of the log, damaged in turn at its beginning and in its middle: the keeper names it or comes to
// the state that the others have; it never makes one up.
TEST_F(FleetTest, ADamagedLogIsNamedAndNotVotedWith) {
  startKeepers();
  join("a");
  ASSERT_TRUE(until([&] { return seen["a"].owns.size() == 7; }));
  ASSERT_EQ(keepers[3]->end(SIGTERM), 0);
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
      startKeeper(3);
      ASSERT_TRUE(until([&] {
        return !text(folder(3) + ".err").empty() ||
               text(folder(3) + ".log").find("\"votes\"") != std::string::npos;
      }));
      if (text(folder(3) + ".err").empty()) {
        keepers[3]->end(SIGKILL);
      } else {
        EXPECT_EQ(keepers[3]->exitCode(), 1);
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

// --- Bad peers
// ------------------------------------------------------------------------------------------------

TEST_F(FleetTest, WhoDoesNotBelongHereIsToldWhyAndTheOthersGoOn) {
  startKeepers();
  join("a");
  ASSERT_TRUE(until([&] { return !owner(list).empty(); }));
  join("foreign", "", "other");
  ASSERT_TRUE(until([&] {
    return members["foreign"]->lastLinkEnd().find("a member of fleet 'other'") != std::string::npos;
  }));
  // A second process of one name, while the first is there; and once that has gone.
  auto first = std::move(members["a"]);
  join("a");
  ASSERT_TRUE(until(
      [&] { return members["a"]->lastLinkEnd().find("in use by another process") != std::string::npos; }));
  first.reset();
  ASSERT_TRUE(until([&] { return members["a"]->hasJoined(); }));
  // A process of another version, in its own words.
  tcp::socket other(io);
  other.connect({asio::ip::make_address("127.0.0.1"), ports[static_cast<std::size_t>(leader() - 1)]});
  asio::write(other, asio::buffer(*fleet::encode(fleet::JoinRequest{99, "yard", {"new", 1}, "", true})));
  std::string told;
  bool closed = false;
  asio::async_read(other, asio::dynamic_buffer(told), [&](error_code, std::size_t) { closed = true; });
  ASSERT_TRUE(until([&] { return closed; }));
  EXPECT_NE(told.find("protocol 99, this keeper speaks 1"), std::string::npos) << told;
  // Bytes that are no frame: of every length a header may claim, and a word of another kind.
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
    ASSERT_TRUE(until([&] { return over; })) << "closed, by its name or by silence";
  }
  EXPECT_TRUE(members["a"]->hasJoined());
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 1;
  cairnjunction::testing::keeperProgram = argv[1];
  return RUN_ALL_TESTS();
}
