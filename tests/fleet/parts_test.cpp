// The fleet file, frames, links between two sides, and the rules for lists, each without a keeper.
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <random>

#include "fleet/boot_clock.hpp"
#include "fleet/endpoint_list_filter.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using fleet::LinkEnd;
using fleet::Message;

lease::BootTime at(lease::Duration sinceBoot) { return lease::BootTime(sinceBoot); }

std::string file(const std::string& more, int keepers = 3) {
  std::string text = "fleet = \"yard\"\n" + more + "\n";
  for (int i = 1; i <= keepers; ++i)
    text += "[[keeper]]\nnumber = " + std::to_string(i) +
            "\naddress = \"127.0.0.1:" + std::to_string(7100 + i) +
            "\"\nraft = \"127.0.0.1:" + std::to_string(7200 + i) + "\"\n";
  return text;
}

TEST(FleetFile, MistakesAreNamedWithTheirLine) {
  EXPECT_EQ(fleet::parseSettings(file("[member]\nzone = \"brasov\""), "f").zone, "brasov");
  const std::pair<std::string, const char*> mistakes[] = {
      {file("", 2), "3 or 5 keepers"},
      {file("beat = 3"), "f:2: unknown key 'beat'"},
      {file("beat_ms = \"1\""), "f:2: 'beat_ms' is no number from 50"},
      {file("beat_ms = 2000"), "'alone_after_ms' is shorter than three beats"},
      {file("fleet = 3"), "f:2"},
      {"fleet = \"\"", "'fleet' needs 1 to 128 bytes"},
      {file("") + "[[keeper]]\nnumber = 1\naddress = \"127.0.0.1:1\"\nraft = \"127.0.0.1:2\"\n",
       "stands there twice"},
      {file("") + "[[keeper]]\nnumber = 9\naddress = \"nowhere\"\nraft = \"127.0.0.1:2\"\n",
       "'nowhere' is no address:port"},
      {file("") + "[[keeper]]\nnumber = 9\naddress = \"127.0.0.1:1\"\nraft = \"::1:2\"\n", "no IPv4"},
      {file("[[duty]]\nname = \"list\"\nlease_ms = 500"), "shorter than three beats"},
      {file("[[duty]]\nname = \"list\"\nheirs = \"nobody\""), "names 'nobody', which is none"},
      {file("[[duty]]\nname = \"a\"\n[[duty]]\nname = \"a\""), "'a' stands there twice"},
      {file("[member]\nwiling = true"), "unknown key 'wiling'"},
      {file("member = 3"), "'member' is no table"}};
  for (const auto& [text, said] : mistakes) try {
      fleet::parseSettings(text, "f");
      ADD_FAILURE() << text;
    } catch (const fleet::BadSettings& bad) {
      EXPECT_NE(std::string(bad.what()).find(said), std::string::npos) << bad.what();
    }
}

std::vector<Message> oneOfEach() {
  const lease::LeaseKey key{"list", 2};
  return {fleet::JoinRequest{1, "yard", {"n0", 7}, "z", true},
          fleet::VoterHandshakeRequest{1, "yard", 2, {9, 3}},
          fleet::VoterHandshakeResponse{2, {9, 3}, "why"},
          fleet::JoinResponse{1, 5, {{key, {4, 3, {}}}}},
          fleet::NotLeader{3},
          fleet::JoinRejected{"no"},
          fleet::Heartbeat{at(123ms), {{key, 4, 3}}},
          fleet::HeartbeatResponse{5, {{key, 4, 3, at(123ms), 3s}}, {{key, 4}}},
          fleet::ReleaseLease{key, 4, true},
          fleet::TransferLease{key, 4},
          fleet::Command{{key, 4, 3, {"n0", 7}}, true, std::string(1000, 'x')},
          fleet::Leave{}};
}

