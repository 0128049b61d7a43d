// Attempts over JSON-RPC on real loopback sockets: how each thing that a worker can do ends the calls.
#include "jsonrpc/upstream.hpp"

#include "jsonrpc/peers.hpp"

namespace cairnjunction::testing {
namespace {

using jsonrpc::Upstream;
using policy::Outcome;

class UpstreamTest : public RpcTest {
 protected:
  Upstream::Limits limits;
  std::unique_ptr<Upstream> upstream;
  std::vector<AttemptOutcome> ends, delayed;
  CallId last = 0;

  void make(const tcp::endpoint& at) {
    limits.connectTimeout = std::chrono::seconds(5);
    upstream = std::make_unique<Upstream>(
        io, limits, [this](AttemptOutcome end) { ends.push_back(std::move(end)); },
        [this](AttemptOutcome late) { delayed.push_back(std::move(late)); });
    upstream->updateEndpoint(1, at, true);
  }
  AttemptKey send(const json& params = json::object(),
                  const AttemptTimeouts& limit = policy::Duration(kPatience)) {
    Call call;
    call.externalId = "c" + std::to_string(++last);
    call.message.operation = "work";
    call.message.body = params.dump();
    call.message.format = Format::json;
    upstream->start({last, 0}, 1, call, limit);
    return {last, 0};
  }
  Outcome endOf(AttemptKey key) const {
    for (const AttemptOutcome& end : ends)
      if (end.key == key) return end.outcome;
    ADD_FAILURE() << "has not ended";
    return Outcome::notSent;
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
  for (const AttemptOutcome& end : ends) {
    EXPECT_EQ(end.outcome, Outcome::served);
    EXPECT_EQ(json::parse(end.response.body)["i"], end.key.call - 1);
  }
}

// A worker that mixes up its connections, or one behind a proxy, answers a call of an earlier connection.
TEST_F(UpstreamTest, ReplyToACallOfAnEarlierConnectionMatchesNoCall) {
  limits.streams = 1;
  json firstId;
  Worker& worker = addWorker([&](Lines& from, const json& request) {
    if (firstId.is_null()) {
      firstId = request["id"];
      return from.close();
    }
    from.say(result(firstId, "of another call"));
  });
  make(worker.endpoint);
  send();
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  const AttemptKey second = send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(worker.connections.size(), 2u);
  EXPECT_EQ(endOf(second), Outcome::reset);
}

TEST_F(UpstreamTest, NoMoreCallsOnAConnectionThanItsLimit) {
  limits.streams = 3;
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  for (int i = 0; i < 7; ++i) send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 7; }));
  EXPECT_EQ(worker.connections.size(), 3u);
}

struct Answer {
  const char* name;
  std::function<void(Lines&, const json&)> says;
  Outcome first, second;  // of the call that it is done to, and of another that is open beside it
};
class WorkerAnswers : public UpstreamTest, public ::testing::WithParamInterface<Answer> {};

TEST_P(WorkerAnswers, EndCallsAsTheTableSays) {
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
    EXPECT_EQ(upstream->connectionCount(), 0u);
    return;
  }
  EXPECT_EQ(ends.size(), 1u) << "the other goes on";
  from->say(result(worker.requests[1]["id"], 2));
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(two), Outcome::served);
}

