// Tests the table of open calls: lookup, removal of finished calls, external ids in use and counts.
#include "core/call_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;

struct IgnoringSink final : ReplySink {
  void onReply(std::uint64_t, Reply) override {}
};

class CallTableTest : public ::testing::Test {
 protected:
  CallTable table;
  IgnoringSink sink;

  CallId add(const std::string& name, policy::Duration deadline = 1s, std::uint32_t classIndex = 0) {
    Call call;
    call.externalId = name;
    call.attributes.classIndex = classIndex;
    const CallId id = table.nextId();
    table.add(id, std::move(call), sink, 7, Timestamp{} + deadline);
    return id;
  }
};

TEST_F(CallTableTest, AddedCallIsFoundById) {
  const CallId id = add("a", 3s);
  const ActiveCall* call = table.find(id);
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->call.externalId, "a");
  EXPECT_EQ(call->sink, &sink);
  EXPECT_EQ(call->frontendToken, 7u);
  EXPECT_EQ(call->deadline, Timestamp{} + 3s);
  EXPECT_EQ(table.find(id + 1), nullptr);
  EXPECT_EQ(table.size(), 1u);
  EXPECT_EQ(table.awaitingReply(), 1u);
}

TEST_F(CallTableTest, IdsAreNeverReused) {
  const CallId first = add("a");
  table.find(first)->settled = true;
  table.markPossiblyFinished(first);
  table.removeFinished(Timestamp{});
  EXPECT_NE(add("a"), first);
}

// A call and its external id stay in the table until the call has a reply, no attempt in flight and no answer
// that is being streamed.
TEST_F(CallTableTest, CallIsRemovedOnlyWhenSettledWithoutAttemptAndStreaming) {
  const CallId id = add("a");
  ActiveCall& call = *table.find(id);
  const auto remains = [&] {
    table.markPossiblyFinished(id);
    table.removeFinished(Timestamp{});
    return table.find(id) != nullptr && table.isExternalIdInUse(Timestamp{}, "a");
  };
  EXPECT_TRUE(remains()) << "the call has no reply";
  call.settled = true;
  call.attemptsInFlight = 1;
  EXPECT_TRUE(remains()) << "its attempt is in flight";
  call.attemptsInFlight = 0;
  call.responsePhase = ActiveCall::ResponsePhase::streamed;
  EXPECT_TRUE(remains()) << "its answer is being streamed";
  call.responsePhase = ActiveCall::ResponsePhase::none;
  EXPECT_FALSE(remains());
  EXPECT_FALSE(table.isExternalIdInUse(Timestamp{}, "a"));
  EXPECT_EQ(table.size(), 0u);
}

TEST_F(CallTableTest, FinishedCallIsRemovedOnlyIfMarked) {
  const CallId id = add("a");
  table.find(id)->settled = true;
  table.removeFinished(Timestamp{});
  EXPECT_NE(table.find(id), nullptr);
  table.markPossiblyFinished(id);
  table.markPossiblyFinished(id);
  table.removeFinished(Timestamp{});
  EXPECT_EQ(table.find(id), nullptr);
}

TEST_F(CallTableTest, CallsAwaitingReplyAreCountedSeparately) {
  add("a");
  add("b");
  table.stopAwaitingReply();
  EXPECT_EQ(table.awaitingReply(), 1u);
  EXPECT_EQ(table.size(), 2u);
}

TEST_F(CallTableTest, UnsettledCallsAreSelectedWhateverTheirDeadline) {
  const CallId at = add("at", 2s);
  const CallId later = add("later", 2001ms);
  const CallId settled = add("settled", 9s);
  table.find(settled)->settled = true;
  std::vector<CallId> ids = table.unsettled();
  std::sort(ids.begin(), ids.end());
  EXPECT_EQ(ids, (std::vector<CallId>{at, later}));
}

TEST_F(CallTableTest, ClassesOfOpenCallsAreInUse) {
  add("a", 1s, 1);
  add("b", 1s, 5);
  EXPECT_EQ(table.classesInUse(3), (std::vector<bool>{false, true, false}));
}

}  // namespace
}  // namespace cairnjunction::testing
