// What the client of a call is told whose first attempt has gone wrong in each way, and its second one too.
// If an attempt may have executed a keyed or an unsafe call, it is failed and never rejected, since a
// rejection says that a repeat is harmless. Each case has a gateway, two endpoints and a client of its own on
// loopback; the cases of a test run at the same time.
#include <boost/asio/steady_timer.hpp>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/peers.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kObjective{1000}, kClientTimeout{2000};
// Of an answer in pieces: behind the objective, and when the engine awaits no more than the rest of it.
constexpr milliseconds kRestBehindObjective{1300}, kRestAtClientTimeout{2050};

enum class Protocol { http, jsonRpc };

// What an endpoint does with one attempt.
struct Behaviour {
  const char* name = "";
  std::string answer = {};  // of an endpoint over JSON-RPC: ID stands for the request's id
  std::size_t firstBytes = std::string::npos;
  milliseconds restAfter{};
  bool thenReset = false;
};

const std::string kTurnedAway = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kRpcTurnedAway =
    R"({"jsonrpc":"2.0","error":{"code":-32001,"message":"x","data":{"not_run":true}},"id":ID})"
    "\n";
const std::string kRpcError = R"({"jsonrpc":"2.0","error":{"code":-32000,"message":"x"},"id":ID})"
                              "\n";

// The ends of an attempt that may have executed its call.
std::vector<Behaviour> mayHaveRun(Protocol endpoints) {
  if (endpoints == Protocol::jsonRpc)
    return {{.name = "reset", .thenReset = true},
            {.name = "error", .answer = kRpcError},
            {.name = "no answer to the call", .answer = "{}\n"}};
  return {
      {.name = "reset", .thenReset = true},
      {.name = "500", .answer = answerText(500, "", "")},
      {.name = "429", .answer = answerText(429, "", "")},
      {.name = "503 that may have run", .answer = answerText(503, "", "")},
      {.name = "broken answer", .answer = "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nbo", .thenReset = true},
      {.name = "no answer", .answer = "x\r\n\r\n"}};
}

// The ends of an attempt that was not executed: at once, behind the objective, behind the client's time.
std::vector<Behaviour> neverRan(Protocol endpoints) {
  const bool http = endpoints == Protocol::http;
  const std::string& answer = http ? kTurnedAway : kRpcTurnedAway;
  return {{.name = "turned away", .answer = answer},
          {.name = "turned away late", .answer = answer, .firstBytes = 16, .restAfter = kRestBehindObjective},
          {.name = "turned away at the client's time",
           .answer = answer,
           .firstBytes = 16,
           .restAfter = kRestAtClientTimeout}};
}

std::vector<Behaviour> unknown() { return {{.name = "silent"}, {.name = "half a head", .answer = "HT"}}; }

