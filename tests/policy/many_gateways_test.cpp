// A large bank of gateways, each with a trickle: what they send is summed here; they share nothing.
#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

class Bank {
 public:
  Bank(Settings s, int gateways, int hosts) : hostCount(hosts) {
    s.gatewayCount = static_cast<std::uint32_t>(gateways);
    for (int g = 0; g < gateways; ++g) {
      s.gatewayIndex = static_cast<std::uint32_t>(g);
      s.seed = static_cast<std::uint64_t>(g) + 1;
      drivers.push_back(std::make_unique<Driver>(s, 0));
    }
    tell(EndpointListKind::replace, 0, hosts);
  }
  void tell(EndpointListKind kind, int from, int to, Timestamp upSince = {}) {
    std::vector<EndpointInfo> list;
    for (int i = from; i < to; ++i) {
      list.push_back(makeHost(i));
      list.back().startedAt = upSince;
    }
    for (auto& d : drivers) {
      d->balancer.onEndpoints(d->now, kind, list);
      d->collect();
    }
    hostCount = std::max(hostCount, to);
  }
  // Each gateway gets `perSecond` requests a second; hosts take `answer`.
  void run(double forSeconds, double perSecond, Duration answer = milliseconds(40)) {
    const double chance = perSecond * 0.02;
    for (int i = 0; i < static_cast<int>(forSeconds / 0.02); ++i)
      for (auto& d : drivers) {
        if (std::uniform_real_distribution<>()(engine) < chance) d->request(0);
        d->advance(milliseconds(20), milliseconds(20));
        while (!d->out.empty() && d->now - d->out.front().at >= answer) d->serve(Sent(d->out.front()));
      }
  }
  void forget() {
    for (auto& d : drivers) d->forget();
  }
  std::size_t sentTo(int host) const {
    std::size_t n = 0;
    for (const auto& d : drivers) n += d->sentTo(d->host(host));
    return n;
  }
  std::size_t gatewaysAt(int host) const {
    std::size_t n = 0;
    for (const auto& d : drivers) n += d->sentTo(d->host(host)) > 0;
    return n;
  }
  Timestamp now() const { return drivers.front()->now; }

  std::vector<std::unique_ptr<Driver>> drivers;
  int hostCount;
  std::mt19937 engine{11};
};

// A floor of one request a window, or a first token, at each of hundreds of gateways felled every cold host.
TEST(Bank, AColdHostIsNotPushedOverByManyGatewaysTogether) {
  for (bool everywhere : {false, true}) {  // where keys are kept warm, every gateway uses every host
    Settings s = makeSettings();
    s.keyAffinity = everywhere;
    Bank bank(s, 200, 30);
    bank.run(10, 6);
    bank.forget();
    bank.run(2, 6);
    double warm = 0;  // in the two seconds of the rule
    for (int h = 0; h < 30; ++h) warm += static_cast<double>(bank.sentTo(h)) / 30;
    bank.tell(EndpointListKind::update, 30, 31, bank.now());
    std::size_t sum = 0;
    for (int window = 0; window < 3; ++window) {
      bank.forget();
      bank.run(2, 6);
      const double share = 0.2 + 0.8 * (2 * window) / 10;  // what it can do at least when the window begins
      EXPECT_LT(static_cast<double>(bank.sentTo(30)), 3 * share * warm) << "window " << window;
      sum += bank.sentTo(30);
    }
    EXPECT_GT(static_cast<double>(sum), 0.3 * warm) << "it still gets its work";
  }
}

// After a restart of the whole bank nothing is known of any host, and the list may name cold ones at once.
TEST(Bank, FreshGatewaysTogetherDoNotPushAColdHostOver) {
  Settings s = makeSettings();
  s.keyAffinity = true;
  Bank bank(s, 200, 30);
  bank.tell(EndpointListKind::update, 30, 31, bank.now());
  bank.run(2, 6);
  double warm = 0;
  for (int h = 0; h < 30; ++h) warm += static_cast<double>(bank.sentTo(h)) / 30;
  EXPECT_LT(static_cast<double>(bank.sentTo(30)), 3 * 0.2 * warm);
}

