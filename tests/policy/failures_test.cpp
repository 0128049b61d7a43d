// One test for each failure met: what must not happen again.
#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// Serves what is due: `time(host)` gives how long a host takes, zero for never.
template <class F>
void serveDue(Driver& d, F time) {
  for (std::size_t k = 0; k < d.out.size();) {
    const Sent s = d.out[k];
    const Duration t = time(s.host);
    if (t > Duration{} && d.now - s.at >= t) d.serve(s);
    else if (d.now - s.at >= s.limit) d.settle(s, Outcome::timeout, false);
    else ++k;
  }
}

TEST(Health, AHostThatErrsAtOnceIsEjectedAndDoesNotLiftTheCut) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const EndpointId bad = d.host(2);
  d.forget();
  for (int i = 0; i < 600; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (s.host == bad) d.settle(s, Outcome::error, false);
      else if (d.now - s.at >= milliseconds(30)) d.serve(s);
      else ++k;
    }
    EXPECT_EQ(d.balancer.cutoff(), 0);
  }
  EXPECT_LT(d.sentTo(bad), 30u) << "it holds nothing in flight, so the pick would feed it";
  EXPECT_GT(d.sentTo(bad), 3u) << "a trickle finds out when it is well again";
}

TEST(Health, AnEjectedHostReturnsByItself) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  const EndpointId bad = d.host(2);
  bool broken = true;
  const auto run = [&](int n) {
    for (int i = 0; i < n; ++i) {
      d.request(0);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const Sent s = d.out[k];
        if (s.host == bad && broken) d.settle(s, Outcome::connectFailed, false);
        else if (d.now - s.at >= milliseconds(30)) d.serve(s);
        else ++k;
      }
    }
  };
  run(300);
  broken = false;
  run(1200);
  d.forget();
  run(300);
  EXPECT_GT(d.sentTo(bad) * 12, d.sent.size());
}

TEST(Health, ASilentHostGetsNoMore) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  const EndpointId lost = d.host(1);
  std::size_t early = 0;
  d.forget();
  for (int i = 0; i < 150; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](EndpointId h) { return h == lost ? Duration{} : Duration(milliseconds(40)); });
    if (i == 30) early = d.sentTo(lost);
  }
  EXPECT_GT(early, 0u);
  EXPECT_LE(d.sentTo(lost), early + 6) << "of about 30: only trials after its requests timed out";
}

TEST(Health, ASilentHostIsPassedOverUnderLoadToo) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  while (d.out.empty() || d.lastSent().host != d.host(1)) {
    while (!d.out.empty()) d.serve(Sent(d.out.front()));
    d.request(1);
  }
  d.advance(milliseconds(320));  // far past the usual time, its time limit still to come
  d.forget();
  for (int i = 0; i < 12; ++i) d.request(0);
  EXPECT_GT(d.sent.size(), 8u);
  EXPECT_EQ(d.sentTo(d.host(1)), 0u);
}

TEST(Health, APoolWideTroubleEjectsNobodyForGood) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  for (int i = 0; i < 100; ++i) {
    d.request(0);
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.settle(Sent(d.out.front()), Outcome::error, false);
  }
  d.warmUp(0, 300, milliseconds(20));
  d.forget();
  d.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 6; ++i) EXPECT_GT(d.sentTo(d.host(i)), 0u) << i;
  EXPECT_EQ(d.balancer.cutoff(), 0);
}

TEST(Health, ARestartedHostStartsWithACleanRecord) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (s.host == d.host(0)) d.settle(s, Outcome::reset, false);
      else if (d.now - s.at >= milliseconds(30)) d.serve(s);
      else ++k;
    }
  }
  EndpointInfo fresh = makeHost(0);
  fresh.startedAt = d.now;
  d.balancer.onEndpoints(d.now, EndpointListKind::update, {fresh});
  while (!d.out.empty()) d.serve(Sent(d.out.front()));
  d.forget();
  for (int i = 0; i < 100; ++i) {  // its budget is that of a cold host: less than one request at first
    d.request(0);
    d.advance(milliseconds(10));
    while (!d.out.empty()) d.serve(Sent(d.out.front()));
  }
  EXPECT_GT(d.sentTo(d.host(0)), 0u);
}

