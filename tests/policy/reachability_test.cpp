// The decision module with what is told of the way to hosts: absence is not overload, and nobody is sent
// where nothing can be had.
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// Ends an attempt with what a pool knows beside.
void settle(Driver& d, const Sent& s, Outcome outcome, FailureReason fault,
            ConnectionUse carrier = ConnectionUse::none, Duration taken = milliseconds(1)) {
  d.balancer.onResult(d.now, {s.request, s.attempt, s.host, outcome, taken, false, fault, carrier, false});
  std::erase_if(d.out, [&](const Sent& o) { return o.request == s.request && o.attempt == s.attempt; });
  d.collect();
}

void close(Driver& d, EndpointId host) {
  d.balancer.onReachability(d.now, host, Reachability::unreachable);
  d.collect();
}

TEST(Reach, AClosedHostIsSentNothingNotEvenAsTheLastResort) {
  Driver d(makeSettings(), 4);
  for (int h = 0; h < 3; ++h) close(d, d.host(h));
  d.warmUp(0, 60);
  for (int h = 0; h < 3; ++h) EXPECT_EQ(d.sentTo(d.host(h)), 0u);
  EXPECT_EQ(d.sentTo(d.host(3)), 60u);
  close(d, d.host(3));
  const RequestId id = d.request(1);
  EXPECT_TRUE(d.refused(id)) << "given up at once, and harmless to repeat";
  d.balancer.onReachability(d.now, d.host(0), Reachability::reachable);
  d.collect();
  d.request(0);
  EXPECT_EQ(d.lastSent().host, d.host(0));
}

TEST(Reach, AProbeIsOneAttemptAndNeverASecondTry) {
  Driver d(makeSettings(), 2);
  close(d, d.host(0));
  d.balancer.onReachability(d.now, d.host(0), Reachability::probeOnly);
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) {
    d.request(0);
    if (d.lastSent().host == d.host(0)) ++sent;
  }
  EXPECT_EQ(sent, 1u);
  // Of a request that has been tried elsewhere it is none.
  Driver e(makeSettings(), 2);
  close(e, e.host(0));
  e.request(0);
  e.balancer.onReachability(e.now, e.host(0), Reachability::probeOnly);
  settle(e, Sent(e.out.front()), Outcome::connectFailed, FailureReason::brokenWhileWriting);
  EXPECT_EQ(e.lastSent().host, e.host(1));
}

TEST(Reach, RefusedConnectionsDoNotLiftTheCut) {
  double cuts[2];
  for (const bool told : {false, true}) {
    Driver d(makeSettings(), 6);
    d.warmUp(0, 60);
    for (int i = 0; i < 60; ++i) {
      d.request(1);
      d.advance(milliseconds(20));
      while (!d.out.empty())
        settle(d, Sent(d.out.front()), Outcome::connectFailed,
               told ? FailureReason::connectionRefused : FailureReason::unknown);
    }
    cuts[told] = d.balancer.cutoff();
  }
  EXPECT_GT(cuts[0], 1);  // as it was where nothing is told
  EXPECT_EQ(cuts[1], 0);
}

TEST(Reach, TheInFlightMaximumFollowsTheReachableHosts) {
  // A first maximum of 6 a host; the cut begins at half of it.
  const auto heldAtCut = [](int closed) {
    Driver d(makeSettings(), 10);
    for (int h = 0; h < closed; ++h) close(d, d.host(h));
    for (int i = 0; i < 400 && d.balancer.cutoff() < 1; ++i) d.request(0);
    return static_cast<double>(d.out.size());
  };
  const double all = heldAtCut(0);
  EXPECT_NEAR(heldAtCut(5), all / 2, all * 0.15);
  EXPECT_GT(all, 30);
}

TEST(Reach, WhatNeverReachedAHostIsTriedElsewhereWithoutTheRetryBudget) {
  Settings s = makeSettings();
  Driver d(s, 12);
  d.warmUp(0, 20);
  // Far more than the budget allows, at one moment; each host refuses once and is closed, as it would be.
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    d.request(1);  // unsafe: proven never to have run
    settle(d, Sent(d.out.back()), Outcome::connectFailed, FailureReason::connectionRefused);
    ASSERT_FALSE(d.out.empty());
    ++served;
    d.serve(Sent(d.out.back()));
  }
  EXPECT_EQ(served, 100);
}