std::vector<Behaviour> joined(std::vector<Behaviour> all, const std::vector<Behaviour>& more) {
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

class Case {
 public:
  struct Setting {
    Protocol clients = Protocol::http, endpoints = Protocol::http;
    std::string className, dedupScope = "zone";
    milliseconds objective = kObjective, clientTimeout = kClientTimeout;
  };

  Case(asio::io_context& io, const Setting& setting, std::vector<Behaviour> behaviours)
      : name(setting.className + ": " + behaviours.at(0).name + ", then " + behaviours.at(1).name),
        io_(io),
        setting_(setting),
        behaviours_(std::move(behaviours)),
        discovery_(io) {
    for (int i = 0; i < 2; ++i) addEndpoint();
    startGateway();
    if (setting_.clients == Protocol::http) callOverHttp();
    else callOverJsonRpc();
  }

  bool isAnswered() const { return http_ ? !http_->answers.empty() : !rpc_->texts.empty(); }
  bool isRejected() const {
    if (!http_) return rpc_->texts.front()["error"].value("code", 0) == jsonrpc::kRefused;
    const unsigned status = http_->answers.front().result_int();
    return status == 503 || status == 429;
  }
  bool isServed() const {
    return http_ ? http_->answers.front().result_int() == 200 : rpc_->texts.front().contains("result");
  }

  const std::string name;
  std::size_t attempts = 0;
  std::unique_ptr<Gateway> gateway;

 private:
  void addEndpoint() {
    const std::string uid = "s-" + std::to_string(discovery_.list.size());
    if (setting_.endpoints == Protocol::http) {
      httpEndpoints_.push_back(std::make_unique<Peer>(io_, [this](PeerConnection& c) { behave(c, ""); }));
      discovery_.list.push_back(target(uid, httpEndpoints_.back()->endpoint));
    } else {
      rpcEndpoints_.push_back(std::make_unique<Worker>(
          io_, [this](Lines& from, const json& request) { behave(from, request["id"].dump()); }));
      discovery_.list.push_back(target(uid, rpcEndpoints_.back()->endpoint));
    }
  }

  static void write(PeerConnection& to, const std::string& text) { to.reply(text); }
  static void write(Lines& to, const std::string& text) { to.send(text); }
  static void resetBehind(PeerConnection& c, const std::string& text) {
    if (text.empty()) c.reset();
    else c.replyThenReset(text);
  }
  static void resetBehind(Lines& lines, const std::string&) { lines.reset(); }

  template <class Connection>
  void behave(Connection& connection, const std::string& id) {
    if (attempts >= behaviours_.size()) return;
    const Behaviour& behaviour = behaviours_[attempts++];
    std::string answer = behaviour.answer;
    if (const auto at = answer.find("ID"); !id.empty() && at != std::string::npos) answer.replace(at, 2, id);
    if (behaviour.thenReset) return resetBehind(connection, answer);
    if (answer.empty()) return;
    write(connection, answer.substr(0, behaviour.firstBytes));
    if (behaviour.firstBytes >= answer.size()) return;
    rest_ = std::make_unique<asio::steady_timer>(io_, behaviour.restAfter);
    rest_->async_wait(
        [self = connection.shared_from_this(), rest = answer.substr(behaviour.firstBytes)](error_code ec) {
          if (!ec) write(*self, rest);
        });
  }

  void startGateway() {
    json config = configJson();
    for (json& grade : config["settings"]["grades"]) {
      grade["aimNs"] = std::chrono::nanoseconds(setting_.objective).count();
      grade["giveUpNs"] = std::chrono::nanoseconds(setting_.clientTimeout).count();
      if (grade["effect"] == "dedup") grade["group"] = setting_.dedupScope;
    }
    config["discovery"] = textOf(discovery_.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery_.list}};
    const json rpc = {
        {"listen", "127.0.0.1:0"},
        {"methods",
         {{{"name", "read"}, {"class", "read"}},
          {{"name", "write"}, {"class", "write"}},
          {{"name", "put"}, {"class", "put"}, {"key", "/key"}}}},
        {"workers",
         {{"protocol", setting_.endpoints == Protocol::http ? "http" : "json-rpc"}, {"streams", 8}}}};
    Config parsed = parseConfig(config, [](const char*) { return nullptr; });
    jsonrpc::Settings settings = jsonrpc::parseSettings(rpc);
    jsonrpc::resolve(settings, parsed.module);
    gateway = std::make_unique<Gateway>(
        io_, parsed, longWatches(), [](const std::string&) {}, settings);
  }

  void callOverHttp() {
    http_ = Client::connect(io_, gateway->listening());
    const bool safe = setting_.className == "read";
    http_->send((safe ? "GET /" : "POST /") + setting_.className +
                " HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n" +
                (safe ? "\r\n" : "Idempotency-Key: k1\r\nContent-Length: 0\r\n\r\n"));
  }
  void callOverJsonRpc() {
    rpc_ = Lines::connect(io_, gateway->listeningJsonRpc());
    rpc_->say(call(1, setting_.className, {{"key", "k1"}}));
  }

  asio::io_context& io_;
  const Setting setting_;
  const std::vector<Behaviour> behaviours_;  // of the attempts, in their order
  FakeDiscovery discovery_;
  std::vector<std::unique_ptr<Peer>> httpEndpoints_;
  std::vector<std::unique_ptr<Worker>> rpcEndpoints_;
  std::unique_ptr<asio::steady_timer> rest_;
  std::shared_ptr<Client> http_;  // of the client's connections one is there
  std::shared_ptr<Lines> rpc_;
};

struct Protocols {
  Protocol clients, endpoints;
};