// A host that answers "full" at once holds nothing of ours and looked idle: it drew all resends.
TEST(Full, AHostThatIsAlwaysFullRests) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  const EndpointId full = d.host(3);
  d.forget();
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (s.host == full) d.settle(s, Outcome::overloaded, false);
      else if (d.now - s.at >= milliseconds(20)) d.serve(s);
      else ++k;
    }
  }
  EXPECT_LT(d.sentTo(full), 25u);
}

// Deploy of nearly all hosts: all but one were cold-capped, and everything went to the last warm one.
TEST(Deploy, TheLastWarmHostIsNotBuried) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  std::vector<EndpointInfo> list = {makeHost(0)};
  for (int i = 1; i < 6; ++i) {
    list.push_back(makeHost(10 + i));
    list.back().startedAt = d.now;
  }
  d.balancer.onEndpoints(d.now, EndpointListKind::replace, list);
  for (int i = 0; i < 200; ++i) d.request(1);
  std::size_t held = 0;
  for (const Sent& s : d.out) held += s.host == d.host(0);
  EXPECT_LE(held, 60u) << "of 200: the pool sheds instead";
}

// A pause that many hosts take now and then is no loss: short silences must not empty the ready set for long.
// A deploy of all hosts at once leaves no warm one to measure by: what they carried is remembered for a
// while, or the cold ones would be starved to one request in a window.
TEST(Deploy, ColdHostsAloneGetTheirShare) {
  Driver d(makeSettings(), 4);
  d.warmUp(1, 600, milliseconds(5));
  std::vector<EndpointInfo> list;
  for (int i = 10; i < 14; ++i) {
    list.push_back(makeHost(i));
    list.back().startedAt = d.now;
  }
  d.balancer.onEndpoints(d.now, EndpointListKind::replace, list);
  d.collect();
  d.forget();
  d.warmUp(1, 400, milliseconds(5));  // two seconds
  EXPECT_GE(d.sent.size(), 40u);
  EXPECT_LE(d.sent.size(), 200u) << "nor may they be pushed over";
}

TEST(Health, AShortPauseIsForgiven) {
  Driver d(makeSettings(), 3);
  d.warmUp(0, 60);
  Timestamp pausedUntil = d.now + milliseconds(900);
  const EndpointId paused = d.host(0);
  std::size_t before = 0;
  for (int i = 0; i < 400; ++i) {
    if (i == 200) before = d.sentTo(paused);
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](EndpointId h) {
      return h == paused && d.now < pausedUntil ? Duration{} : Duration(milliseconds(30));
    });
  }
  EXPECT_GT(d.sentTo(paused) - before, 30u);
}

