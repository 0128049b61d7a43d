#include "policy/admission.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

struct Admission : ::testing::Test {
  // Updates as if so many answers a second came in time, with so many requests a second.
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
  void holdInFlight(int each) {
    for (const EndpointId id : pool.endpoints.listed()) pool.endpoints[id].inFlight = each;
  }

  Pool pool{4};
  Timestamp now = kStart;
  AdmissionController admission{pool.settings,  pool.rates,   pool.classes,
                                pool.endpoints, pool.actions, kStart};
};

// At 100 answers a second and an objective of 0.4 s, 18 may be in flight (0.45 of 40).
TEST_F(Admission, NothingIsRejectedUpToHalfOfTheLimit) {
  holdInFlight(2);
  run(50, 10);
  EXPECT_EQ(admission.cutoff(), 0);
  EXPECT_TRUE(admission.hasSpareCapacity());
}

TEST_F(Admission, TheCutoffIsTheCubeOfTheOverload) {
  run(50, 10);
  holdInFlight(4);  // 16 of 18: (16/18 - 0.5) / 0.5 = 0.78
  run(30, 10);
  EXPECT_NEAR(admission.cutoff(), 100 * 0.78 * 0.78 * 0.78, 2);
  EXPECT_FALSE(admission.hasSpareCapacity());
}

TEST_F(Admission, ErrorsOfThePoolAloneRaiseTheCutoff) {
  run(50, 10);
  for (EndpointId id = 0; id < 4; ++id) pool.record(id, Outcome::error, 100);
  admission.update(now);
  EXPECT_EQ(admission.cutoff(), 100);
}

// One endpoint hangs with its attempts. The others are idle, and their requests must not be rejected for it.
TEST_F(Admission, AnUnresponsiveEndpointDoesNotRaiseTheCutoff) {
  run(50, 10);
  pool.endpoints[0].inFlight = 50;
  pool.endpoints[0].responsiveness.unresponsive = true;
  run(30, 10);
  EXPECT_EQ(admission.cutoff(), 0);
}

// All endpoints slow down together. A limit that followed the sinking rate of answers would idle them.
TEST_F(Admission, WhatWasInFlightInCalmStaysAllowed) {
  holdInFlight(2);
  run(100, 10);
  run(50, 0);
  EXPECT_LT(admission.cutoff(), 20);
}

TEST_F(Admission, TheGatewaysOwnBoundLimitsWhatIsInFlight) {
  pool.settings.maxInFlight = 8;
  holdInFlight(2);
  run(50, 10);
  EXPECT_EQ(admission.cutoff(), 100);
}

}  // namespace
}  // namespace cairnjunction::policy::testing
