// Attempts over JSON-RPC on real loopback sockets: how each thing that a worker can do ends the calls.
#include "jsonrpc/upstream.hpp"

#include "jsonrpc/peers.hpp"

namespace cairnjunction::testing {
namespace {

using jsonrpc::Upstream;
using ochrehill::Outcome;

class UpstreamTest : public RpcTest {
 protected:
  Upstream::Limits limits;
  std::unique_ptr<Upstream> upstream;
  std::vector<AttemptEnd> ends;
  CallId last = 0;

  void make(const tcp::endpoint& at) {
    limits.connectTimeout = std::chrono::seconds(5);
    upstream =
        std::make_unique<Upstream>(io, limits, [this](AttemptEnd end) { ends.push_back(std::move(end)); });
    upstream->list(1, at, true);
  }
  AttemptKey send(const json& params = json::object(), std::chrono::milliseconds limit = kPatience) {
    Call call;
    call.name = "c" + std::to_string(++last);
    call.message.operation = "work";
    call.message.body = params.dump();
    call.message.format = Format::json;
    upstream->start({last, 0}, 1, call, limit);
    return {last, 0};
  }
  Outcome endOf(AttemptKey key) const {
    for (const AttemptEnd& end : ends)
      if (end.key == key) return end.outcome;
    ADD_FAILURE() << "has not ended";
    return Outcome::moot;
  }
};

TEST_F(UpstreamTest, ManyCallsShareAConnectionAndAreMatchedInAnyOrder) {
  std::vector<json> held;
  Worker& worker = addWorker([&](Lines& from, const json& request) {
    held.push_back(request);
    if (held.size() < 8) return;
    while (!held.empty()) {  // the last first
      from.say(result(held.back()["id"], held.back()["params"]));
      held.pop_back();
    }
  });
  make(worker.endpoint);
  for (int i = 0; i < 8; ++i) send({{"i", i}});
  ASSERT_TRUE(until([&] { return ends.size() == 8; }));
  EXPECT_EQ(worker.connections.size(), 1u);
  for (const AttemptEnd& end : ends) {
    EXPECT_EQ(end.outcome, Outcome::served);
    EXPECT_EQ(json::parse(end.answer.body)["i"], end.key.call - 1);
  }
}

TEST_F(UpstreamTest, NoMoreCallsOnAConnectionThanTheModuleIsTold) {
  limits.streams = 3;
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  for (int i = 0; i < 7; ++i) send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 7; }));
  EXPECT_EQ(worker.connections.size(), 3u);
}

struct Wrong {
  const char* name;
  std::function<void(Lines&, const json&)> says;
  Outcome first, second;  // of the call that it is done to, and of another that is open beside it
};
class Wrongs : public UpstreamTest, public ::testing::WithParamInterface<Wrong> {};

TEST_P(Wrongs, EndTheCallsAsTheTableSays) {
  std::shared_ptr<Lines> from;
  Worker& worker = addWorker([&](Lines& lines, const json&) { from = lines.shared_from_this(); });
  make(worker.endpoint);
  const AttemptKey one = send(), two = send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  GetParam().says(*from, worker.requests[0]["id"]);
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(endOf(one), GetParam().first);
  if (GetParam().second != Outcome::served) {
    ASSERT_TRUE(until([&] { return ends.size() == 2; }));
    EXPECT_EQ(endOf(two), GetParam().second);
    EXPECT_EQ(upstream->connections(), 0u);
    return;
  }
  EXPECT_EQ(ends.size(), 1u) << "the other goes on";
  from->say(result(worker.requests[1]["id"], 2));
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(two), Outcome::served);
}

