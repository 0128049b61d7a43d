// The decision module's actions over thousands of random events, against those recorded earlier. A change
// that is to move code and nothing else must leave them as they are; so must a new field of the interface,
// since nothing here sets one. After a change that is meant, `recorded_test --record FILE` writes the file
// anew.
//
// Not driven: live weights, whose power function may differ in the last bit between machines.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <string>

#include "../driver.hpp"

namespace ochrehill::testing {
namespace {

constexpr int kEvents = 6000;  // of one scenario

std::string recordFile;  // set by main

struct Scenario {
  std::string name;
  Settings settings;
  int hosts = 10;
  double failing = 0.05;  // share of the attempts
  int meanGapUs = 3000;   // between events
};

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  Settings plain = makeSettings();
  plain.askDiscovery = true;
  plain.askWithin = seconds(5);
  all.push_back({"plain", plain});
  Settings many = plain;
  many.seed = 11;
  many.groupSize = 24;
  many.number = 17;
  many.retryAfter = true;
  many.maxRetryAfter = seconds(2);
  many.idleClose = seconds(3);
  all.push_back({"one of many", many, 40, 0.1, 2000});
  Settings turns = plain;
  turns.seed = 13;
  for (ClassSettings& c : turns.classes) c.inTurn = true;
  turns.keyRest = milliseconds(200);
  turns.tenants = {{"mill", 20}, {"yard", 0}};
  all.push_back({"turns and tenants", turns, 6, 0.1, 6000});
  Settings copies = plain;
  copies.seed = 17;
  copies.parallelTries = true;
  copies.warmKeys = true;
  copies.streamsPerConnection = 4;
  all.push_back({"copies and warm keys", copies, 12, 0.02, 4000});
  Settings bad = plain;
  bad.seed = 19;
  bad.idleClose = seconds(1);
  all.push_back({"half of it fails", bad, 8, 0.5, 3000});
  Settings late = plain;
  late.seed = 23;
  for (ClassSettings& c : late.classes) c.lateShare = 0.5, c.aimStretch = 0.5;
  all.push_back({"crowded", late, 3, 0.03, 700});
  return all;
}

// FNV-1a over all that an action says.
class Digest {
 public:
  void add(const void* data, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
      value_ = (value_ ^ static_cast<const unsigned char*>(data)[i]) * 0x100000001b3ULL;
  }
  template <class Number>
  void number(Number n) {
    const auto wide = static_cast<std::int64_t>(n);
    add(&wide, sizeof wide);
  }
  void add(const Action& a) {
    number(a.kind);
    number(a.request);
    number(a.attempt);
    number(a.host);
    number(a.span.count());
    add(a.text.data(), a.text.size());
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

// The world around the module: hosts that come, restart, drain and go, attempts that end in any way.
class Play {
 public:
  explicit Play(const Scenario& s)
      : scenario_(s), engine_(s.settings.seed * 101), balancer_(s.settings, now_) {
    for (int i = 0; i < s.hosts; ++i) add();
    tell(ListKind::restored, hosts_);
  }

  std::string run() {
    for (int i = 0; i < kEvents; ++i) step();
    std::ostringstream text;
    text << scenario_.name << ": sends " << sends_ << ", refused " << refused_ << ", failed " << failed_
         << ", digest " << std::hex << digest_.value();
    return text.str();
  }

 private:
  // Own draws: std distributions differ between standard libraries.
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(engine_() % n); }
  bool chance(double p) { return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < p; }

  void add() {
    HostEntry e = makeHost(next_, next_ % 3 == 0 ? "west" : "east", next_ % 2);
    e.kind = next_ % 4 == 0 ? "big" : "std";
    e.weight = next_ % 4 == 0 ? 2 : 1;
    e.upSince = chance(0.3) ? now_ - seconds(below(15)) : Time{};
    ++next_;
    hosts_.push_back(e);
  }

  void step() {
    now_ += std::chrono::microseconds(1 + below(static_cast<std::size_t>(2 * scenario_.meanGapUs)));
    if (wake_ > Time{} && wake_ <= now_) {
      wake_ = Time{};
      balancer_.onWake(now_);
      collect();
    }
    const std::size_t what = below(1000);
    if (what < 480 || out_.empty()) request();
    else if (what < 970) settle();
    else if (what < 980 && last_ > 0) balancer_.onClientGone(now_, 1 + below(last_));
    else if (what < 983) balancer_.onAnswerStarted(now_, out_.back().request, out_.back().attempt);
    else if (what < 997) change();
    else if (what < 999) balancer_.onHosts(now_, ListKind::unavailable, {});
    else tell(ListKind::replace, hosts_);
    collect();
  }

  void request() {
    Request q;
    q.id = ++last_;
    q.classIndex = static_cast<std::uint32_t>(below(scenario_.settings.classes.size() + 1));
    if (!scenario_.settings.tenants.empty())
      q.tenantIndex = static_cast<std::uint32_t>(below(scenario_.settings.tenants.size()));
    q.left = chance(0.8) ? Duration(seconds(1)) : milliseconds(100 + below(900));
    q.cost = chance(0.5) ? Duration{} : milliseconds(1 + below(40));
    q.hasKey = chance(0.6);
    q.key = q.hasKey ? 1 + below(30) : 0;
    balancer_.onRequest(now_, q);
  }

  void settle() {
    const std::size_t i = below(std::min<std::size_t>(out_.size(), 12));  // mostly the older ones
    const Sent sent = out_[i];
    out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(i));
    AttemptResult a{sent.request, sent.attempt, sent.host, Outcome::served, now_ - sent.at, false};
    if (cancelled_.erase({sent.request, sent.attempt}) > 0 && chance(0.7)) a.outcome = Outcome::cancelled;
    else if (now_ - sent.at >= sent.limit) a.outcome = Outcome::timeout;
    else if (chance(scenario_.failing)) {
      constexpr Outcome kinds[] = {Outcome::error, Outcome::full,  Outcome::full,     Outcome::timeout,
                                   Outcome::reset, Outcome::error, Outcome::rejected, Outcome::connectFailed};
      a.outcome = kinds[below(8)];
    }
    a.terminal = a.outcome == Outcome::served && !over_.count(sent.request);
    if (a.terminal) over_[sent.request] = true;
    balancer_.onResult(now_, a);
  }

