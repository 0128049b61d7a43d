// The decision module with settings that change while it works.
#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(Configure, AnOpenRequestKeepsItsClassAndNewOnesHaveTheNewOne) {
  Settings settings = makeSettings();
  Driver d(settings, 3);
  settings = makeSettings();
  const std::uint32_t read = 0;
  ASSERT_EQ(settings.classes[read].idempotency, Idempotency::safe);
  const RequestId old = d.request(read);
  const Sent first = d.lastSent();
  ASSERT_EQ(first.request, old);
  // The same class, stricter, at an index of its own; the old one stays for who holds it.
  ClassSettings strict = settings.classes[read];
  strict.idempotency = Idempotency::unsafe;
  const auto index = static_cast<std::uint32_t>(settings.classes.size());
  settings.classes.push_back(strict);
  d.balancer.configure(d.now, settings);
  d.collect();
  d.balancer.onResult(d.now, {old, first.attempt, first.host, Outcome::reset, milliseconds(1), false});
  d.collect();
  EXPECT_EQ(d.lastSent().request, old) << "it may be tried again, as it was taken";
  EXPECT_EQ(d.lastSent().attempt, 1u);
  const RequestId next = d.request(index);
  const Sent sent = d.lastSent();
  ASSERT_EQ(sent.request, next);
  d.balancer.onResult(d.now, {next, sent.attempt, sent.host, Outcome::reset, milliseconds(1), false});
  d.collect();
  EXPECT_EQ(d.lastSent().attempt, 0u) << "not told to be safe any more";
  EXPECT_TRUE(d.failed(next)) << "it may have run, so a refusal would promise too much";
}

TEST(Configure, FewerAttemptsHoldForTheNextDecision) {
  Settings settings = makeSettings();
  Driver d(settings, 3);
  const RequestId id = d.request(0);
  const Sent first = d.lastSent();
  settings.maxAttempts = 1;
  d.balancer.configure(d.now, settings);
  d.collect();
  d.balancer.onResult(d.now, {id, first.attempt, first.host, Outcome::overloaded, milliseconds(1), false});
  d.collect();
  EXPECT_EQ(d.lastSent().attempt, 0u);
  EXPECT_TRUE(d.refused(id));
}

TEST(Configure, SettingsThatMakeNoSenseChangeNothing) {
  Settings settings = makeSettings();
  Driver d(settings, 2);
  Settings bad = settings;
  bad.maxAttempts = 0;
  EXPECT_THROW(d.balancer.configure(d.now, bad), std::invalid_argument);
  d.request(0);
  EXPECT_EQ(d.lastSent().attempt, 0u);
}

TEST(Configure, WhatWasOfNoClassStaysSo) {
  Settings settings = makeSettings();
  Driver d(settings, 3);
  const RequestId id = d.request(static_cast<std::uint32_t>(settings.classes.size()) + 7);
  const Sent first = d.lastSent();
  ASSERT_EQ(first.request, id);
  settings.classes.push_back(settings.classes[0]);
  settings.classes.back().name = "more";
  d.balancer.configure(d.now, settings);
  d.collect();
  d.balancer.onResult(d.now, {id, first.attempt, first.host, Outcome::reset, milliseconds(1), false});
  d.collect();
  EXPECT_NE(d.lastSent().attempt, 1u) << "the new class at its index is safe, and it is not";
}

TEST(InflightMost, TheCutBeginsBeforeTheGatewayCanHoldNoMore) {
  // Hosts answer nothing yet, and each of these is held: with no bound of its own there is room for all.
  double cuts[2];
  for (const std::uint32_t most : {0u, 20u}) {
    Settings settings = makeSettings();
    settings.maxInFlight = most;
    Driver d(settings, 10);
    for (int i = 0; i < 18; ++i) d.request(0);
    d.advance(milliseconds(150));
    cuts[most > 0] = d.balancer.cutoff();
  }
  EXPECT_EQ(cuts[0], 0);
  EXPECT_GT(cuts[1], 0);
}

}  // namespace
}  // namespace cairnjunction::policy::testing
