// The JSON-RPC front on real loopback sockets: the specification, ids, batches, drops, sessions, bounds.
#include <algorithm>

#include "jsonrpc/peers.hpp"

namespace cairnjunction::testing {
namespace {

using FrontTest = RpcTest;

int code(const json& reply) {
  return reply.is_object() && reply.contains("error") ? reply["error"]["code"].get<int>() : 0;
}

// --- The specification ------------------------------------------------------------------------------------

TEST_F(FrontTest, ACallIsAnsweredWithItsIdAndParamsGoOnAsWritten) {
  Worker& worker = addWorker(echo());
  start();
  auto c = client();
  c->send(
      "{\"jsonrpc\": \"2.0\", \"method\": \"read\", \"params\": {\"n\": 1.50e3, \"s\": \"\\u0041\"}, \"id\": "
      "\"a\"}\n");
  ASSERT_TRUE(until([&] { return c->texts.size() == 1; }));
  EXPECT_EQ(c->texts[0], (json{{"jsonrpc", "2.0"}, {"id", "a"}, {"result", {{"n", 1500.0}, {"s", "A"}}}}));
  ASSERT_EQ(worker.requests.size(), 1u);
  EXPECT_EQ(worker.requests[0]["method"], "read");
  EXPECT_FALSE(worker.requests[0]["call"]["name"].get<std::string>().empty());
}

TEST_F(FrontTest, IdsOfAllKindsComeBackAsTheyWereWritten) {
  addWorker(echo());
  start();
  for (const std::string id :
       {"1", "\"1\"", "1.0", "-7", "1e0", "18446744073709551615", "\"\\u00e9\\n\"", "null"}) {
    auto c = client();
    c->send("{\"jsonrpc\":\"2.0\",\"method\":\"read\",\"id\":" + id + "}\n");
    ASSERT_TRUE(until([&] { return c->lines.size() == 1; }));
    EXPECT_EQ(c->lines[0], "{\"jsonrpc\":\"2.0\",\"result\":null,\"id\":" + id + "}");
  }
}

TEST_F(FrontTest, TheExamplesOfTheSpecification) {
  addWorker(echo());
  start();
  EXPECT_EQ(code(ask(json(call("1", "foobar")))), -32601);
  EXPECT_EQ(
      code(ask(std::string("{\"jsonrpc\": \"2.0\", \"method\": \"foobar, \"params\": \"bar\", \"baz]\n"))),
      -32700);
  const json invalid = ask(std::string("{\"jsonrpc\": \"2.0\", \"method\": 1, \"params\": \"bar\"}\n"));
  EXPECT_EQ(code(invalid), -32600);
  EXPECT_TRUE(invalid["id"].is_null());
  EXPECT_EQ(code(ask(std::string("[{\"jsonrpc\": \"2.0\", \"method\"\n"))), -32700);
  const json empty = ask(std::string("[]\n"));
  EXPECT_TRUE(empty.is_object());
  EXPECT_EQ(code(empty), -32600);
  const json three = ask(std::string("[1,2,3]\n"));
  ASSERT_TRUE(three.is_array());
  ASSERT_EQ(three.size(), 3u);
  for (const json& each : three) EXPECT_EQ(code(each), -32600);
}

TEST_F(FrontTest, ABatchOfAllKindsHasOneArrayWithEachIdOnce) {
  addWorker(echo());
  start();
  const json replies =
      ask(json::array({call("1", "read", {{"a", 1}}), notification("write"), call(2, "nothing"),
                       json{{"foo", "boo"}}, call("9", "put", {{"key", "k9"}}), call(10, "put")}));
  ASSERT_TRUE(replies.is_array());
  ASSERT_EQ(replies.size(), 5u) << replies;
  EXPECT_EQ(replies[0], result("1", {{"a", 1}}));
  EXPECT_EQ(code(replies[1]), -32601);
  EXPECT_EQ(code(replies[2]), -32600);
  EXPECT_EQ(replies[3]["id"], "9");
  EXPECT_EQ(code(replies[4]), -32602) << "a keyed call with no key is dropped by nobody when it is repeated";
  EXPECT_EQ(runs(), 3u);
}

TEST_F(FrontTest, ABatchOfNotificationsHasNoReplyAndOneCallBehindItHas) {
  addWorker(echo());
  start();
  auto c = client();
  c->say(json::array({notification("write"), notification("nothing")}));
  c->say(call(1, "read"));
  ASSERT_TRUE(until([&] { return c->texts.size() == 1 && runs() == 2; }));
  EXPECT_EQ(c->texts[0]["id"], 1);
}

TEST_F(FrontTest, ANotificationRunsOnceAndOutlivesItsConnection) {
  std::shared_ptr<Lines> held;
  Worker& worker = addWorker([&](Lines& from, const json&) { held = from.shared_from_this(); });
  start();
  auto c = client();
  c->say(notification("write", {{"log", 7}}));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  c->close();
  EXPECT_EQ(gateway->openRequests(), 1u);
  held->say(result(worker.requests[0]["id"], "done"));
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  EXPECT_EQ(worker.requests.size(), 1u);
  EXPECT_TRUE(worker.cancels.empty());
  EXPECT_TRUE(c->texts.empty());
}

TEST_F(FrontTest, Version1CallsHaveVersion1Replies) {
  addWorker([](Lines& from, const json& request) {
    if (request["params"][0] == 1) from.say(result(request["id"], "good"));
    else from.say(error(request["id"], 17));
  });
  start();
  EXPECT_EQ(ask(json{{"method", "read"}, {"params", {1}}, {"id", 5}}),
            (json{{"result", "good"}, {"error", nullptr}, {"id", 5}}));
  const json failed = ask(json{{"method", "read"}, {"params", {2}}, {"id", 6}});
  EXPECT_TRUE(failed["result"].is_null());
  EXPECT_EQ(code(failed), 17);
  auto c = client();  // a null id makes it a notification there
  c->say(json{{"method", "read"}, {"params", {1}}, {"id", nullptr}});
  ASSERT_TRUE(until([&] { return runs() == 3; }));
  EXPECT_TRUE(c->texts.empty());
}

TEST_F(FrontTest, HeadersFrameTheRepliesOfAClientThatUsesThem) {
  addWorker(echo());
  start();
  auto c = client();
  const std::string text =
      call(1, "read", {{"a", 1}}).dump(2);  // over several lines: worth one to the worker
  c->send("Content-Length: " + std::to_string(text.size()) + "\r\nContent-Type: x/y\r\n\r\n" + text);
  const std::string want = "{\"jsonrpc\":\"2.0\",\"result\":{\"a\":1},\"id\":1}";
  ASSERT_TRUE(until([&] { return c->lines.size() == 1; })) << c->raw;
  EXPECT_EQ(c->lines[0], want);
  EXPECT_EQ(c->received, want.size() + std::string("Content-Length: 41\r\n\r\n").size());
}

// --- What a client is told
// ----------------------------------------------------------------------------------

TEST_F(FrontTest, AnErrorOfTheApplicationIsAnAnswer) {
  addWorker([](Lines& from, const json& request) {
    from.say(error(request["id"], 42, {{"log", "unknown"}}));
  });
  start();
  const json reply = ask(json(call(1, "write")));
  EXPECT_EQ(code(reply), 42);
  EXPECT_EQ(reply["error"]["data"]["log"], "unknown");
  EXPECT_EQ(runs(), 1u);
}

TEST_F(FrontTest, ARefusalSaysThatARetryIsHarmlessAndWhenAndAFailureDoesNot) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  addWorker([](Lines& from, const json& request) {
    const bool turnAway = request["params"].value("full", false);
    from.say(turnAway ? error(request["id"], -32010, {{"not_run", true}}) : error(request["id"], -32603));
  });
  start();
  const json refused = ask(json(call(1, "write", {{"full", true}})));
  EXPECT_EQ(code(refused), -32001);
  EXPECT_EQ(refused["error"]["data"]["retry"], "harmless");
  EXPECT_GT(refused["error"]["data"]["retry_after_ms"], 0);
  const json failed = ask(json(call(2, "write")));
  EXPECT_EQ(code(failed), -32002);
  EXPECT_EQ(failed["error"]["data"]["retry"], "unknown");
}

TEST_F(FrontTest, WorthOfAMethodIsAClassOfItsOwn) {
  rpc["methods"].push_back({{"name", "urgent"}, {"class", "read"}, {"worth", 50}, {"deadline_ms", 5000}});
  addWorker(echo());
  start();
  EXPECT_EQ(ask(json(call(1, "urgent")))["id"], 1);
  EXPECT_LE(workers[0]->requests[0]["call"]["deadline_ms"], 5000);
}

TEST_F(FrontTest, TheClientsOwnDeadlineShortensTheSettings) {
  rpc["methods"][0]["deadline"] = "/ms";
  addWorker(echo());
  start();
  ask(json(call(1, "read", {{"ms", 700}})));
  EXPECT_LE(workers[0]->requests[0]["call"]["deadline_ms"], 700);
  ask(json(call(2, "read", {{"ms", 99999999}})));
  EXPECT_LE(workers[0]->requests[1]["call"]["deadline_ms"], 20000);
  const json late = ask(json(call(3, "read", {{"ms", 0}})));
  EXPECT_EQ(code(late), -32001);
  EXPECT_EQ(runs(), 2u);
}

// --- Batches
// ------------------------------------------------------------------------------------------------

TEST_F(FrontTest, OfOneBatchOneIsRefusedOneFailsAndOneIsServed) {
  rpc["methods"].push_back({{"name", "stock-out"}, {"class", "write"}});
  rpc["methods"].push_back({{"name", "cut-plan"}, {"class", "read"}});
  addWorker([](Lines& from, const json& request) {
    const std::string what = request["params"]["what"];
    if (what == "refuse") from.say(error(request["id"], -32010, {{"not_run", true}}));
    else if (what == "fail") from.say(error(request["id"], -32603));
    else from.say(result(request["id"], "served"));
  });
  start();
  const json replies =
      ask(json::array({call(1, "cut-plan", {{"what", "serve"}}), call(2, "stock-out", {{"what", "refuse"}}),
                       call(3, "stock-out", {{"what", "fail"}})}));
  ASSERT_TRUE(replies.is_array() && replies.size() == 3) << replies;
  EXPECT_EQ(replies[0], result(1, "served"));
  EXPECT_EQ(code(replies[1]), -32001);
  EXPECT_EQ(code(replies[2]), -32002);
  EXPECT_EQ(std::count_if(workers[0]->requests.begin(), workers[0]->requests.end(),
                          [](const json& r) { return r["params"]["what"] == "fail"; }),
            1)
      << "what may have run is not run again";
}

TEST_F(FrontTest, ASlowEntryDoesNotMakeTheOthersLate) {
  // The slow one has 20 s of its own, and the batch the second of the other.
  rpc["methods"][0]["deadline_ms"] = 1000;
  addWorker([](Lines& from, const json& request) {
    if (request.value("method", "") == "read") from.say(result(request["id"], "fast"));
  });
  start();
  const auto asked = std::chrono::steady_clock::now();
  const json replies = ask(json::array({call(1, "write"), call(2, "read")}));
  ASSERT_TRUE(replies.is_array() && replies.size() == 2) << replies;
  EXPECT_EQ(code(replies[0]), -32002);
  EXPECT_EQ(replies[1], result(2, "fast"));
  // No verdict on time: what the slow one was told it had is the batch's.
  EXPECT_LE(workers[0]->requests[0]["call"]["deadline_ms"], 1000);
  EXPECT_LT(std::chrono::steady_clock::now() - asked, std::chrono::seconds(20));
}

TEST_F(FrontTest, ABatchOfTooManyIsOneErrorAndNothingRuns) {
  addWorker(echo());
  start();
  std::string text = "[";
  for (int i = 0; i < 5000; ++i) text += (i ? "," : "") + notification("write").dump();
  const json reply = ask(text + "]\n");
  EXPECT_EQ(code(reply), -32600);
  std::string larger = "[";
  for (int i = 0; i < 100000; ++i) larger += (i ? "," : "") + call(i, "write").dump();
  auto c = client();
  c->send(larger + "]\n");
  ASSERT_TRUE(until([&] { return c->closedByPeer; }));
  EXPECT_EQ(runs(), 0u);
  EXPECT_EQ(ask(json(call(1, "read")))["id"], 1);
}

// --- Ids
// ----------------------------------------------------------------------------------------------------

TEST_F(FrontTest, TheIdOfAnOpenCallIsNotTakenTwiceWhateverItsSpelling) {
  std::vector<std::pair<std::shared_ptr<Lines>, json>> held;
  addWorker([&](Lines& from, const json& request) { held.emplace_back(from.shared_from_this(), request); });
  start();
  auto c = client();
  c->send("{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"params\":[1],\"id\":1}\n");
  c->send("{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"params\":[2],\"id\":1.0}\n");
  c->send("{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"params\":[3],\"id\":10e-1}\n");
  c->send("{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"params\":[4],\"id\":\"1\"}\n");
  ASSERT_TRUE(until([&] { return c->texts.size() == 2 && held.size() == 2; }));
  for (const json& text : c->texts) {
    EXPECT_EQ(code(text), -32600);
    EXPECT_TRUE(text["id"].is_null()) << "1 has its one reply still to come";
  }
  for (auto& [from, request] : held) from->say(result(request["id"], request["params"]));
  ASSERT_TRUE(until([&] { return c->texts.size() == 4; }));
  EXPECT_EQ(c->reply(1)["result"], json({1}));
  EXPECT_EQ(c->reply("1")["result"], json({4}));
  c->say(call(1, "write", {5}));  // over, so it may be used again
  EXPECT_TRUE(until([&] { return held.size() == 3; }));
}

TEST_F(FrontTest, ABatchWithOneIdTwiceAnswersItOnce) {
  addWorker(echo());
  start();
  const json replies = ask(json::array({call(1, "nothing"), call(1, "write", {2}), call("1", "write", {3})}));
  ASSERT_EQ(replies.size(), 3u);
  EXPECT_EQ(std::count_if(replies.begin(), replies.end(), [](const json& r) { return r["id"] == 1; }), 1);
  EXPECT_EQ(runs(), 1u);
}

// --- Bad input
// ------------------------------------------------------------------------------------------------

struct Bad {
  const char* name;
  std::string bytes;
  int code;  // of the one error; 0: a close will do
};

class BadInput : public RpcTest, public ::testing::WithParamInterface<Bad> {};

TEST_P(BadInput, HasItsErrorOrACloseAndDisturbsNobody) {
  addWorker(echo());
  start();
  auto usual = client();
  usual->say(call(1, "read"));
  auto c = client();
  const auto& bad = GetParam();
  c->send(bad.bytes);
  ASSERT_TRUE(until([&] { return !c->texts.empty() || c->closedByPeer; }));
  if (bad.code != 0) {
    ASSERT_FALSE(c->texts.empty());
    EXPECT_EQ(code(c->texts[0]), bad.code) << c->texts[0];
    EXPECT_TRUE(c->texts[0]["id"].is_null());
  }
  usual->say(call(2, "read"));
  ASSERT_TRUE(until([&] { return usual->texts.size() == 2; }));
  EXPECT_EQ(runs(), 2u) << "nothing of it ran";
}

std::string in(const std::string& params) {
  return "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"id\":1,\"params\":" + params + "}\n";
}
std::string headed(const std::string& length, const std::string& text) {
  return "Content-Length: " + length + "\r\n\r\n" + text;
}

INSTANTIATE_TEST_SUITE_P(
    All, BadInput,
    ::testing::Values(
        Bad{"Nested", in(std::string(10000, '[') + std::string(10000, ']')), -32700},
        Bad{"NestedOpen", in(std::string(100000, '[')), -32700},
        Bad{"Digits", in("[" + std::string(1000000, '7') + "]"), 0},
        Bad{"ManyDigits", in("[" + std::string(100000, '7') + "]"), -32700},
        Bad{"Utf8", in("[\"\xff\xfe\"]"), -32700}, Bad{"Overlong", in("[\"\xc0\xaf\"]"), -32700},
        Bad{"Surrogate", in("[\"\\ud800\"]"), -32700}, Bad{"Control", in("[\"\x01\"]"), -32700},
        Bad{"Twice", "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"method\":\"read\",\"id\":1}\n", -32600},
        Bad{"TwiceEscaped", "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"id\":1,\"\\u0069d\":2}\n", -32600},
        Bad{"IdObject", "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"id\":{}}\n", -32600},
        Bad{"IdTrue", "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"id\":true}\n", -32600},
        Bad{"Version", "{\"jsonrpc\":\"3.0\",\"method\":\"write\",\"id\":1}\n", -32600},
        Bad{"Params", "{\"jsonrpc\":\"2.0\",\"method\":\"write\",\"id\":1,\"params\":7}\n", -32600},
        Bad{"Scalar", "17\n", -32700}, Bad{"Http", "GET /read HTTP/1.1\r\nHost: x\r\n\r\n", -32700},
        Bad{"Noise", "\x16\x03\x01\x02", -32700}, Bad{"Negative", headed("-5", "{}"), -32700},
        Bad{"Huge", headed("99999999999999999999", "{}"), -32700},
        Bad{"Large", headed("900000000", "{}"), -32700}, Bad{"Short", headed("5", in("[]")), -32700},
        Bad{"NoNumber", headed("abc", "{}"), -32700},
        Bad{"Two", "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", -32700},
        Bad{"NoLength", "X-Other: 2\r\n\r\n{}", -32700},
        Bad{"HeadWithoutEnd", "Content-Length: 2\r\nX: " + std::string(5000, 'x'), -32700},
        Bad{"Unfinished", "{\"jsonrpc\":\"2.0\",", -32700}, Bad{"UnfinishedHead", "Content-Len", -32700},
        Bad{"WithoutEnd", "[" + std::string(3 << 20, ' '), 0}),
    [](const auto& info) { return info.param.name; });

TEST_F(FrontTest, AClientThatSendsNothingGoodIsLeft) {
  addWorker(echo());
  start();
  auto c = client();
  for (int i = 0; i < 40; ++i) c->send("{]\n");
  ASSERT_TRUE(until([&] { return c->closedByPeer; }));
  EXPECT_EQ(c->texts.size(), 16u);
}

// Guards against calls that were read behind the last text in error and dropped: each is told that it did not
// run.
TEST_F(FrontTest, ACallReadBehindTheLastTextInErrorIsRejected) {
  addWorker(echo());
  start();
  auto c = client();
  std::string all;
  for (int i = 0; i < 20; ++i) all += "{]\n";
  c->send(all + call(7, "write").dump() + "\n" +
          json::array({call(8, "read"), notification("write")}).dump() + "\n");
  ASSERT_TRUE(until([&] { return c->closedByPeer; }));
  EXPECT_EQ(c->texts.size(), 18u);
  for (const int id : {7, 8}) {
    EXPECT_EQ(code(c->reply(id)), -32001);
    EXPECT_EQ(c->reply(id)["error"]["data"]["retry"], "harmless");
  }
  EXPECT_EQ(runs(), 0u);
}

TEST_F(FrontTest, AKeyThatCouldEndAHeaderIsNotTaken) {
  rpc["workers"]["protocol"] = "http";
  Peer& worker = addHttpWorker([](PeerConnection& c) { c.reply(answerText(200, "", "1")); });
  start();
  EXPECT_EQ(code(ask(json(call(1, "put", {{"key", "k\r\nX-Evil: 1"}})))), -32602);
  EXPECT_EQ(code(ask(json(call(1, "put", {{"key", std::string(300, 'k')}})))), -32602);
  EXPECT_TRUE(worker.requests.empty());
  EXPECT_EQ(ask(json(call(1, "put", {{"key", "k1"}})))["result"], 1);
  EXPECT_EQ(worker.requests.at(0)["Idempotency-Key"], "k1");
}

// --- Bounds
// ---------------------------------------------------------------------------------------------------

TEST_F(FrontTest, ClientsThatPipelineAndReadNothingStayWithinTheBoundAndOthersAreServed) {
  rpc["limits"] = {{"bytes", 1 << 20}, {"open_of_one", 64}, {"unsent_of_one", 65536}};
  rpc["workers"]["streams"] = 64;
  const std::string filler(2000, 'x');
  addWorker([&](Lines& from, const json& request) { from.say(result(request["id"], filler)); });
  start();
  std::vector<std::shared_ptr<Lines>> deaf;
  std::string many;
  for (int i = 0; i < 5000; ++i) many += call(i, "read").dump() + "\n";
  std::size_t most = 0;
  for (int i = 0; i < 10; ++i) {
    tcp::socket socket(io);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(gateway->listeningJsonRpc());
    deaf.push_back(std::make_shared<Lines>(std::move(socket)));
    deaf.back()->deaf = true;
    deaf.back()->send(many);
  }
  for (int i = 0; i < 30; ++i) {
    const json reply = ask(json(call(i, "read")));
    EXPECT_TRUE(reply.is_object());
    most = std::max(most, gateway->jsonRpc()->bytes());
  }
  // The bound, and what one turn of the loop may read before it is looked at: 64 KiB of each connection. With
  // no bound the ten of them would have 100 MB.
  EXPECT_LE(most, (1u << 20) + 30 * (64u << 10));
  EXPECT_GT(most, 0u);
  for (auto& d : deaf) d->close();
  EXPECT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

TEST_F(FrontTest, WhatAConnectionHasOpenIsBoundedAndAllIsAnsweredInTheEnd) {
  rpc["limits"] = {{"open_of_one", 16}};
  std::size_t open = 0, most = 0;
  addWorker([&](Lines& from, const json& request) {
    most = std::max(most, ++open);
    auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(1));
    timer->async_wait([&open, timer, self = from.shared_from_this(), id = request["id"]](error_code) {
      --open;
      self->say(result(id, 1));
    });
  });
  start();
  auto c = client();
  std::string many;
  for (int i = 0; i < 2000; ++i) many += call(i, "write").dump() + "\n";
  c->send(many);
  ASSERT_TRUE(until([&] { return c->texts.size() == 2000; }));
  std::set<int> ids;
  for (const json& text : c->texts) ids.insert(text["id"].get<int>());
  EXPECT_EQ(ids.size(), 2000u);
  EXPECT_LE(most, 16u);
  EXPECT_EQ(gateway->jsonRpc()->openCalls(), 0u);
  EXPECT_EQ(gateway->jsonRpc()->bytes(), 0u);
}

TEST_F(FrontTest, NotificationsOfOneConnectionAreBoundedToo) {
  rpc["limits"] = {{"open_of_one", 16}};
  addWorker(nullptr);
  start();
  auto c = client();
  std::string many;
  for (int i = 0; i < 200; ++i) many += notification("write").dump() + "\n";
  c->send(many);
  ASSERT_TRUE(until([&] { return gateway->jsonRpc()->openCalls() == 16; }));
  for (int i = 0; i < 50; ++i) io.poll();
  EXPECT_EQ(gateway->jsonRpc()->openCalls(), 16u);
}

// --- Drops
// ------------------------------------------------------------------------------------------------------

TEST_F(FrontTest, WithNoSessionADropMeansThatTheClientHasGone) {
  std::shared_ptr<Lines> held;
  Worker& worker = addWorker([&](Lines& from, const json& request) {
    held = from.shared_from_this();
    if (!request.contains("id")) from.say(error(request["params"]["id"], -32800));
  });
  worker.seesCancels = true;
  start();
  auto other = client();
  other->say(call(1, "write"));
  ASSERT_TRUE(until([&] { return worker.requests.size() == 1; }));
  auto c = client();
  c->say(call(1, "write"));
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  c->close();
  ASSERT_TRUE(until([&] { return worker.cancels.size() == 1 && gateway->openRequests() == 1; }));
  EXPECT_EQ(worker.requests.size(), 2u) << "and it is not run again";
  held->say(result(worker.requests[0]["id"], "kept"));
  ASSERT_TRUE(until([&] { return other->texts.size() == 1; }));
  EXPECT_EQ(other->texts[0]["result"], "kept") << "the other call on the worker's connection goes on";
}

class Session : public RpcTest {
 protected:
  static inline const std::string kName = "0123456789abcdef-yard-7";
  std::shared_ptr<Lines> session(bool resume = false) {
    auto c = client();
    json params = {{"name", kName}};
    if (resume) params["resume"] = true;
    c->say(call("s", "rpc.session", params));
    EXPECT_TRUE(until([&] { return !c->texts.empty(); }));
    return c;
  }
};

TEST_F(Session, ARepeatedCallHasTheAnswerOfTheFirstRun) {
  int runsSoFar = 0;
  addWorker([&](Lines& from, const json& request) { from.say(result(request["id"], ++runsSoFar)); });
  start();
  auto first = session();
  EXPECT_EQ(first->texts[0]["result"]["resumed"], false);
  first->say(call(7, "write", {{"log", 1}}));
  ASSERT_TRUE(until([&] { return first->texts.size() == 2; }));
  first->close();
  auto again = session(true);
  EXPECT_EQ(again->texts[0]["result"]["resumed"], true);
  again->say(json::array({call(7, "write", {{"log", 1}}), call(8, "write", {{"log", 2}})}));
  ASSERT_TRUE(until([&] { return again->texts.size() == 2; }));
  EXPECT_EQ(again->reply(7)["result"], 1);
  EXPECT_EQ(again->reply(8)["result"], 2);
  again->say(call(7, "write", {{"log", 3}}));
  ASSERT_TRUE(until([&] { return again->texts.size() == 3; }));
  EXPECT_EQ(code(again->texts[2]), -32600) << "the id was another call's";
  EXPECT_EQ(runs(), 2u);
}

TEST_F(Session, ACallThatRunsWhileItsConnectionDropsIsJoined) {
  std::shared_ptr<Lines> held;
  Worker& worker = addWorker([&](Lines& from, const json&) { held = from.shared_from_this(); });
  start();
  auto first = session();
  first->say(call(7, "write"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  first->reset();
  auto again = session();
  again->say(call(7.0, "write"));
  again->say(call("7", "read"));
  ASSERT_TRUE(until([&] { return worker.requests.size() == 2; }));
  held->say(result(worker.requests[0]["id"], "first run"));
  ASSERT_TRUE(until([&] { return again->texts.size() == 2; }));
  EXPECT_EQ(again->reply(7.0)["result"], "first run");
  EXPECT_TRUE(worker.cancels.empty());
}

// Guards against a repeat that was told that it is harmless to run it again, though its first run had run
// (docs/incidents/session-ended-before-its-answers.md): it stood unread behind the last text that is
// answered.
TEST_F(Session, ARepeatBehindTheLastTextInErrorIsNotToldThatItNeverRan) {
  std::shared_ptr<Lines> held;
  int attempts = 0;
  Worker& worker = addWorker([&](Lines& from, const json& request) {
    if (++attempts == 1) from.say(result(request["id"], "first run"));
    else held = from.shared_from_this();
  });
  start();
  auto first = session();
  first->say(call(7, "write"));
  ASSERT_TRUE(until([&] { return first->texts.size() == 2; }));
  first->say(call(8, "write"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  first->close();
  auto again = session(true);
  std::string texts;
  for (int i = 0; i < 20; ++i) texts += "{]\n";
  for (const int id : {7, 8, 9}) texts += call(id, "write").dump() + "\n";
  again->send(texts + call(7, "write", {{"log", 2}}).dump() + "\n");
  ASSERT_TRUE(until([&] { return again->texts.size() >= 1 + 16 + 3; }));
  EXPECT_EQ(again->reply(7)["result"], "first run");
  EXPECT_EQ(code(again->reply(9)), -32001) << "it did not run";
  EXPECT_EQ(code(again->texts.back()), -32600) << "the id was another call's";
  held->say(result(worker.requests[1]["id"], "still ran"));
  ASSERT_TRUE(until([&] { return again->closedByPeer; }));
  EXPECT_EQ(again->reply(8)["result"], "still ran");
  EXPECT_EQ(runs(), 2u);
}

TEST_F(Session, TheNewestConnectionHasTheSessionAndTheOldOneIsClosed) {
  std::shared_ptr<Lines> held;
  Worker& worker = addWorker([&](Lines& from, const json&) { held = from.shared_from_this(); });
  start();
  auto old = session();
  old->say(call(7, "write"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  auto now = session();
  EXPECT_TRUE(until([&] { return old->closedByPeer; }));
  now->say(call(7, "write"));
  now->say(call(8, "nothing"));
  ASSERT_TRUE(until([&] { return now->texts.size() == 2; }));
  held->say(result(worker.requests[0]["id"], "once"));
  ASSERT_TRUE(until([&] { return now->texts.size() == 3; }));
  EXPECT_EQ(now->reply(7)["result"], "once");
  EXPECT_EQ(old->texts.size(), 1u);
  EXPECT_EQ(runs(), 1u);
}

TEST_F(Session, ARefusedCallNeverRanSoItsRepeatIsAFirstRun) {
  bool full = true;
  addWorker([&](Lines& from, const json& request) {
    if (full) from.say(error(request["id"], -32010, {{"not_run", true}}));
    else from.say(result(request["id"], "ran"));
  });
  start();
  auto c = session();
  c->say(call(1, "write"));
  ASSERT_TRUE(until([&] { return c->texts.size() == 2; }));
  EXPECT_EQ(code(c->texts[1]), -32001);
  full = false;
  for (std::size_t n = 3; c->texts.back().contains("error");
       ++n) {  // the module lets a full host rest for a bit
    c->say(call(1, "write"));
    ASSERT_TRUE(until([&] { return c->texts.size() == n; }));
  }
  EXPECT_EQ(c->texts.back()["result"], "ran");
}

TEST_F(Session, OneThatIsNotHeldIsNotResumedAndNamesAreNotGuessed) {
  addWorker(echo());
  start();
  EXPECT_EQ(code(session(true)->texts[0]), -32003);
  EXPECT_EQ(code(ask(json(call(1, "rpc.session", {{"name", "short"}})))), -32602);
  EXPECT_EQ(code(ask(json(call(1, "rpc.session")))), -32602);
}

TEST_F(Session, AFullTableRefusesAndForgetsNothing) {
  rpc["sessions"] = {{"entries", 2}};
  addWorker(echo());
  start();
  auto c = session();
  for (int id = 1; id <= 3; ++id) c->say(call(id, "write"));
  ASSERT_TRUE(until([&] { return c->texts.size() == 4; }));
  EXPECT_EQ(code(c->reply(3)), -32001);
  EXPECT_EQ(runs(), 2u);
  EXPECT_EQ(gateway->jsonRpc()->sessions().entries(), 2u);
}

// The client reads n bytes of the replies and drops, for every n: the worker's count of runs is one, and in a
// session the repeat has the answer.
class Drops : public Session, public ::testing::WithParamInterface<bool> {};

TEST_P(Drops, AtEveryByteOfTheReplyTheWorkRunsOnce) {
  const bool named = GetParam();
  Worker& worker = addWorker(echo());
  start();
  const std::string text = "{\"jsonrpc\":\"2.0\",\"result\":{\"log\":0},\"id\":0}\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    const std::size_t before = worker.requests.size();
    const std::string id = std::to_string(cut % 10);  // of one digit, so that all replies are as long
    const json asked = call(cut % 10, "write", {{"log", cut % 10}});
    const std::string name = "drop-at-every-byte-" + std::to_string(cut);
    tcp::socket socket(io);
    socket.connect(gateway->listeningJsonRpc());
    std::size_t ahead = 0;
    if (named) {
      asio::write(socket, asio::buffer(call("s", "rpc.session", {{"name", name}}).dump() + "\n"));
      std::string opened(
          std::string("{\"jsonrpc\":\"2.0\",\"result\":{\"resumed\":false,\"ttl_ms\":60000},\"id\":\"s\"}\n")
              .size(),
          ' ');
      std::size_t got = 0;
      socket.non_blocking(true);
      ASSERT_TRUE(until([&] {
        error_code ec;
        got += socket.read_some(asio::buffer(opened.data() + got, opened.size() - got), ec);
        return got == opened.size();
      }));
      ahead = got;
    }
    socket.non_blocking(false);
    asio::write(socket, asio::buffer(asked.dump() + "\n"));
    socket.non_blocking(true);
    std::string part(cut, ' ');
    std::size_t got = 0;
    ASSERT_TRUE(until([&] {
      error_code ec;
      if (got < cut) got += socket.read_some(asio::buffer(part.data() + got, cut - got), ec);
      return got == cut && worker.requests.size() == before + 1;
    })) << ahead;
    EXPECT_EQ(part,
              ("{\"jsonrpc\":\"2.0\",\"result\":{\"log\":" + id + "},\"id\":" + id + "}\n").substr(0, cut));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    ASSERT_TRUE(until([&] { return gateway->jsonRpc()->openCalls() == 0; }));
    if (!named) continue;
    auto again = client();
    again->say(call("s", "rpc.session", {{"name", name}, {"resume", true}}));
    again->say(asked);
    ASSERT_TRUE(until([&] { return again->texts.size() == 2; }));
    EXPECT_EQ(again->texts[1], result(cut % 10, {{"log", cut % 10}}));
    EXPECT_EQ(worker.requests.size(), before + 1) << "at byte " << cut;
    again->close();
  }
  std::set<std::string> names;
  for (const json& r : worker.requests) names.insert(r["call"]["name"].get<std::string>());
  EXPECT_EQ(names.size(), text.size() + 1);
  EXPECT_EQ(worker.requests.size(), text.size() + 1);
}
INSTANTIATE_TEST_SUITE_P(All, Drops, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "InASession" : "WithNoSession"; });

// --- Other protocols behind it and beside it
// ----------------------------------------------------------------------

TEST_F(FrontTest, WorkersMaySpeakHttp) {
  rpc["workers"]["protocol"] = "http";
  rpc["methods"][1]["path"] = "/write/logs";
  Peer& worker = addHttpWorker([](PeerConnection& c) {
    const std::string path = c.request.target().to_string();
    if (path == "/write/logs") c.reply(answerText(200, "", "[1,\n2]"));
    else c.reply(answerText(200, "", "no \"JSON\""));
  });
  start();
  EXPECT_EQ(ask(json(call(1, "write", {{"log", 7}})))["result"], json({1, 2}));
  EXPECT_EQ(ask(json(call(2, "read", {{"a", "b c"}})))["result"], "no \"JSON\"");
  ASSERT_EQ(worker.requests.size(), 2u);
  EXPECT_EQ(worker.requests[0].method(), http::verb::post);
  EXPECT_EQ(json::parse(worker.requests[0].body()), (json{{"log", 7}}));
  EXPECT_FALSE(worker.requests[0]["X-Request-Id"].empty());
  EXPECT_EQ(worker.requests[1].method(), http::verb::get);
  EXPECT_EQ(worker.requests[1].target(), "/read?params=%7B%22a%22:%22b%20c%22%7D");
}

TEST_F(FrontTest, HttpClientsMayHaveJsonRpcWorkers) {
  addWorker([](Lines& from, const json& request) {
    if (request["params"].contains("bad")) from.say(error(request["id"], 9));
    else from.say(result(request["id"], request["params"]));
  });
  start();
  auto c = Client::connect(io, gateway->listening());
  const auto post = [&](const std::string& id, const std::string& body) {
    const std::size_t before = c->answers.size();
    c->send("POST /write/7 HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(until([&] { return c->answers.size() > before; }));
    return c->answers.back();
  };
  EXPECT_EQ(json::parse(post("r1", "{\"log\":7}").body()), (json{{"log", 7}}));
  EXPECT_EQ(json::parse(post("r2", "plain").body()), (json{{"path", "/write/7"}, {"body", "plain"}}));
  EXPECT_EQ(post("r3", "{\"bad\":1}").result_int(), 422u);
  EXPECT_EQ(workers[0]->requests[0]["call"]["name"], "r1");
  EXPECT_EQ(post("\xff\xfe", "{}").result_int(), 502u) << "a name that can't be said in JSON";
  EXPECT_EQ(post("r4", "\xff\xfe").result_int(), 502u);
  EXPECT_EQ(runs(), 3u);
  EXPECT_EQ(workers[0]->connections.size(), 1u);
}

TEST_F(FrontTest, AStopFinishesWhatWasTaken) {
  std::shared_ptr<Lines> held;
  Worker& worker = addWorker([&](Lines& from, const json&) { held = from.shared_from_this(); });
  start();
  auto idle = client(), busy = client();
  busy->say(call(1, "write"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return idle->closedByPeer; }));
  EXPECT_FALSE(done);
  held->say(result(worker.requests[0]["id"], "kept"));
  ASSERT_TRUE(until([&] { return done && busy->closedByPeer; }));
  EXPECT_EQ(busy->texts.at(0)["result"], "kept");
}

}  // namespace
}  // namespace cairnjunction::testing
