// Guarded callbacks before and after the destruction of their guard.
#include "common/callback_guard.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace cairnjunction::testing {
namespace {

TEST(CallbackGuard, CallsAreForwardedWhileTheGuardExists) {
  int sum = 0;
  const CallbackGuard guard;
  const std::function<void(int, int)> add = guard.guard([&](int one, int two) { sum += one + two; });
  add(1, 2);
  add(3, 4);
  EXPECT_EQ(sum, 10);
}

// An event loop runs a callback after the object that registered it was destroyed.
TEST(CallbackGuard, CallsDoNothingAfterTheGuardIsDestroyed) {
  int calls = 0;
  std::optional<CallbackGuard> guard(std::in_place);
  const std::function<void()> call = guard->guard([&] { ++calls; });
  guard.reset();
  call();
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace cairnjunction::testing