TEST(Frame, IsReadAsItWasWrittenAndNothingElseIs) {
  std::mt19937_64 random(1);
  for (const Message& message : oneOfEach()) {
    const std::string bytes = *fleet::encode(message), payload = bytes.substr(4);
    EXPECT_EQ(*fleet::encode(fleet::decode(payload)), bytes) << message.index();
    for (std::size_t n = 0; n < std::min<std::size_t>(payload.size(), 64); ++n)
      EXPECT_THROW(fleet::decode(payload.substr(0, n)), fleet::BadFrame);
    for (int i = 0; i < 3000; ++i) {
      std::string noise = payload;
      for (std::uint64_t k = 1 + random() % 3; k > 0; --k)
        noise[random() % noise.size()] = static_cast<char>(random());
      try {
        fleet::decode(noise);
      } catch (const fleet::BadFrame&) {
      }
    }
  }
  EXPECT_THROW(fleet::encode(fleet::Command{{}, false, std::string(fleet::kFrameMost, 'x')}),
               fleet::BadFrame);
}

class LinkTest : public LoopTest {
 protected:
  tcp::acceptor acceptor{io, loopback()};
  std::shared_ptr<fleet::Link> near, far;
  std::optional<LinkEnd> nearEnd, farEnd;
  int heard = 0;
  fleet::Link::Limits limits{1000ms, 300ms, 300ms, 1 << 20};

  fleet::Link::Callbacks callbacks(std::optional<LinkEnd>& end) {
    return {nullptr, [this](const Message&) { ++heard; }, [&end](LinkEnd e, const std::string&) { end = e; }};
  }
  void connect() {
    acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      ASSERT_FALSE(ec);
      far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
    });
    near = fleet::Link::dial(io, acceptor.local_endpoint(), limits, callbacks(nearEnd));
    ASSERT_TRUE(until([&] { return near->isUp() && far; }));
  }
  void TearDown() override {
    for (const auto& link : {near, far})
      if (link) link->abandon();
    io.restart();
    io.poll();
  }
};

TEST_F(LinkTest, EachEndHasItsName) {
  near = fleet::Link::dial(io, {asio::ip::make_address("127.0.0.1"), 1}, limits, callbacks(nearEnd));
  ASSERT_TRUE(until([&] { return nearEnd.has_value(); }));
  EXPECT_EQ(*nearEnd, LinkEnd::connectionRefused);
  nearEnd.reset();
  connect();
  ASSERT_TRUE(until([&] { return nearEnd && farEnd; })) << "nobody says a word";
  EXPECT_TRUE(*nearEnd == LinkEnd::receiveTimeout || *farEnd == LinkEnd::receiveTimeout);
  nearEnd.reset(), farEnd.reset();
  connect();
  near->send(fleet::Leave{});
  near->finish(LinkEnd::stopped);
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::reset);
  EXPECT_EQ(heard, 1) << "what was sent before the end arrives";
}

// A raw peer: sends what a link never would, cut at every byte of a frame.
TEST_F(LinkTest, BytesThatAreCutOffOrWrongEndTheLinkByName) {
  const std::string frame = *fleet::encode(fleet::Heartbeat{at(1ms), {{{"list", 0}, 4, 3}}});
  const auto play = [&](const std::string& bytes, bool closes) {
    farEnd.reset();
    tcp::socket raw(io);
    acceptor.async_accept([this](error_code, tcp::socket socket) {
      far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
    });
    raw.connect(acceptor.local_endpoint());
    asio::write(raw, asio::buffer(bytes));
    if (closes) raw.close();
    EXPECT_TRUE(until([&] { return farEnd.has_value(); }));
    return *farEnd;
  };
  for (std::size_t n = 0; n < frame.size(); ++n)
    EXPECT_EQ(play(frame.substr(0, n), true), LinkEnd::reset) << n;
  EXPECT_EQ(heard, 0);
  EXPECT_EQ(play(frame.substr(0, frame.size() - 1), false), LinkEnd::receiveTimeout)
      << "half a frame says nothing";
  EXPECT_EQ(play("\xff\xff\xff\xff", false), LinkEnd::badFrame) << "too long";
  EXPECT_EQ(play(std::string("\0\0\0\1x", 5), false), LinkEnd::badFrame);
  EXPECT_EQ(play(std::string("\0\0\0\0", 4), false), LinkEnd::badFrame);
}

