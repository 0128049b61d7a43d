// Tests of the wire encoding of every message.
#include "fleet/frame.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

#include "fleet/message_validation.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using fleet::Message;

std::vector<Message> oneOfEach() {
  const lease::LeaseKey key{"list", 2};
  const lease::BootTime stamp(123ms);
  return {fleet::JoinRequest{1, "yard", {"n0", 7}, "z", true},
          fleet::VoterHandshakeRequest{1, "yard", 2, {9, 3}},
          fleet::VoterHandshakeResponse{2, {9, 3}, "why"},
          fleet::JoinResponse{1, 5, {{key, {4, 3, {}}}}},
          fleet::NotLeader{3},
          fleet::JoinRejected{"no"},
          fleet::Heartbeat{stamp, {{key, 4, 3}}},
          fleet::HeartbeatResponse{5, {{key, 4, 3, stamp, 3s}}, {{key, 4}}},
          fleet::ReleaseLease{key, 4, true},
          fleet::TransferLease{key, 4},
          fleet::Command{{key, 4, 3, {"n0", 7}}, true, std::string(1000, 'x')},
          fleet::Leave{}};
}

// Truncated and corrupted payloads either decode as a message or throw BadFrame, and nothing is read beyond
// their end.
TEST(Frame, RoundTripsAndRejectsTruncatedPayloads) {
  std::mt19937_64 random(1);
  for (const Message& message : oneOfEach()) {
    const std::string bytes = *fleet::encode(message);
    const std::string payload = bytes.substr(4);
    EXPECT_EQ(*fleet::encode(fleet::decode(payload)), bytes) << message.index();
    for (std::size_t size = 0; size < std::min<std::size_t>(payload.size(), 64); ++size)
      EXPECT_THROW(fleet::decode(payload.substr(0, size)), fleet::BadFrame);
    for (int i = 0; i < 3000; ++i) {
      std::string noise = payload;
      for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes)
        noise[random() % noise.size()] = static_cast<char>(random());
      try {
        fleet::decode(noise);
      } catch (const fleet::BadFrame&) {
      }
    }
  }
  EXPECT_THROW(fleet::encode(fleet::Command{{}, false, std::string(fleet::kMaxFrameBytes, 'x')}),
               fleet::BadFrame);
}

TEST(Frame, ErrorsNameWhatWasFoundAndExpected) {
  const auto errorOf = [](const std::string& payload) -> std::string {
    try {
      fleet::decode(payload);
    } catch (const fleet::BadFrame& bad) {
      return bad.what();
    }
    return "none";
  };
  EXPECT_EQ(errorOf("\x92\x04\x92\x01\x02"), "a message of kind 4 with 2 values, expected 1");
  EXPECT_EQ(errorOf("\x92\x04\x01"), "a message of kind 4 whose values are no array");
  EXPECT_EQ(errorOf("\x92\x63\x90"), "a message of unknown kind 99");
  EXPECT_EQ(errorOf("\x91\x04"), "a frame that is no pair of kind and values");
}

// Guards against values that ended the process which stored or showed them
// (docs/incidents/nonsense-report.md): names that are not UTF-8, marks that their file can't hold, clocks and
// durations that overflow.
TEST(Frame, RejectsValuesThatCannotBeStoredOrComputedWith) {
  const std::string notText = "a\xff";
  const std::string tooLong(fleet::kMaxTextBytes + 1, 'x');
  constexpr std::uint64_t kBeyondSigned = 1ULL << 63;
  const lease::BootTime beforeBoot(-1ms), beyondBoot(fleet::kMaxBootTime + 1ms);
  const lease::LeaseKey key{"list", 0};
  std::vector<Message> invalid = {
      fleet::VoterHandshakeRequest{1, "yard", 2, {kBeyondSigned, 1}},
      fleet::VoterHandshakeRequest{1, "yard", 2, {1, kBeyondSigned}},
      fleet::VoterHandshakeResponse{2, {kBeyondSigned, 1}, ""},
      fleet::JoinResponse{1, 4'000'000'000, {}},
      fleet::HeartbeatResponse{4'000'000'000, {}, {}},
      fleet::Heartbeat{beforeBoot, {}},
      fleet::Heartbeat{beyondBoot, {}},
      fleet::HeartbeatResponse{5, {{key, 4, 3, beyondBoot, 3s}}, {}},
      fleet::HeartbeatResponse{5, {{key, 4, 3, lease::BootTime(1ms), lease::Duration::max()}}, {}},
      fleet::HeartbeatResponse{5, {{key, 4, 3, lease::BootTime(1ms), -3s}}, {}}};
  for (const std::string& text : {notText, tooLong}) {
    const lease::LeaseKey named{text, 0};
    invalid.insert(
        invalid.end(),
        {fleet::JoinRequest{1, "yard", {text, 7}, "z", true},
         fleet::JoinRequest{1, "yard", {"n0", 7}, text, true},
         fleet::JoinRequest{1, text, {"n0", 7}, "z", true}, fleet::JoinResponse{1, 5, {{named, {4, 3, {}}}}},
         fleet::JoinRejected{text}, fleet::Heartbeat{lease::BootTime(1ms), {{named, 4, 3}}},
         fleet::HeartbeatResponse{5, {}, {{named, 4}}}, fleet::ReleaseLease{named, 4, true},
         fleet::TransferLease{named, 4}, fleet::Command{{named, 4, 3, {"n0", 7}}, true, "body"},
         fleet::Command{{key, 4, 3, {text, 7}}, true, "body"}});
  }
  for (const Message& message : invalid)
    EXPECT_THROW(fleet::decode(fleet::encode(message)->substr(fleet::kFrameLengthBytes)), fleet::BadFrame)
        << "kind " << message.index();
  const Message command = fleet::Command{{key, 4, 3, {"n0", 7}}, true, notText};
  EXPECT_NO_THROW(fleet::decode(fleet::encode(command)->substr(fleet::kFrameLengthBytes)))
      << "a body is its task's own";
}

}  // namespace
}  // namespace cairnjunction::testing