INSTANTIATE_TEST_SUITE_P(
    All, Wrongs,
    ::testing::Values(
        Wrong{"Application", [](Lines& l, const json& id) { l.say(error(id, 12)); }, Outcome::served, Outcome::served},
        Wrong{"Internal", [](Lines& l, const json& id) { l.say(error(id, -32603)); }, Outcome::error, Outcome::served},
        Wrong{"Server", [](Lines& l, const json& id) { l.say(error(id, -32050)); }, Outcome::error, Outcome::served},
        Wrong{"NotRun", [](Lines& l, const json& id) { l.say(error(id, -32050, {{"not_run", true}})); },
              Outcome::full, Outcome::served},
        Wrong{"NotRunOfAnotherCode", [](Lines& l, const json& id) { l.say(error(id, -32603, {{"not_run", true}})); },
              Outcome::error, Outcome::served},
        Wrong{"NoMethod", [](Lines& l, const json& id) { l.say(error(id, -32601)); }, Outcome::rejected,
              Outcome::served},
        Wrong{"BadParams", [](Lines& l, const json& id) { l.say(error(id, -32602)); }, Outcome::rejected,
              Outcome::served},
        Wrong{"UnknownId", [](Lines& l, const json&) { l.say(result(77, 1)); }, Outcome::reset, Outcome::reset},
        Wrong{"StringId", [](Lines& l, const json& id) { l.say(result(id.dump(), 1)); }, Outcome::reset,
              Outcome::reset},
        Wrong{"NullId", [](Lines& l, const json&) { l.say(result(nullptr, 1)); }, Outcome::reset, Outcome::reset},
        Wrong{"Twice",
              [](Lines& l, const json& id) {
                l.say(result(id, 1));
                l.say(result(id, 1));
              },
              Outcome::served, Outcome::reset},
        Wrong{"Noise", [](Lines& l, const json&) { l.send("{]\n"); }, Outcome::reset, Outcome::reset},
        Wrong{"Batch", [](Lines& l, const json& id) { l.say(json::array({result(id, 1)})); }, Outcome::reset,
              Outcome::reset},
        Wrong{"Both",
              [](Lines& l, const json& id) {
                json both = result(id, 1);
                both["error"] = {{"code", 1}};
                l.say(both);
              },
              Outcome::reset, Outcome::reset},
        Wrong{"Large", [](Lines& l, const json& id) { l.say(result(id, std::string(100000, 'x'))); }, Outcome::reset,
              Outcome::reset},
        Wrong{"WithoutEnd", [](Lines& l, const json&) { l.send(std::string(100000, ' ')); }, Outcome::reset,
              Outcome::reset},
        Wrong{"Close", [](Lines& l, const json&) { l.close(); }, Outcome::reset, Outcome::reset},
        Wrong{"Reset", [](Lines& l, const json&) { l.reset(); }, Outcome::reset, Outcome::reset},
        Wrong{"Half",
              [](Lines& l, const json& id) {
                l.send("{\"jsonrpc\":\"2.0\",\"id\":" + id.dump() + ",\"result\":");
                l.reset();
              },
              Outcome::reset, Outcome::reset}),
    [](const auto& info) { return info.param.name; });

TEST_F(UpstreamTest, AWorkerThatRefusesConnectionsProvesThatNothingRan) {
  tcp::endpoint nobody;
  {
    tcp::acceptor probe(io, loopback());
    nobody = probe.local_endpoint();
  }
  make(nobody);
  const AttemptKey one = send(), two = send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(one), Outcome::connectFailed);
  EXPECT_EQ(endOf(two), Outcome::connectFailed);
  EXPECT_EQ(upstream->connections(), 0u);
}

TEST_F(UpstreamTest, WhatWasNotWrittenToItsLastByteNeverRan) {
  // The worker reads nothing: the first calls are written, those behind them stay here, and it closes.
  limits.streams = 1000;
  limits.unsentBytes = 64 << 20;
  tcp::acceptor acceptor(io, loopback());
  tcp::socket accepted(io);
  acceptor.async_accept(accepted, [](error_code) {});
  make(acceptor.local_endpoint());
  for (int i = 0; i < 400; ++i) send({{"filler", std::string(30000, 'x')}});
  ASSERT_TRUE(until([&] { return accepted.is_open(); }));
  for (int i = 0; i < 200; ++i) io.poll();
  error_code ignored;
  accepted.set_option(asio::socket_base::linger(true, 0), ignored);
  accepted.close();
  ASSERT_TRUE(until([&] { return ends.size() == 400; }));
  EXPECT_EQ(endOf({1, 0}), Outcome::reset) << "written whole: it may have run";
  EXPECT_EQ(endOf({400, 0}), Outcome::connectFailed);
  bool unsent = false;  // in the order of sending: first those that may have run, then those that never did
  for (CallId id = 1; id <= 400; ++id) {
    const Outcome outcome = endOf({id, 0});
    EXPECT_TRUE(outcome == Outcome::connectFailed || (outcome == Outcome::reset && !unsent)) << id;
    unsent |= outcome == Outcome::connectFailed;
  }
}