INSTANTIATE_TEST_SUITE_P(
    All, WorkerAnswers,
    ::
        testing::Values(Answer{"Application", [](Lines& l, const json& id) { l.say(error(id, 12)); },
                               Outcome::served, Outcome::served},
                        Answer{"Internal", [](Lines& l, const json& id) { l.say(error(id, -32603)); },
                               Outcome::error, Outcome::served},
                        Answer{"Server", [](Lines& l, const json& id) { l.say(error(id, -32050)); },
                               Outcome::error, Outcome::served},
                        Answer{"NotRun",
                               [](Lines& l, const json& id) {
                                 l.say(error(id, -32050, {{"not_run", true}}));
                               },
                               Outcome::overloaded, Outcome::served},
                        Answer{"NotRunOfAnotherCode",
                               [](Lines& l, const json& id) {
                                 l.say(error(id, -32603, {{"not_run", true}}));
                               },
                               Outcome::error, Outcome::served},
                        Answer{"NoMethod", [](Lines& l, const json& id) { l.say(error(id, -32601)); },
                               Outcome::invalidRequest, Outcome::served},
                        Answer{"BadParams", [](Lines& l, const json& id) { l.say(error(id, -32602)); },
                               Outcome::invalidRequest, Outcome::served},
                        Answer{"UnknownId", [](Lines& l, const json&) { l.say(result(77, 1)); },
                               Outcome::reset, Outcome::reset},
                        Answer{"StringId", [](Lines& l, const json& id) { l.say(result(id.dump(), 1)); },
                               Outcome::reset, Outcome::reset},
                        Answer{"NullId", [](Lines& l, const json&) { l.say(result(nullptr, 1)); },
                               Outcome::reset, Outcome::reset},
                        Answer{"Twice",
                               [](Lines& l, const json& id) {
                                 l.say(result(id, 1));
                                 l.say(result(id, 1));
                               },
                               Outcome::served, Outcome::reset},
                        Answer{"Noise", [](Lines& l, const json&) { l.send("{]\n"); }, Outcome::reset,
                               Outcome::reset},
                        Answer{"Batch", [](Lines& l, const json& id) { l.say(json::array({result(id, 1)})); },
                               Outcome::reset, Outcome::reset},
                        Answer{"Both",
                               [](Lines& l, const json& id) {
                                 json both = result(id, 1);
                                 both["error"] = {{"code", 1}};
                                 l.say(both);
                               },
                               Outcome::reset, Outcome::reset},
                        Answer{"Large",
                               [](Lines& l, const json& id) { l.say(result(id, std::string(100000, 'x'))); },
                               Outcome::reset, Outcome::reset},
                        Answer{"WithoutEnd", [](Lines& l, const json&) { l.send(std::string(100000, ' ')); },
                               Outcome::reset, Outcome::reset},
                        Answer{"Close", [](Lines& l, const json&) { l.close(); },
                               Outcome::reset, Outcome::reset},
                        Answer{"Reset", [](Lines& l, const json&) { l.reset(); },
                               Outcome::reset, Outcome::reset},
                        Answer{
                            "Half",
                            [](Lines& l, const json& id) {
                              l.send("{\"jsonrpc\":\"2.0\",\"id\":" + id.dump() + ",\"result\":");
                              l.reset();
                            },
                            Outcome::reset, Outcome::reset}),
    [](const auto& info) { return info.param.name; });

// Nobody listens at the worker's address.
TEST_F(UpstreamTest, AWorkerThatRefusesConnectionsProvesThatNothingRan) {
  const ReservedPort nobody(io);
  make(nobody.endpoint);
  const AttemptKey one = send(), two = send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(one), Outcome::connectFailed);
  EXPECT_EQ(endOf(two), Outcome::connectFailed);
  EXPECT_EQ(upstream->connectionCount(), 0u);
}

// The worker reads nothing: the first calls are written, those behind them stay here, and it resets the
// connection.
TEST_F(UpstreamTest, WhatWasNotWrittenToItsLastByteNeverRan) {
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

TEST_F(UpstreamTest, ACancelledCallEndsWithTheWorkersAnswerAndTheOthersGoOn) {
  std::shared_ptr<Lines> from;
  Worker& worker = addWorker([&](Lines& lines, const json& text) {
    from = lines.shared_from_this();
    if (!text.contains("id")) lines.say(error(text["params"]["id"], -32800));
  });
  worker.seesCancels = true;
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

// The worker had finished when the cancel came.
TEST_F(UpstreamTest, AResultThatCrossesTheCancelIsTaken) {
  Worker& worker = addWorker([&](Lines& lines, const json& text) {
    if (!text.contains("id")) lines.say(result(text["params"]["id"], "in time after all"));
  });
  worker.seesCancels = true;
  make(worker.endpoint);
  const AttemptKey one = send();
  send();
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  upstream->cancel(one);
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::served);
}

// The worker hangs: one call times out and its cancel is not answered either. On an open connection that call
// might run beside its retry.
TEST_F(UpstreamTest, AWorkerThatIsSilentToACancelLosesItsConnection) {
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  const AttemptKey one = send(json::object(), policy::Duration(std::chrono::milliseconds(50))), two = send();
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(one), Outcome::timeout);
  EXPECT_EQ(endOf(two), Outcome::reset);
  EXPECT_EQ(worker.cancels.size(), 1u);
  EXPECT_TRUE(until([&] { return worker.connections[0]->closedByPeer; }));
}