// Hosts accept so many connections: a bank in which every gateway goes everywhere shuts itself out.
TEST(Bank, AHostMeetsFewOfTheGatewaysAndAllAlike) {
  Bank bank(makeSettings(), 320, 50);
  bank.run(5, 6);
  std::size_t least = 320, most = 0;
  for (int h = 0; h < 50; ++h) {
    least = std::min(least, bank.gatewaysAt(h));
    most = std::max(most, bank.gatewaysAt(h));
  }
  EXPECT_LE(most, 64u) << "of 320: a fifth";
  EXPECT_GE(least, 20u);
}

TEST(Bank, NewHostsAreUsedAndConnectionsToFormerOnesGivenBack) {
  Bank bank(makeSettings(), 320, 50);
  bank.run(3, 6);
  bank.tell(EndpointListKind::update, 50, 100);
  bank.run(3, 6);
  bank.forget();
  bank.run(6, 6);
  std::size_t fresh = 0, all = 0, closed = 0;
  for (int h = 0; h < 100; ++h) {
    all += bank.sentTo(h);
    if (h >= 50) fresh += bank.sentTo(h);
  }
  for (const auto& d : bank.drivers) closed += d->count(ActionKind::closeIdle);
  EXPECT_GT(fresh, all / 3);
  EXPECT_GT(closed, 320u) << "each gateway leaves some of its six for new ones";
}

// One discovery service answers all: gateways that it turns away together must not come back together, and
// none may stay silent past the allowed time.
TEST(Bank, GatewaysTurnedAwayByDiscoveryComeBackSpread) {
  Settings s = makeSettings();
  s.pollDiscovery = true;
  s.maxPollInterval = seconds(10);
  Bank bank(s, 200, 10);
  for (int round = 0; round < 4; ++round) {
    bank.forget();
    for (auto& d : bank.drivers) {
      d->balancer.onEndpoints(d->now, EndpointListKind::unavailable, {});
      d->collect();
    }
    std::vector<std::size_t> asks;
    std::size_t before = 0;
    for (int window = 0; window < 100; ++window) {  // of a tenth of a second
      std::size_t sum = 0;
      for (auto& d : bank.drivers) {
        d->advance(milliseconds(100), milliseconds(20));
        sum += std::min<std::size_t>(d->count(ActionKind::pollEndpoints), 1);
      }
      asks.push_back(sum - before);
      before = sum;
    }
    EXPECT_EQ(before, 200u) << "all ask again within the allowed time";
    EXPECT_LE(*std::max_element(asks.begin(), asks.end()), 50u) << "round " << round;
  }
}

// What a gateway with few requests holds swings by chance; the cubic must not make refusals of it, and still
// refuse when the pool is slow.
TEST(Bank, ThinGatewaysRefuseOnlyWhenThePoolIsSlow) {
  Bank bank(makeSettings(), 100, 20);
  bank.run(10, 6, milliseconds(110));
  bank.forget();
  bank.run(10, 6, milliseconds(110));
  std::size_t refused = 0, asked = 0;
  for (auto& d : bank.drivers) {
    refused += d->count(ActionKind::reject);
    asked += d->count(ActionKind::reject) + d->sent.size();
  }
  EXPECT_LT(refused * 50, asked) << "hosts answer in a quarter of the aim";

  Settings s = makeSettings();
  s.gatewayCount = 100;
  Driver slow(s, 20);
  std::size_t before = 0;
  for (int i = 0; i < 600; ++i) {
    slow.request(1);
    slow.advance(milliseconds(150));
    for (std::size_t k = 0; k < slow.out.size();) {
      const Sent o = slow.out[k];
      if (i < 300) slow.settle(o, Outcome::served, true, milliseconds(40));
      else if (slow.now - o.at >= milliseconds(380)) slow.settle(o, Outcome::timeout, false);
      else ++k;
    }
    if (i == 300) before = slow.count(ActionKind::reject);
  }
  EXPECT_LT(before, 6u);
  EXPECT_GT(slow.count(ActionKind::reject) - before, 100u) << "of 300, after nothing comes in time any more";
}