TEST_F(UpstreamTest, ACancelledCallEndsByTheWorkersWordAndTheOthersGoOn) {
  std::shared_ptr<Lines> from;
  Worker& worker = addWorker([&](Lines& lines, const json& text) {
    from = lines.shared_from_this();
    if (!text.contains("id")) lines.say(error(text["params"]["id"], -32800));
  });
  make(worker.endpoint);
  const AttemptKey one = send(), two = send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  upstream->cancel(one);
  EXPECT_TRUE(ends.empty()) << "not before it is known to be over";
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::cancelled);
  from->say(result(worker.requests[1]["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(two), Outcome::served);
}

TEST_F(UpstreamTest, AResultThatCrossesTheCancelIsTaken) {
  Worker& worker = addWorker([&](Lines& lines, const json& text) {
    if (!text.contains("id")) lines.say(result(text["params"]["id"], "in time after all"));
  });
  make(worker.endpoint);
  const AttemptKey one = send();
  send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  upstream->cancel(one);
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::served);
}

TEST_F(UpstreamTest, AWorkerThatIsSilentToACancelLosesItsConnection) {
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  const AttemptKey one = send(json::object(), std::chrono::milliseconds(50)), two = send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(one), Outcome::timeout);
  EXPECT_EQ(endOf(two), Outcome::reset);
  EXPECT_EQ(worker.cancels.size(), 1u);
  EXPECT_TRUE(until([&] { return worker.connections[0]->closedByPeer; }));
}

TEST_F(UpstreamTest, ALoneCallIsGivenUpByClosing) {
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  const AttemptKey one = send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 1; }));
  upstream->cancel(one);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(endOf(one), Outcome::cancelled);
  EXPECT_TRUE(until([&] { return worker.connections[0]->closedByPeer; }));
}

TEST_F(UpstreamTest, CancelledBeforeTheConnectionIsUpItNeverRan) {
  Worker& worker = addWorker(echo());
  make(worker.endpoint);
  const AttemptKey one = send({{"n", 1}}), two = send({{"n", 22}}), three = send({{"n", 333}});
  upstream->cancel(two);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(endOf(two), Outcome::connectFailed);
  ASSERT_TRUE(until([&] { return ends.size() == 3; }));
  EXPECT_EQ(endOf(one), Outcome::served);
  EXPECT_EQ(endOf(three), Outcome::served);
  ASSERT_EQ(worker.requests.size(), 2u);
  EXPECT_EQ(worker.requests[1]["params"]["n"], 333);
}

TEST_F(UpstreamTest, AnIdleConnectionThatTheWorkerClosedIsNotUsed) {
  Worker& worker = addWorker(echo());
  make(worker.endpoint);
  send();
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  worker.connections[0]->close();
  send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::served);
  EXPECT_EQ(worker.connections.size(), 2u);
}

TEST_F(UpstreamTest, ADrainedHostFinishesWhatItHasAndKeepsNoConnection) {
  std::shared_ptr<Lines> from;
  Worker& worker = addWorker([&](Lines& lines, const json&) { from = lines.shared_from_this(); });
  make(worker.endpoint);
  const AttemptKey one = send();
  ASSERT_TRUE(until([&] { return from != nullptr; }));
  upstream->list(1, worker.endpoint, false);
  from->say(result(worker.requests[0]["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::served);
  EXPECT_TRUE(until([&] { return upstream->connections() == 0; }));
}

TEST_F(UpstreamTest, ConnectionsAreBounded) {
  limits.streams = 1;
  limits.connections = 2;
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  for (int i = 0; i < 3; ++i) send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::connectFailed);
}

}  // namespace
}  // namespace cairnjunction::testing
