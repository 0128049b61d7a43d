// Tests the cutoff: in-flight overload, error overload and the bounds of the in-flight limit.
#include "policy/admission.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

struct Admission : ::testing::Test {
  // Runs `updates` updates, with `perUpdate` requests and answers within the objective before each.
  void run(int updates, int perUpdate) {
    for (int i = 0; i < updates; ++i) {
      now += kUpdateInterval;
      for (int answer = 0; answer < perUpdate; ++answer) {
        pool.rates.recordRequest();
        pool.rates.recordAnswer(1);
        admission.recordArrival(now);
      }
      pool.rates.update();
      admission.update(now);
    }
  }
  void setInFlight(int perEndpoint) {
    for (const EndpointId id : pool.endpoints.listed()) pool.endpoints[id].inFlight = perEndpoint;
  }

  Pool pool{4};
  Timestamp now = kStart;
  AdmissionController admission{pool.settings,  pool.rates,   pool.classes,
                                pool.endpoints, pool.actions, kStart};
};

// At 100 answers a second and an objective of 0.4 s, 18 may be in flight (0.45 of 40).
TEST_F(Admission, CutoffIsZeroUpToHalfOfTheInFlightLimit) {
  setInFlight(2);
  run(50, 10);
  EXPECT_EQ(admission.cutoff(), 0);
  EXPECT_TRUE(admission.hasSpareCapacity());
}

TEST_F(Admission, CutoffIsTheCubeOfTheInFlightOverload) {
  run(50, 10);
  setInFlight(4);  // 16 of 18: (16/18 - 0.5) / 0.5 = 0.78
  run(30, 10);
  EXPECT_NEAR(admission.cutoff(), 100 * 0.78 * 0.78 * 0.78, 2);
  EXPECT_FALSE(admission.hasSpareCapacity());
}

TEST_F(Admission, ErrorOverloadAloneRaisesTheCutoff) {
  run(50, 10);
  for (EndpointId id = 0; id < 4; ++id) pool.record(id, Outcome::error, 100);
  admission.update(now);
  EXPECT_EQ(admission.cutoff(), 100);
}

// One endpoint hangs with many attempts in flight while the others are idle. The attempts in flight to it
// must not cause rejections.
TEST_F(Admission, AnUnresponsiveEndpointDoesNotRaiseTheCutoff) {
  run(50, 10);
  pool.endpoints[0].inFlight = 50;
  pool.endpoints[0].responsiveness.unresponsive = true;
  run(30, 10);
  EXPECT_EQ(admission.cutoff(), 0);
}

// All endpoints slow down together. A limit that followed the falling rate of answers would leave them idle.
TEST_F(Admission, BaselineInFlightStaysAllowedWhenAnswersStop) {
  setInFlight(2);
  run(100, 10);
  run(50, 0);
  EXPECT_LT(admission.cutoff(), 20);
}

TEST_F(Admission, MaxInFlightSettingCapsTheInFlightLimit) {
  pool.settings.maxInFlight = 8;
  setInFlight(2);
  run(50, 10);
  EXPECT_EQ(admission.cutoff(), 100);
}

}  // namespace
}  // namespace cairnjunction::policy::testing
