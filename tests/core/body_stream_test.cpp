// Tests the buffer between the producer and the consumer of a streamed body: order, capacity, end and
// callbacks.
#include "core/body_stream.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace cairnjunction::testing {
namespace {

TEST(BodyStream, BytesAreTakenInOrder) {
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

TEST(BodyStream, FullStreamHasNoCapacityUntilItsBytesAreTaken) {
  BodyStream stream(4);
  int notifications = 0;
  stream.onRoom = [&] { ++notifications; };
  stream.put("abcdef");
  EXPECT_EQ(stream.room(), 0u);
  stream.take();
  EXPECT_EQ(notifications, 1);
  EXPECT_EQ(stream.room(), 4u);
  stream.take();
  EXPECT_EQ(notifications, 1) << "nothing was taken";
}

TEST(BodyStream, OnlyTheFirstEndCounts) {
  BodyStream stream(4);
  stream.put("ab");
  stream.finish();
  stream.fail();
  EXPECT_EQ(stream.state(), BodyStream::State::whole);
  EXPECT_EQ(stream.take(), "ab") << "bytes put before the end are still available";
}

// A client disconnects in the middle of an answer: the producer is notified once, and its later calls have no
// effect.
TEST(BodyStream, ConsumerIsNotNotifiedAfterItHasLeft) {
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

TEST(BodyStream, CallbackMayReplaceItself) {
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