TEST_F(UpstreamTest, ALoneCallIsCancelledByClosingItsConnection) {
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

// The worker closes an idle connection in the moment in which the next call begins.
// The limit is there for a silent worker, and one that is writing the answer is not silent.
TEST_F(UpstreamTest, AnAnswerUnderWayIsAwaitedPastTheLimitForItsBegin) {
  Worker worker(io, [](Lines& from, const json&) { from.send(R"({"jsonrpc":"2.0","res)"); });
  make(worker.endpoint);
  constexpr auto limit = std::chrono::milliseconds(40);
  const AttemptKey key = send(json::object(), {limit, policy::Duration::max(), std::chrono::seconds(60)});
  const auto wellPast = std::chrono::steady_clock::now() + 3 * limit;
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > wellPast; }));
  ASSERT_TRUE(ends.empty());
  worker.connections.front()->send("ult\":7,\"id\":" + worker.requests.front()["id"].dump() + "}\n");
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(key), Outcome::served);
}

// The answer is one text, so it is whole within the half second in which a final answer may be late.
TEST_F(UpstreamTest, AnAnswerUnderWayIsAwaitedShortlyBehindItsClientsTime) {
  constexpr std::chrono::milliseconds limit(40), clientWaits(200);
  for (const bool isWhole : {true, false}) {
    ends.clear();
    delayed.clear();
    Worker worker(io, [](Lines& from, const json&) { from.send(R"({"jsonrpc":"2.0","res)"); });
    make(worker.endpoint);
    const auto start = std::chrono::steady_clock::now();
    const AttemptKey key = send(json::object(), {limit, policy::Duration::max(), clientWaits});
    ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > start + clientWaits + 2 * limit; }));
    ASSERT_TRUE(ends.empty());
    ASSERT_EQ(delayed.size(), 1u) << "before the load balancer ends the request";
    EXPECT_EQ(delayed.front().key, key);
    EXPECT_LT(delayed.front().elapsed, clientWaits);
    if (isWhole)
      worker.connections.front()->send("ult\":7,\"id\":" + worker.requests.front()["id"].dump() + "}\n");
    ASSERT_TRUE(until([&] { return ends.size() == 1; }));
    EXPECT_EQ(endOf(key), isWhole ? Outcome::served : Outcome::timeout);
    EXPECT_EQ(ends.front().limit, isWhole ? AttemptLimit::none : AttemptLimit::clientTime);
    EXPECT_LT(ends.front().elapsed, clientWaits + std::chrono::milliseconds(500));
    upstream.reset();
  }
}

// Two calls share a connection, and the answer that is under way turns out to be the other one's.
TEST_F(UpstreamTest, ACallThatIsSilentBehindAnothersAnswerEndsWhenThatIsWhole) {
  Worker worker(io, [&](Lines& from, const json&) {
    if (worker.requests.size() == 2) from.send(R"({"jsonrpc":"2.0","res)");
  });
  make(worker.endpoint);
  constexpr auto limit = std::chrono::milliseconds(40);
  const AttemptKey answered = send();
  const AttemptKey silent = send(json::object(), {limit, policy::Duration::max(), std::chrono::seconds(60)});
  const auto wellPast = std::chrono::steady_clock::now() + 3 * limit;
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > wellPast; }));
  EXPECT_TRUE(ends.empty());
  EXPECT_TRUE(worker.cancels.empty());
  worker.connections.front()->send("ult\":7,\"id\":" + worker.requests[0]["id"].dump() + "}\n");
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(answered), Outcome::served);
  EXPECT_EQ(endOf(silent), Outcome::timeout);
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