TEST_F(LinkTest, APeerThatTakesNothingIsSlow) {
  tcp::socket raw(io);
  acceptor.async_accept([this](error_code, tcp::socket socket) {
    limits.receiveTimeout = 60s;
    far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
  });
  raw.connect(acceptor.local_endpoint());
  ASSERT_TRUE(until([&] { return far != nullptr; }));
  for (int i = 0; i < 100 && !farEnd; ++i)
    far->send(fleet::Command{{{"list", 0}, 1, 1, {"n0", 1}}, false, std::string(1 << 18, 'x')});
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::sendTimeout);
}

// --- Rules for lists --------------------------------------------------------------------------------------

TEST(ListRules, NoListUndoesWhatANewerOneTold) {
  fleet::EndpointListFilter gate;
  EXPECT_TRUE(gate.accept({"a", 0, 5}));
  EXPECT_FALSE(gate.accept({"a", 0, 4}));
  EXPECT_FALSE(gate.accept({"b", 0, 4})) << "nor by another way to discovery";
  EXPECT_TRUE(gate.accept({"b", 0, 5}));
  gate.onOwnList("a", 7);
  EXPECT_FALSE(gate.accept({"b", 0, 6}));
  gate.onOwnList("a", 2);  // discovery counts anew, by its own word
  EXPECT_EQ(gate.held()->epoch, 1u);
  EXPECT_FALSE(gate.accept({"b", 0, 900})) << "of the count before";
  EXPECT_TRUE(gate.accept({"b", 1, 3}));
  gate.onSourceChange("a", "c");
  EXPECT_FALSE(gate.accept({"a", 1, 99})) << "of the discovery that was left";
  gate.onOwnList("c", 50);
  EXPECT_EQ(gate.held()->epoch, 2u) << "another count, though its number is higher";
  EXPECT_FALSE(gate.accept({"b", 1, 60}));
  gate.onSourceChange("c", "a");
  EXPECT_TRUE(gate.accept({"a", 3, 1}));
  for (int i = 0; i < 100; ++i) gate.onSourceChange(std::to_string(i), std::to_string(i + 1));
  EXPECT_TRUE(gate.accept({"3", 9, 1})) << "only the last few are remembered";
}

TEST(ListRules, OnlyTheOwnerAsksAndWhoeverIsAloneAfterItsTurn) {
  fleet::FallbackPolling asking;
  EXPECT_FALSE(asking.shouldPoll(at(1s)));
  asking.onLeaseChange(true);
  EXPECT_TRUE(asking.shouldPoll(at(1s)));
  asking.onLeaseChange(false);
  // Three hundred that are left alone: as many calls a second as discovery takes.
  std::map<std::int64_t, int> second;
  for (int i = 0; i < 300; ++i) {
    fleet::FallbackPolling one;
    one.onIsolationChange(true, at(0s), 300, true, i / 300.0);
    ++second[one.pollsAt()->time_since_epoch().count() / 1000];
    EXPECT_TRUE(one.shouldPoll(*one.pollsAt()));
  }
  for (const auto& [when, calls] : second) EXPECT_LE(calls, 2) << when;
  asking.onIsolationChange(true, at(1s), 300, false, 1);
  EXPECT_EQ(*asking.pollsAt(), at(31s)) << "with no list at all it can't wait as long";
  asking.onIsolationChange(false, at(2s), 300, false, 1);
  EXPECT_FALSE(asking.shouldPoll(at(100s)));
  asking.onListRejected(at(2s), 10, 0.5);
  EXPECT_TRUE(asking.shouldPoll(at(7s)));
  asking.onListAccepted(false);
  EXPECT_FALSE(asking.shouldPoll(at(7s)));
}

}  // namespace
}  // namespace cairnjunction::testing