class RefusalTest : public LoopTest, public ::testing::WithParamInterface<Protocols> {
 protected:
  Case::Setting setting(const std::string& className) const {
    Case::Setting setting;
    setting.clients = GetParam().clients;
    setting.endpoints = GetParam().endpoints;
    setting.className = className;
    return setting;
  }
  void add(const Case::Setting& setting, const std::vector<Behaviour>& firsts,
           const std::vector<Behaviour>& seconds) {
    for (const Behaviour& first : firsts)
      for (const Behaviour& second : seconds)
        cases.push_back(std::make_unique<Case>(io, setting, std::vector<Behaviour>{first, second}));
  }
  void answerAll() {
    ASSERT_TRUE(until([&] {
      return std::all_of(cases.begin(), cases.end(), [](const auto& c) { return c->isAnswered(); });
    }));
  }
  void expectAll(bool rejected) {
    answerAll();
    for (const auto& each : cases) {
      if (!each->isAnswered()) continue;
      EXPECT_EQ(each->attempts, 2u) << each->name;
      EXPECT_FALSE(each->isServed()) << each->name;
      EXPECT_EQ(each->isRejected(), rejected) << each->name;
    }
  }
  std::vector<Behaviour> mayHaveRunFirst() const { return mayHaveRun(GetParam().endpoints); }
  std::vector<Behaviour> neverRanAtAll() const { return neverRan(GetParam().endpoints); }
  // Behind the objective, so that there is no third attempt.
  std::vector<Behaviour> neverRanLate() const {
    const std::vector<Behaviour> all = neverRanAtAll();
    return {all.begin() + 1, all.end()};
  }
  std::vector<Behaviour> anything() const {
    return joined(joined(mayHaveRunFirst(), neverRanAtAll()), unknown());
  }

  std::vector<std::unique_ptr<Case>> cases;
};

// A keyed call that had run was rejected when its second attempt was turned away late, and ran twice when its
// client believed that.
TEST_P(RefusalTest, KeyedCallThatMayHaveRunIsFailedWhateverItsSecondAttemptComesTo) {
  add(setting("put"), mayHaveRunFirst(), anything());
  expectAll(false);
}

// Its repeat may come behind the dedup window, also where all endpoints drop duplicates.
TEST_P(RefusalTest, KeyedCallThatAllEndpointsDeduplicateIsFailedToo) {
  Case::Setting deduplicatedByAll = setting("put");
  deduplicatedByAll.dedupScope = "all";
  add(deduplicatedByAll, mayHaveRunFirst(), anything());
  expectAll(false);
}

TEST_P(RefusalTest, CallWhoseSecondAttemptMayHaveRunIsFailed) {
  for (const char* className : {"put", "write"})
    add(setting(className), {neverRanAtAll().front()}, joined(mayHaveRunFirst(), unknown()));
  answerAll();
  for (const auto& each : cases) EXPECT_FALSE(each->isRejected()) << each->name;
}

TEST_P(RefusalTest, CallThatNeverRanIsRejected) {
  for (const char* className : {"put", "write", "read"})
    add(setting(className), {neverRanAtAll().front()}, neverRanLate());
  expectAll(true);
}

// The process is about to be killed while the second attempt is under way.
TEST_P(RefusalTest, KeyedCallThatMayHaveRunIsFailedInAStop) {
  Case::Setting beyondTheKill = setting("put");
  beyondTheKill.objective = beyondTheKill.clientTimeout = std::chrono::minutes(10);
  add(beyondTheKill, mayHaveRunFirst(), unknown());
  ASSERT_TRUE(until([&] {
    return std::all_of(cases.begin(), cases.end(), [](const auto& c) { return c->attempts == 2; });
  }));
  for (const auto& each : cases) each->gateway->drain([] {});
  expectAll(false);
}

INSTANTIATE_TEST_SUITE_P(
    Protocols, RefusalTest,
    ::testing::Values(Protocols{Protocol::http, Protocol::http}, Protocols{Protocol::http, Protocol::jsonRpc},
                      Protocols{Protocol::jsonRpc, Protocol::http},
                      Protocols{Protocol::jsonRpc, Protocol::jsonRpc}),
    [](const auto& info) {
      const auto nameOf = [](Protocol p) { return p == Protocol::http ? "Http" : "JsonRpc"; };
      return std::string(nameOf(info.param.clients)) + "To" + nameOf(info.param.endpoints);
    });

}  // namespace
}  // namespace cairnjunction::testing