  void change() {
    HostEntry& e = hosts_[below(hosts_.size())];
    switch (below(4)) {
      case 0: e.phase = Phase::draining; break;
      case 1: e.phase = Phase::in, e.upSince = now_; break;
      case 2: e.phase = Phase::in; break;
      default: {
        HostEntry gone = e;
        gone.phase = Phase::out;
        hosts_.erase(hosts_.begin() + (&e - hosts_.data()));
        add();
        return tell(ListKind::update, {gone, hosts_.back()});
      }
    }
    tell(ListKind::update, {e});
  }

  void tell(ListKind kind, const std::vector<HostEntry>& entries) { balancer_.onHosts(now_, kind, entries); }

  void collect() {
    for (const Action& a : balancer_.actions()) {
      digest_.add(a);
      if (a.kind == ActionKind::send) out_.push_back({a.request, a.attempt, a.host, now_, a.span}), ++sends_;
      if (a.kind == ActionKind::refuse) over_[a.request] = true, ++refused_;
      if (a.kind == ActionKind::fail) over_[a.request] = true, ++failed_;
      if (a.kind == ActionKind::cancel) cancelled_[{a.request, a.attempt}] = true;
      if (a.kind == ActionKind::wake) wake_ = a.span;
    }
    balancer_.actions().clear();
    const double cut = balancer_.cutoff();
    digest_.number(cut * 1e6);
    digest_.number(balancer_.openRequests());
  }

  Scenario scenario_;
  std::mt19937_64 engine_;
  Time now_ = seconds(100), wake_{};
  Balancer balancer_;
  std::vector<HostEntry> hosts_;
  std::vector<Sent> out_;
  std::map<RequestId, bool> over_;
  std::map<std::pair<RequestId, std::uint32_t>, bool> cancelled_;
  Digest digest_;
  int next_ = 0;
  std::size_t last_ = 0, sends_ = 0, refused_ = 0, failed_ = 0;
};

std::vector<std::string> played() {
  std::vector<std::string> lines;
  for (const Scenario& s : scenarios()) lines.push_back(Play(s).run());
  return lines;
}

TEST(Recorded, ActionsAreThoseOfBefore) {
  std::ifstream file(recordFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  EXPECT_EQ(played(), lines);
}

}  // namespace

int run(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "--record") {
    std::ofstream file(argv[2]);
    for (const std::string& line : played()) file << line << "\n";
    return file.good() ? 0 : 1;
  }
  ::testing::InitGoogleTest(&argc, argv);
  recordFile = argc > 1 ? argv[1] : "";
  return RUN_ALL_TESTS();
}

}  // namespace ochrehill::testing

int main(int argc, char** argv) { return ochrehill::testing::run(argc, argv); }