// A flapping host (well for a second, dead for a second) must cost little and never lift the cut.
TEST(Health, AFlappingHostCostsLittle) {
  Driver d(makeSettings(), 5);
  d.warmUp(0, 60);
  const EndpointId flapping = d.host(4);
  std::size_t failures = 0;
  for (int i = 0; i < 2000; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (s.host == flapping && (i / 100) % 2 == 1) {
        ++failures;
        d.settle(s, Outcome::reset, false);
      } else if (d.now - s.at >= milliseconds(30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
    EXPECT_LT(d.balancer.cutoff(), 1);
  }
  EXPECT_LT(failures, 120u) << "one in five requests would go there half of the time: 200";
}

// A whole zone out of reach: the reachable hosts serve all, and the zone comes back by itself.
TEST(Zones, AZoneOutOfReachIsLeftAndReturns) {
  Driver d(makeSettings(), 0);
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west"));
  d.balancer.onEndpoints(d.now, EndpointListKind::replace, list);
  bool cutOff = true;
  const auto far = [&](EndpointId h) { return d.balancer.address(h) >= "host-104"; };
  const auto run = [&](int n) {
    std::size_t lost = 0;
    for (int i = 0; i < n; ++i) {
      d.request(1);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.out.size();) {
        const Sent s = d.out[k];
        if (cutOff && far(s.host)) {
          if (d.now - s.at >= milliseconds(200)) d.settle(s, Outcome::connectFailed, false);
          else ++k;
        } else if (d.now - s.at >= milliseconds(30)) {
          d.serve(s);
        } else {
          ++k;
        }
      }
    }
    for (const Sent& s : d.sent) lost += far(s.host);
    return lost;
  };
  run(500);
  d.forget();
  EXPECT_LT(run(500), 60u);
  cutOff = false;
  run(1500);
  d.forget();
  EXPECT_GT(run(500), 100u);
}

// Clients that were refused together come back together: a burst is shed by worth and leaves nothing behind.
TEST(Retries, ASynchronisedBurstPasses) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  int high = 0;
  for (int burst = 0; burst < 5; ++burst) {
    for (int i = 0; i < 150; ++i) high += d.refused(d.request(i % 10 == 0 ? 0 : 1));
    for (int i = 0; i < 20; ++i) {
      d.advance(milliseconds(10));
      serveDue(d, [](EndpointId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_GT(high, 0);
  int after = 0;
  for (int i = 0; i < 100; ++i) {
    after += d.refused(d.request(1));
    d.advance(milliseconds(10));
    serveDue(d, [](EndpointId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(after, 0);
}

// A restored list may be long out of date: dead addresses prove themselves unrun and cost a resend, no
// answer.
TEST(Discovery, AStaleListCostsResendsOnly) {
  Driver d(makeSettings(), 9);
  int answered = 0;
  for (int i = 0; i < 300; ++i) {
    const RequestId id = d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (s.host <= d.host(4)) d.settle(s, Outcome::connectFailed, false);
      else if (d.now - s.at >= milliseconds(20)) d.serve(s);
      else ++k;
    }
    answered += d.refused(id) || d.failed(id);
  }
  EXPECT_LT(answered, 10) << "five of nine dead; with the median peer as the yardstick nobody is ejected";
}

// The learned maximum follows a pool that loses most of its hosts while traffic falls alike.
TEST(Cutoff, AShrinkingFleetWithShrinkingTrafficShedsNothing) {
  Driver d(makeSettings(), 8);
  int refused = 0;
  for (int phase = 0; phase < 3; ++phase) {
    std::vector<EndpointInfo> list;
    for (int i = 0; i < (8 >> phase); ++i) list.push_back(makeHost(i));
    d.balancer.onEndpoints(d.now, EndpointListKind::replace, list);
    for (int i = 0; i < 300; ++i) {
      refused += d.refused(d.request(1));
      d.advance(milliseconds(5 << phase));
      serveDue(d, [](EndpointId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_EQ(refused, 0);
}

// A host whose pace was learned in trouble gets few requests; without new ones the pace would never change.
TEST(Health, AnOldPaceFades) {
  Driver d(makeSettings(), 4);
  const EndpointId slow = d.host(0);
  for (int i = 0; i < 600; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](EndpointId h) { return Duration(milliseconds(h == slow ? 350 : 20)); });
  }
  d.advance(seconds(1));
  serveDue(d, [&](EndpointId) { return Duration(milliseconds(20)); });
  d.advance(seconds(20));  // slower where requests are few
  d.forget();
  for (int i = 0; i < 100; ++i) {
    d.request(1);
    d.advance(milliseconds(20));
    serveDue(d, [&](EndpointId) { return Duration(milliseconds(20)); });
  }
  EXPECT_GT(d.sentTo(slow), 12u);
}

// A gateway that starts in the middle of an overload has measured nothing: it must neither refuse all nor
// take all.
TEST(Start, AFreshGatewayServesAtOnce) {
  Driver d(makeSettings(), 8);
  int refused = 0;
  for (int i = 0; i < 20; ++i) refused += d.refused(d.request(1));
  EXPECT_EQ(refused, 0);
  for (int i = 0; i < 300; ++i) refused += d.refused(d.request(1));
  EXPECT_GT(refused, 100);
}

// The learned maximum rests on the rate of answers: after a lull or a collapse it must not stay near zero.
TEST(Cutoff, RecoversAfterACollapse) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 200; ++i) {  // nothing is answered at all
    d.request(1);
    d.advance(milliseconds(20));
    serveDue(d, [](EndpointId) { return Duration{}; });
  }
  d.advance(seconds(2));
  serveDue(d, [](EndpointId) { return Duration{}; });
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = d.request(1);
    if (i >= 300) refused += d.refused(id);
    d.advance(milliseconds(10));
    serveDue(d, [](EndpointId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(refused, 0);
}

// Hosts that hold about twice their cores slow down and stay slow while demand lasts: the pool's mean time
// must stay well under the aim (400 ms here), not near it.
TEST(Cutoff, RequestsAreShedLongBeforeTheMeanTimeReachesTheAim) {
  for (int time : {50, 250}) {
    Driver d(makeSettings(), 8);
    int refused = 0;
    for (int i = 0; i < 1500; ++i) {
      const RequestId id = d.request(1);
      if (i >= 500) refused += d.refused(id);
      d.advance(milliseconds(5));
      serveDue(d, [&](EndpointId) { return Duration(milliseconds(time)); });
    }
    if (time == 50) EXPECT_EQ(refused, 0);
    else EXPECT_GT(refused, 200);
  }
}

// When all hosts slow down together their time passes the target with no queue at all; a maximum that follows
// the sinking rate would idle the pool for as long as that lasts.
TEST(Cutoff, ASharedSlowdownDoesNotIdleThePool) {
  Driver d(makeSettings(), 8);
  d.warmUp(1, 100, milliseconds(20));
  double held = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(1);
    d.advance(milliseconds(5));
    serveDue(d, [](EndpointId) { return Duration(milliseconds(300)); });
    if (i >= 3500) held += static_cast<double>(d.out.size()) / 500;
  }
  EXPECT_GT(held, 15) << "eight hosts keep nearly two each";
}

// The same on hosts of many cores: what they held while nothing was refused stays allowed.
TEST(Cutoff, ASharedSlowdownKeepsWhatHostsHeldBefore) {
  Driver d(makeSettings(), 8);
  double held = 0;
  for (int i = 0; i < 35000; ++i) {  // a thousand requests a second: sixty held, then six times the time
    d.request(1);
    d.advance(milliseconds(1), milliseconds(1));
    serveDue(d, [&](EndpointId) { return Duration(milliseconds(i < 5000 ? 60 : 360)); });
    if (i >= 30000) held += static_cast<double>(d.out.size()) / 5000;
  }
  EXPECT_GT(held, 40) << "four a host, the floor, would be thirty-two";
}

// The guess of the first second crowds hosts with small queues before anything is measured.
TEST(Start, FullAnswersEaseTheFirstGuess) {
  Driver d(makeSettings(), 8);
  int refused = 0, sends = 0;
  for (int i = 0; i < 450; ++i) {
    refused += d.refused(d.request(1));
    while (++sends % 9 == 0) d.settle(d.lastSent(), Outcome::overloaded, false);
    d.advance(milliseconds(2), milliseconds(2));
    serveDue(d, [](EndpointId) { return Duration(milliseconds(50)); });
  }
  EXPECT_GT(refused, 20) << "twenty-five held of a guess of fifty, but every ninth attempt finds a host full";
}

// A gateway cut down to its heavy, worthy class has few answers a second. If they counted one by one, its
// maximum would sink to the floor and stay there while other gateways take its share.
TEST(Cutoff, AGatewayLeftWithHeavyRequestsGrowsBack) {
  Settings set = makeSettings();
  set.gatewayCount = 4;
  Driver d(set, 8);
  std::map<RequestId, bool> heavy;
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {  // a hundred heavy and four hundred light requests a second
    const bool isHeavy = i % 5 == 0;
    const RequestId id = d.request(isHeavy ? 0 : 1);
    heavy[id] = isHeavy;
    d.advance(milliseconds(2), milliseconds(2));
    const int slow = i > 1000 && i < 16000 ? 4 : 1;  // thirty seconds
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent s = d.out[k];
      if (d.now - s.at >= slow * milliseconds(heavy[s.request] ? 190 : 95)) d.serve(s);
      else if (d.now - s.at >= s.limit) d.settle(s, Outcome::timeout, false);
      else ++k;
    }
    if (i >= 19000 && isHeavy) refused += d.refused(id);
  }
  EXPECT_LE(refused, 50) << "of two hundred heavy ones, six seconds later";
}

// Hosts driven over stay slow long after; their "full" answers come first, long before the errors count.
TEST(Full, FullAnswersOfManyHostsDrawTheMaximumIn) {
  int refused[2] = {0, 0};
  for (int round : {0, 1}) {
    Driver d(makeSettings(), 8);
    int sends = 0;
    for (int i = 0; i < 3000; ++i) {
      const RequestId id = d.request(1);
      if (i >= 1000) refused[round] += d.refused(id);
      while (round == 1 && ++sends % 15 == 0) d.settle(d.lastSent(), Outcome::overloaded, false);
      d.advance(milliseconds(5));
      serveDue(d, [&](EndpointId) { return Duration(milliseconds(105)); });
    }
  }
  EXPECT_LT(refused[0], 100);
  EXPECT_GT(refused[1], 3 * refused[0] + 100) << "seven per cent full, far from an error overload";
}

TEST(LittleTraffic, AHandfulOfErrorsIsNoOverload) {
  Driver d(makeSettings(), 3);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = d.request(1);
    EXPECT_FALSE(d.refused(id));
    d.advance(milliseconds(300));
    while (!d.out.empty())
      d.settle(Sent(d.out.front()), i % 4 == 0 ? Outcome::error : Outcome::served, i % 4 != 0);
    d.advance(milliseconds(400));
  }
}

TEST(OneHost, ItIsNeverEjected) {
  Driver d(makeSettings(), 1);
  for (int i = 0; i < 50; ++i) {
    d.request(1);
    d.advance(milliseconds(50));
    while (!d.out.empty()) d.settle(Sent(d.out.front()), Outcome::error, false);
  }
  d.advance(seconds(3));
  d.forget();
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u);
}

// Beside many gateways every host looks idle; the own zone was overrun while the other stood free.
TEST(Zones, AnOverrunOwnZoneYields) {
  Driver d(makeSettings(), 0);
  d.balancer.onEndpoints(d.now, EndpointListKind::replace,
                         {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  const auto time = [&](EndpointId h) {
    return h == d.host(0) || h == d.host(1) ? milliseconds(120) : milliseconds(40);
  };
  for (int i = 0; i < 400; ++i) {
    if (i == 200) d.forget();
    d.request(0);
    d.advance(milliseconds(40));
    serveDue(d, [&](EndpointId h) { return Duration(time(h)); });
  }
  EXPECT_GT(d.sentTo(d.host(2)) + d.sentTo(d.host(3)), 130u);
}

// A client's later try has less time left; what it spent before no longer earns.
TEST(Retries, ATryPastItsAimScoresLowest) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 30);
  const RequestId id = d.request(0, milliseconds(500));  // 500 of 1000 ms spent, the aim is 400
  EXPECT_TRUE(d.refused(id));
}

// A client's last try gets all that is left of its wait, often more than its first ones: taken for the usual
// time, it made every first try look late and cut its aim short.
TEST(Retries, ALongLastTryDoesNotMakeFirstTriesLookLate) {
  Driver d(makeSettings(), 6);
  for (int i = 0; i < 60; ++i) {
    d.request(0, i % 4 == 3 ? milliseconds(950) : milliseconds(600));
    const Sent s = d.lastSent();
    if (i > 20) EXPECT_GE(s.limit, i % 4 == 3 ? milliseconds(320) : milliseconds(380)) << i;
    if (i > 20 && i % 4 == 3) EXPECT_LE(s.limit, milliseconds(350)) << "50 ms were spent before";
    d.advance(milliseconds(30));
    d.serve(s);
  }
}

// Sends one at a time, each `idle` after the last; what goes over a connection that lay idle so long is lost.
std::size_t closedBeforeSends(Duration idle) {
  Settings s = makeSettings();
  s.maxAttempts = 1;
  s.idleTimeout = seconds(60);
  s.streamsPerConnection = 100;
  Driver d(s, 1);
  d.warmUp(0, 10);
  d.forget();
  for (int i = 0; i < 24; ++i) {
    const bool pause = i % 2 == 0;
    const std::size_t closed = d.count(ActionKind::closeIdle);
    if (pause) d.advance(idle);
    d.request(0);
    if (d.out.empty()) continue;
    const bool old = pause && d.count(ActionKind::closeIdle) == closed;
    d.settle(Sent(d.out.front()), old ? Outcome::reset : Outcome::served, !old);
  }
  return d.count(ActionKind::closeIdle);
}

TEST(IdleConnections, WhatIsLostOnThemIsLearnedAndTheyAreGivenBack) {
  EXPECT_GT(closedBeforeSends(milliseconds(1100)), 1u);
}

// New connections failed while open ones still served; the open ones were left to idle and went the same way.
TEST(NewConnections, OpenOnesStayInUseWhileTheyFail) {
  Settings s = makeSettings();
  s.maxAttempts = 1;
  Driver d(s, 2);
  d.warmUp(0, 20);
  for (int i = 0; i < 3; ++i) d.request(0);
  const Sent first = d.out[0], second = d.out[1], third = d.out[2];
  d.settle(third, Outcome::connectFailed, false);
  d.serve(first);
  d.serve(second);
  d.forget();
  d.warmUp(0, 12, milliseconds(20));
  EXPECT_GT(d.sentTo(third.host), 2u);
}

TEST(NewConnections, HostsThatAcceptNoneAreAskedSeldom) {
  Settings s = makeSettings();
  s.maxAttempts = 1;
  Driver d(s, 4);
  std::size_t asked = 0;
  for (int i = 0; i < 1500; ++i) {
    d.request(0);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.out.empty()) {
      const Sent sent = d.out.front();
      const bool accepts = sent.host == d.host(0);
      asked += !accepts;
      d.settle(sent, accepts ? Outcome::served : Outcome::connectFailed, accepts);
    }
  }
  EXPECT_LT(asked, 25u) << "three hosts in half a minute";
}

TEST(ClassHealth, AHostThatFailsOneClassKeepsTheOthers) {
  Settings s = makeSettings();
  s.maxAttempts = 1;
  Driver d(s, 6);
  d.warmUp(0, 60);
  const EndpointId bad = d.host(0);
  std::size_t toBad[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t cls = i % 4 == 0 ? 1 : 0;
    d.request(cls);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.out.empty()) {
      const Sent sent = d.out.front();
      if (i >= 600 && sent.host == bad) ++toBad[cls];
      const bool fails = cls == 1 && sent.host == bad;
      d.settle(sent, fails ? Outcome::error : Outcome::served, !fails);
    }
  }
  EXPECT_LT(toBad[1], 10u);  // of 150; an even share would be 25
  EXPECT_GT(toBad[0], 40u);  // of 450; an even share would be 75
}

// A host that turns one class away as full and serves the others kept drawing that class.
TEST(ClassHealth, AHostFullForOneClassKeepsTheOthers) {
  Settings s = makeSettings();
  s.maxAttempts = 1;
  Driver d(s, 6);
  d.warmUp(0, 60);
  const EndpointId bad = d.host(0);
  std::size_t toBad[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t cls = i % 4 == 0 ? 1 : 0;
    d.request(cls);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.out.empty()) {
      const Sent sent = d.out.front();
      if (i >= 600 && sent.host == bad) ++toBad[cls];
      const bool full = cls == 1 && sent.host == bad;
      d.settle(sent, full ? Outcome::overloaded : Outcome::served, !full);
    }
  }
  EXPECT_LT(toBad[1], 10u);  // of 150; an even share would be 25
  EXPECT_GT(toBad[0], 40u);  // of 450; an even share would be 75
}

//  Tries that came with less time than answers took were sent all the same, and timed out.
// Answers take 300 of 400 ms; `crowd` requests of low worth come every 100 ms beside one that has spent 250.
int lateOnesRefused(int crowd, int rounds, Duration answer = milliseconds(300)) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 40, milliseconds(100));
  int refused = 0;
  for (int i = 0; i < rounds; ++i) {
    for (int k = 0; k < crowd; ++k) d.request(1);
    for (int k = 0; k < 3; ++k) d.request(0);  // the usual time left is a median
    const RequestId late = d.request(0, milliseconds(750));
    if (i >= rounds / 2) refused += d.refused(late);
    d.advance(milliseconds(100));
    serveDue(d, [&](EndpointId) { return i < rounds / 4 ? Duration(milliseconds(300)) : answer; });
  }
  return refused;
}

TEST(Hopeless, WhatComesTooLateForAnAnswerIsRefusedUnsentInAnOverload) {
  EXPECT_GT(lateOnesRefused(14, 800), 340) << "of 400";
}

TEST(Hopeless, ItIsTriedInCalm) { EXPECT_EQ(lateOnesRefused(1, 800), 0); }

TEST(Hopeless, AUsualTimeLearnedInTroubleDoesNotStandForGood) {
  EXPECT_LT(lateOnesRefused(60, 4000, milliseconds(100)), 400) << "of 2000; answers are quick again";
}

}  // namespace
}  // namespace cairnjunction::policy::testing
