#include "sim/request_ids.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::sim {
namespace {

TEST(RequestIds, AnOpenNameIsFoundByItsNumberAndBack) {
  RequestIds ids;
  const policy::RequestId id = ids.open("first");
  EXPECT_EQ(ids.find("first"), id);
  EXPECT_EQ(ids.nameOf(id), "first");
  EXPECT_EQ(ids.find("other"), std::nullopt);
}

// A client's answer is out while an attempt still runs. Its late result must be understood.
TEST(RequestIds, ANameStaysUntilItsAttemptsAreSettled) {
  RequestIds ids;
  const policy::RequestId id = ids.open("first");
  ids.recordSend(id);
  ids.recordEnd(id);
  ids.dropIfOver(id);
  EXPECT_EQ(ids.find("first"), id);
  ids.recordResult(id);
  ids.dropIfOver(id);
  EXPECT_EQ(ids.find("first"), std::nullopt);
}

TEST(RequestIds, NumbersAreNeverUsedAgain) {
  RequestIds ids;
  const policy::RequestId first = ids.open("name");
  ids.recordEnd(first);
  ids.dropIfOver(first);
  const policy::RequestId second = ids.open("name");
  EXPECT_NE(first, second);
  ids.recordEnd(second);
  ids.dropIfOver(first);
  EXPECT_EQ(ids.find("name"), second) << "an old number drops nothing";
}

}  // namespace
}  // namespace cairnjunction::sim