TEST_F(UpstreamTest, ADrainedEndpointFinishesWhatItHasAndKeepsNoConnection) {
  std::shared_ptr<Lines> from;
  Worker& worker = addWorker([&](Lines& lines, const json&) { from = lines.shared_from_this(); });
  make(worker.endpoint);
  const AttemptKey one = send();
  ASSERT_TRUE(until([&] { return from != nullptr; }));
  upstream->updateEndpoint(1, worker.endpoint, false);
  from->say(result(worker.requests[0]["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::served);
  EXPECT_TRUE(until([&] { return upstream->connectionCount() == 0; }));
}

// --- Calls that are queued behind others and not written yet ---------------------------------------------

// A worker that does not read for a while, and calls that are larger than what the system holds on the way.
class UnsentCalls : public UpstreamTest {
 protected:
  tcp::acceptor acceptor{io};
  std::shared_ptr<Lines> worker;

  AttemptKey sendBehindALargeOne() {
    limits.streams = 100;
    limits.unsentBytes = 64 << 20;
    limits.cancelWait = kPatience;
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind(loopback());
    acceptor.listen();
    acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      if (!ec) worker = std::make_shared<Lines>(std::move(socket));
    });
    make(acceptor.local_endpoint());
    const AttemptKey large = send({{"n", 0}, {"filler", std::string(900 << 10, 'x')}});
    for (int i = 0; i < 7; ++i) send({{"n", 0}, {"filler", std::string(900 << 10, 'x')}});
    EXPECT_TRUE(until([this] { return worker != nullptr; }));
    for (int i = 0; i < 200; ++i) io.poll();
    EXPECT_LT(upstream->attemptsWritten(), 8u) << "some of it is not written";
    return large;
  }
  // All that the worker reads from here on: the numbers of the small calls, in order.
  std::vector<int> numbersRead(std::size_t calls) {
    worker->read();
    EXPECT_TRUE(until([&] { return worker->texts.size() >= calls; }));
    std::vector<int> numbers;
    for (const json& text : worker->texts) {
      EXPECT_FALSE(text.is_discarded()) << "a text was cut";
      if (text.contains("id") && text["params"]["n"] != 0) numbers.push_back(text["params"]["n"]);
    }
    return numbers;
  }
};

TEST_F(UnsentCalls, AreCancelledAndTheOthersGoOn) {
  const AttemptKey large = sendBehindALargeOne();
  std::vector<AttemptKey> keys;
  for (int n = 1; n <= 6; ++n) {
    keys.push_back(send({{"n", n}, {"filler", std::string(static_cast<std::size_t>(n) * 100, 'x')}}));
    if (n == 3) upstream->cancel(large);  // a cancel notification stands between the calls
  }
  for (const int n : {1, 4, 6}) upstream->cancelIfUnsent(keys[static_cast<std::size_t>(n - 1)]);
  ASSERT_EQ(ends.size(), 3u);
  for (const AttemptOutcome& end : ends) {
    EXPECT_EQ(end.outcome, Outcome::connectFailed);
    EXPECT_EQ(end.failureReason, policy::FailureReason::cancelledBeforeSend);
  }
  EXPECT_EQ(numbersRead(8 + 1 + 3), (std::vector<int>{2, 3, 5}));
  for (const json& text : worker->texts)
    if (text.contains("id")) worker->say(result(text["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 14; }));
  for (const int n : {2, 3, 5}) EXPECT_EQ(endOf(keys[static_cast<std::size_t>(n - 1)]), Outcome::served);
}

TEST_F(UnsentCalls, AreCancelledWhenTheirEndpointIsDrained) {
  sendBehindALargeOne();
  const AttemptKey small = send({{"n", 1}});
  upstream->updateEndpoint(1, acceptor.local_endpoint(), false);
  EXPECT_TRUE(ends.empty()) << "not from within: more of the list is to come";
  ASSERT_TRUE(until([&] { return ends.size() >= 2; }));
  EXPECT_EQ(endOf(small), Outcome::connectFailed);
  const std::size_t over = ends.size();
  EXPECT_TRUE(numbersRead(8 + 1 - over).empty());
  for (const json& text : worker->texts) worker->say(result(text["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 9; })) << "what was begun is finished";
  EXPECT_EQ(endOf({1, 0}), Outcome::served);
}

TEST_F(UnsentCalls, EndWhenTheirTimeToBeWrittenIsOver) {
  sendBehindALargeOne();
  const AttemptKey brief = send({{"n", 1}}, {policy::Duration(kPatience), std::chrono::milliseconds(30)});
  const AttemptKey other = send({{"n", 2}});
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(brief), Outcome::connectFailed);
  EXPECT_EQ(ends[0].failureReason, policy::FailureReason::attemptTimeout);
  EXPECT_EQ(numbersRead(8 + 1), std::vector<int>{2});
  worker->say(result(worker->texts.back()["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(endOf(other), Outcome::served);
}

TEST_F(UpstreamTest, WhatIsWrittenInItsTimeHasAllOfItsTimeForTheAnswer) {
  Worker& worker = addWorker(nullptr);
  make(worker.endpoint);
  const AttemptKey one = send({{"n", 1}}, {policy::Duration(kPatience), std::chrono::milliseconds(40)});
  ASSERT_TRUE(until([&] { return worker.requests.size() == 1; }));
  asio::steady_timer passed(io, std::chrono::milliseconds(100));
  bool over = false;
  passed.async_wait([&](error_code) { over = true; });
  ASSERT_TRUE(until([&] { return over; }));
  EXPECT_TRUE(ends.empty());
  worker.connections[0]->say(result(worker.requests[0]["id"], 1));
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(endOf(one), Outcome::served);
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
