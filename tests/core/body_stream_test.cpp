#include "core/body_stream.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace cairnjunction::testing {
namespace {

TEST(BodyStream, BytesAreTakenInTheirOrder) {
  BodyStream stream(8);
  int changes = 0;
  stream.onChange = [&] { ++changes; };
  stream.put("ab");
  stream.put("");
  stream.put("cd");
  EXPECT_EQ(changes, 2);
  EXPECT_EQ(stream.take(), "abcd");
  EXPECT_EQ(stream.take(), "");
}

TEST(BodyStream, AFullStreamHasNoRoomUntilItsBytesAreTaken) {
  BodyStream stream(4);
  int told = 0;
  stream.onRoom = [&] { ++told; };
  stream.put("abcdef");
  EXPECT_EQ(stream.room(), 0u);
  stream.take();
  EXPECT_EQ(told, 1);
  EXPECT_EQ(stream.room(), 4u);
  stream.take();
  EXPECT_EQ(told, 1) << "nothing was taken";
}

TEST(BodyStream, ItsFirstEndCounts) {
  BodyStream stream(4);
  stream.put("ab");
  stream.finish();
  stream.fail();
  EXPECT_EQ(stream.state(), BodyStream::State::whole);
  EXPECT_EQ(stream.take(), "ab") << "what came before the end is still there";
}

// A client disconnects in the middle of an answer: the producer hears of it once and is not heard any more.
TEST(BodyStream, AConsumerThatLeavesIsNotToldOfMore) {
  BodyStream stream(4);
  int left = 0;
  int changes = 0;
  stream.onLeft = [&] { ++left; };
  stream.onChange = [&] { ++changes; };
  stream.leave();
  stream.leave();
  EXPECT_EQ(left, 1);
  stream.put("ab");
  stream.fail();
  EXPECT_EQ(changes, 0);
  EXPECT_EQ(stream.take(), "");
}

TEST(BodyStream, WhatIsCalledMayReplaceTheFunction) {
  BodyStream stream(4);
  const auto alive = std::make_shared<int>(0);
  stream.onChange = [&stream, alive] {
    stream.onChange = nullptr;
    ++*alive;
  };
  stream.put("a");
  EXPECT_EQ(*alive, 1);
  EXPECT_EQ(alive.use_count(), 1);
}

}  // namespace
}  // namespace cairnjunction::testing