// A slow host that this gateway cannot know yet ate the whole aim of a request that may be repeated.
TEST(SecondCopy, OnlyWhereAllowedAndOnlyForWhatMayBeRepeated) {
  for (bool parallel : {true, false}) {
    Settings s = makeSettings();
    s.hedging = parallel;
    Driver d(s, 6);
    for (std::uint32_t cls : {0u, 1u}) d.warmUp(cls, 60);
    for (std::uint32_t cls : {0u, 1u}) {
      d.forget();
      d.request(cls);
      d.advance(milliseconds(300));
      EXPECT_EQ(d.sent.size(), parallel && cls == 0 ? 2u : 1u);
      if (d.sent.size() == 2) EXPECT_NE(d.sent[0].host, d.sent[1].host);
      while (!d.out.empty()) d.settle(Sent(d.out.back()), Outcome::served, d.out.size() == 1);
    }
  }
}

// Popular keys heap up on one host unseen by gateways that each hold nothing there; the list tells of it.
TEST(LiveWeights, ACrowdedHostLosesShareAndGetsItBack) {
  Settings s = makeSettings();
  s.loadReports = true;
  Driver d(s, 6);
  const auto run = [&](double weight) {
    d.forget();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        EndpointInfo e = makeHost(2);
        e.weight = weight;
        d.balancer.onEndpoints(d.now, EndpointListKind::update, {e});
      }
      d.request(0);
      d.advance(milliseconds(40));
      while (!d.out.empty()) d.serve(Sent(d.out.front()));
    }
    return d.sentTo(d.host(2));
  };
  EXPECT_GT(run(1), 40u);
  EXPECT_LT(run(0.1), 40u);
  run(1);
  EXPECT_GT(run(1), 40u);
}

// Thirty resends saved up at each of hundreds of gateways are no budget: a pool that is full would get them
// all at once.
TEST(Resends, AThinGatewaySavesUpFew) {
  Settings s = makeSettings();
  s.maxAttempts = 2;
  Driver d(s, 20);
  d.warmUp(0, 200, milliseconds(200));
  d.forget();
  for (int i = 0; i < 20; ++i) {
    d.request(0);
    while (!d.out.empty()) d.settle(Sent(d.out.front()), Outcome::overloaded, false);
    d.advance(milliseconds(20));
  }
  EXPECT_LE(d.sent.size(), 20u + 13u);
}

// A gateway that meets a host once in many seconds learns it too late; its machine kind is known sooner.
TEST(Pace, ANewHostIsTakenForItsKind) {
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 12; ++i) {
    list.push_back(makeHost(i));
    list.back().machineKind = i % 2 ? "slow" : "fast";
  }
  Driver d(makeSettings(), 0);
  d.balancer.onEndpoints(d.now, EndpointListKind::replace, {list.begin(), list.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    while (!d.out.empty()) {
      const Sent o = d.out.front();
      const bool slow =
          o.host == d.host(1) || o.host == d.host(3) || o.host == d.host(5) || o.host == d.host(7);
      d.settle(o, Outcome::served, true, milliseconds(slow ? 90 : 30));
    }
    d.advance(milliseconds(50), milliseconds(50));
  }
  d.balancer.onEndpoints(d.now, EndpointListKind::update, {list.begin() + 8, list.end()});
  d.forget();
  for (int i = 0; i < 60; ++i) {
    d.request(0);
    while (!d.out.empty()) d.settle(Sent(d.out.front()), Outcome::cancelled, true);  // teaches nothing
  }
  EXPECT_GT(d.sentTo(d.host(8)) + d.sentTo(d.host(10)), 2 * (d.sentTo(d.host(9)) + d.sentTo(d.host(11))));
}

// A connect that fails costs its time-out; the host is down or at its cap, so the next ones go elsewhere.
TEST(Connect, AHostThatDoesNotLetUsInRestsAtOnce) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  d.forget();
  for (int i = 0; i < 40; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const Sent o = d.out[k];
      if (o.host == d.host(1)) d.settle(o, Outcome::connectFailed, false);
      else d.serve(o);
    }
  }
  EXPECT_EQ(d.sentTo(d.host(1)), 1u);
}

}  // namespace
}  // namespace cairnjunction::policy::testing