TEST(Reach, OutOfDescriptorsOnlyOpenConnectionsAreUsedAndNoHostIsBlamed) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  for (int h = 0; h < 4; ++h) d.balancer.onConnections(d.host(h), h == 2 ? 3 : 0);
  d.request(0);
  // Whichever it was sent to: none was left.
  settle(d, Sent(d.out.back()), Outcome::connectFailed, FailureReason::noDescriptor);
  ASSERT_EQ(d.out.size(), 1u);
  EXPECT_EQ(d.lastSent().host, d.host(2));
  for (int i = 0; i < 2; ++i) {
    d.request(0);
    EXPECT_EQ(d.lastSent().host, d.host(2));
  }
  const RequestId full = d.request(0);  // the three are taken
  EXPECT_TRUE(d.refused(full)) << "at once";
  EXPECT_EQ(d.balancer.cutoff(), 0);
  d.advance(milliseconds(30));
  while (!d.out.empty()) d.serve(Sent(d.out.front()));
  std::set<EndpointId> used;
  for (int i = 0; i < 40; ++i) {
    d.request(0);
    used.insert(d.lastSent().host);
    d.advance(milliseconds(50));
    d.serve(Sent(d.out.back()));
  }
  EXPECT_EQ(used.size(), 4u) << "nobody rests for what was our own lack";
}

TEST(Reach, SpoiltAnswersFromAllLiftNoCutAndKeepAllHosts) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  for (int i = 0; i < 200; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    while (!d.out.empty()) {
      const Sent s = d.out.front();
      if (i % 3 == 0)
        settle(d, s, Outcome::error, FailureReason::malformedResponse, ConnectionUse::reused, d.now - s.at);
      else d.serve(s);
    }
  }
  EXPECT_EQ(d.balancer.cutoff(), 0);
  d.forget();
  d.warmUp(0, 120);
  for (int h = 0; h < 6; ++h) EXPECT_GT(d.sentTo(d.host(h)), 4u) << h;
}

TEST(Reach, HalfOfTheHostsThatAnswerGarbageForTenSecondsAreLeftAndComeBack) {
  Settings s = makeSettings();
  Driver d(s, 8);
  d.warmUp(0, 100);
  int spoilt = 0, asked = 0, late = 0;
  for (int i = 0; i < 1000; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    ++asked;
    while (!d.out.empty()) {
      const Sent sent = d.out.front();
      if (sent.host % 2 == 0) {
        ++spoilt;
        late += i >= 500;
        settle(d, sent, Outcome::error, FailureReason::malformedResponse, ConnectionUse::reused,
               d.now - sent.at);
      } else {
        d.serve(sent);
      }
    }
  }
  EXPECT_EQ(asked, 1000);
  EXPECT_LT(spoilt, 200) << "left within a few answers";
  EXPECT_LT(late, 60) << "and asked by trials only";
  EXPECT_EQ(d.balancer.cutoff(), 0);
  d.advance(seconds(12));
  d.warmUp(0, 200);
  d.forget();
  d.warmUp(0, 200);
  for (int h = 0; h < 8; ++h) EXPECT_GT(d.sentTo(d.host(h)), 5u) << h;
}

TEST(Reach, AProcessSeenToBeNewIsColdWhateverTheListSays) {
  Settings s = makeSettings();
  s.gatewayCount = 4;
  Driver d(s, 4);
  for (int i = 0; i < 300; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    while (!d.out.empty()) d.serve(Sent(d.out.front()));
  }
  const auto share = [&] {
    d.forget();
    for (int i = 0; i < 200; ++i) {
      d.request(0);
      d.advance(milliseconds(5));
      while (!d.out.empty()) d.serve(Sent(d.out.front()));
    }
    return d.sentTo(d.host(0));
  };
  close(d, d.host(0));
  EXPECT_EQ(share(), 0u);
  d.balancer.onReachability(d.now, d.host(0), Reachability::reachable, d.now);
  const std::size_t cold = share();
  d.advance(seconds(10));
  share();
  const std::size_t warm = share();
  EXPECT_LT(2 * cold, warm);
}

TEST(Reach, TheCountOfConnectionsIsWhatWasTold) {
  Driver d(makeSettings(), 2);
  const EndpointId h = d.host(0);
  d.balancer.onConnections(h, 3);
  EXPECT_EQ(d.balancer.openConnections(h), 3u);
  for (int i = 0; i < 10; ++i) d.request(0);
  EXPECT_EQ(d.balancer.openConnections(h), 3u) << "no guesses once it is told";
  while (!d.out.empty())
    settle(d, Sent(d.out.front()), Outcome::reset, FailureReason::unknown, ConnectionUse::reused);
  EXPECT_EQ(d.balancer.openConnections(h), 3u);
  EXPECT_EQ(d.balancer.openConnections(12345), 0u);
  EXPECT_EQ(d.balancer.attemptsInFlight(12345), 0u);
}

}  // namespace
}  // namespace cairnjunction::policy::testing
