#include "app/shutdown_run.hpp"

#include <fstream>
#include <sstream>
#include <utility>

#include "app/gateway.hpp"
#include "jsonrpc/parser.hpp"

namespace cairnjunction::testing {
namespace {

using std::chrono::milliseconds;

const std::string kWarmUp = "request-warm", kFirst = "request-first", kLate = "request-late";
constexpr milliseconds kSlowBodyFor{1900};   // the server ends slower ones
constexpr milliseconds kPipelinedFor{200};   // between sending both requests and the answer to the first
constexpr milliseconds kFirstSendAfter{10};  // behind SIGTERM
constexpr const char* kBody = "\"body\"";

std::string textOfAnswer(RunProtocol endpoint, const std::string& id) {
  if (endpoint == RunProtocol::http) return answerText(200, "", "\"ok\"");
  return R"({"jsonrpc":"2.0","result":"ok","id":)" + id + "}\n";
}

void write(PeerConnection& to, const std::string& text) { to.reply(text); }
void write(Lines& to, const std::string& text) { to.send(text); }

}  // namespace

ShutdownRun::ShutdownRun(asio::io_context& io, const std::string& program, const std::string& folder,
                         ShutdownCase plannedCase)
    : planned(std::move(plannedCase)),
      io_(io),
      program_(program),
      prefix_(folder + "/gateway"),
      discovery_(io) {
  startEndpoint();
  startGateway();
}

ShutdownRun::~ShutdownRun() = default;

// --- The endpoint -----------------------------------------------------------------------------------------

void ShutdownRun::startEndpoint() {
  const auto isNamed = [](const std::string& text, const std::string& name) {
    return text.find(name) != std::string::npos;
  };
  tcp::endpoint endpoint;
  if (planned.endpoint == RunProtocol::http) {
    httpEndpoint_ = std::make_unique<Peer>(io_, [this, isNamed](PeerConnection& c) {
      std::ostringstream request;
      request << c.request;
      onRequest(c, "", !isNamed(request.str(), kLate));
    });
    endpoint = httpEndpoint_->endpoint;
  } else {
    rpcEndpoint_ = std::make_unique<Worker>(io_, [this, isNamed](Lines& from, const json& request) {
      onRequest(from, request["id"].dump(), !isNamed(request.dump(), kLate));
    });
    endpoint = rpcEndpoint_->endpoint;
  }
  if (!planned.fixedPool) discovery_.list.push_back(target("s-0", endpoint));
}

template <class Connection>
void ShutdownRun::onRequest(Connection& connection, const std::string& id, bool isOther) {
  if (isOther) {
    const bool isFirst = stoppedAt_ != Clock::time_point{};
    const auto reply = [this, self = connection.shared_from_this(), id] {
      write(*self, textOfAnswer(planned.endpoint, id));
    };
    return isFirst ? at(planned.takenAt, reply) : reply();
  }
  if (attempts++ < static_cast<std::size_t>(planned.resetsBefore)) return connection.reset();
  answer(connection, id);
}

template <class Connection>
void ShutdownRun::answer(Connection& connection, const std::string& id) {
  for (const AnswerPart& part : planned.answer) {
    std::string text = part.text;
    if (const auto place = text.find("ID"); !id.empty() && place != std::string::npos)
      text.replace(place, 2, id);
    at(killAfter() - part.beforeKill, [self = connection.shared_from_this(), text] { write(*self, text); });
  }
}

// --- The gateway ------------------------------------------------------------------------------------------

json ShutdownRun::configuration(double timeFactor) const {
  const auto nanoseconds = [timeFactor](milliseconds time) {
    return static_cast<std::int64_t>(static_cast<double>(time.count()) * timeFactor * 1e6);
  };
  json config = configJson();
  for (json& grade : config["settings"]["grades"]) {
    grade["aimNs"] = nanoseconds(planned.objective);
    grade["giveUpNs"] = nanoseconds(planned.clientTimeout);
  }
  config["listen"] = textOf(httpPort_->endpoint);
  config["discovery"] = textOf(discovery_.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery_.list}};
  return config;
}

std::string ShutdownRun::routes() const {
  const json location = {{"pattern", "/"}, {"proxy", {{"pool", "fixed"}}}};
  const json pool = {{"name", "fixed"},
                     {"source", "fixed"},
                     {"servers", json::array({{{"address", textOf(httpEndpoint_->endpoint)}}})}};
  return json{{"version", 1},
              {"servers", json::array({{{"locations", json::array({location})}}})},
              {"pools", json::array({pool})}}
      .dump();
}

void ShutdownRun::startGateway() {
  httpPort_ = std::make_unique<ReservedPort>(io_);
  rpcPort_ = std::make_unique<ReservedPort>(io_);
  std::ofstream(prefix_ + ".json") << configuration(1);
  json workers = {{"protocol", planned.endpoint == RunProtocol::http ? "http" : "json-rpc"}};
  if (planned.endpoint == RunProtocol::jsonRpc) workers["streams"] = 8;
  std::ofstream(prefix_ + ".jsonrpc.json") << json{{"listen", textOf(rpcPort_->endpoint)},
                                                   {"methods",
                                                    {{{"name", "read"}, {"class", "read"}},
                                                     {{"name", "write"}, {"class", "write"}},
                                                     {{"name", "put"}, {"class", "put"}, {"key", "/key"}}}},
                                                   {"workers", workers}};
  std::vector<std::string> words{"--config", prefix_ + ".json", "--jsonrpc", prefix_ + ".jsonrpc.json"};
  if (planned.fixedPool) {
    std::ofstream(prefix_ + ".routes.json") << routes();
    words.insert(words.end(), {"--routes", prefix_ + ".routes.json"});
  }
  process_ = std::make_unique<lab::Process>(program_, words, prefix_ + ".log");
}

std::string ShutdownRun::log() const {
  std::ostringstream text;
  text << std::ifstream(prefix_ + ".log").rdbuf();
  return text.str();
}

// --- The client -------------------------------------------------------------------------------------------

bool ShutdownRun::isReady() {
  if (!http_ && !rpc_) warmUp();
  if (isWarm()) return true;
  if (closedByGateway()) {
    http_ = nullptr;
    rpc_ = nullptr;
  }
  return false;
}

bool ShutdownRun::isWarm() const {
  return http_ ? !http_->answers.empty() && http_->answers.front().result_int() == 200
               : rpc_ && !rpc_->texts.empty() && rpc_->texts.front().contains("result");
}

void ShutdownRun::warmUp() {
  const bool isHttp = planned.client == RunProtocol::http;
  tcp::socket probe(io_);
  error_code ec;
  probe.connect(isHttp ? httpPort_->endpoint : rpcPort_->endpoint, ec);
  if (ec) return;
  if (isHttp) {
    http_ = Client::connect(io_, httpPort_->endpoint);
    http_->send(httpRequest(kWarmUp));
  } else {
    rpc_ = Lines::connect(io_, rpcPort_->endpoint);
    rpc_->say(call(kWarmUp, planned.className, {{"name", kWarmUp}, {"key", kWarmUp}}));
  }
}

std::string ShutdownRun::httpRequest(const std::string& id, const std::string& version) const {
  const bool isSafe = planned.className == "read";
  std::string text = (isSafe ? "GET /" : "POST /") + planned.className + "?" + id + " HTTP/" + version +
                     "\r\nHost: x\r\nX-Request-Id: " + id + "\r\n";
  if (planned.className == "put") text += "Idempotency-Key: key-" + id + "\r\n";
  if (isSafe) return text + "\r\n";
  return text + "Content-Length: " + std::to_string(std::string(kBody).size()) + "\r\n\r\n" + kBody;
}

void ShutdownRun::sendRequest() {
  if (planned.client == RunProtocol::http) return sendHttpRequest();
  at(planned.takenAt, [this] {
    rpc_->say(call(kLate, planned.className, {{"name", kLate}, {"key", kLate}}));
  });
}

void ShutdownRun::sendHttpRequest() {
  const std::string text = httpRequest(kLate);
  switch (planned.form) {
    case RequestForm::atOnce: return at(planned.takenAt, [this, text] { http_->send(text); });
    case RequestForm::slowBody:
      at(std::max(planned.takenAt - kSlowBodyFor, kFirstSendAfter),
         [this, text] { http_->send(text.substr(0, text.size() - 1)); });
      return at(planned.takenAt, [this, text] { http_->send(text.substr(text.size() - 1)); });
    case RequestForm::pipelined:
      return at(planned.takenAt - kPipelinedFor, [this, text] { http_->send(httpRequest(kFirst) + text); });
    case RequestForm::http10:
      return at(planned.takenAt, [this] {
        http_ = Client::connect(io_, httpPort_->endpoint);
        http_->send(httpRequest(kLate, "1.0"));
      });
  }
}

RunEnd ShutdownRun::end() const {
  if (rpc_) {
    const json reply = rpc_->reply(kLate);
    if (reply.is_null()) return RunEnd::none;
    if (reply.contains("result")) return RunEnd::served;
    return reply["error"].value("code", 0) == jsonrpc::kRefused ? RunEnd::rejected : RunEnd::failed;
  }
  const Response* const answer = httpAnswer();
  if (answer == nullptr) return RunEnd::none;
  switch (answer->result_int()) {
    case 200: return RunEnd::served;
    case 429:
    case 503: return RunEnd::rejected;
    default: return RunEnd::failed;
  }
}

// Behind those to the requests before it on its connection; null: it has not come whole.
const Response* ShutdownRun::httpAnswer() const {
  std::size_t before = 1;
  if (planned.form == RequestForm::pipelined) before = 2;
  if (planned.form == RequestForm::http10) before = 0;
  return http_ && http_->answers.size() > before ? &http_->answers[before] : nullptr;
}

std::size_t ShutdownRun::answerBytes() const {
  const Response* const answer = httpAnswer();
  return answer == nullptr ? 0 : answer->body().size();
}

bool ShutdownRun::closedByGateway() const {
  return (http_ && http_->closedByPeer) || (rpc_ && rpc_->closedByPeer);
}

// --- The shutdown -----------------------------------------------------------------------------------------

milliseconds ShutdownRun::killAfter() const {
  return std::min<milliseconds>(planned.clientTimeout, kLongestCounted) + kKillSlack;
}

milliseconds ShutdownRun::sinceSigterm() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - stoppedAt_);
}

void ShutdownRun::at(milliseconds time, std::function<void()> action) {
  timers_.push_back(std::make_unique<asio::steady_timer>(io_));
  timers_.back()->expires_at(stoppedAt_ + time);
  timers_.back()->async_wait([action = std::move(action)](error_code ec) {
    if (!ec) action();
  });
}

void ShutdownRun::stop() {
  milliseconds earliest{0};
  for (const SignalAt& each : planned.signals) earliest = std::min(earliest, each.at);
  stoppedAt_ = Clock::now() - earliest;
  std::ofstream(prefix_ + ".json") << configuration(planned.reloadedTimeFactor);
  at(milliseconds(0), [this] { process_->signal(SIGTERM); });
  for (const SignalAt& each : planned.signals)
    at(each.at, [this, signal = each.signal] { process_->signal(signal); });
  sendRequest();
  at(killAfter(), [this] { kill(); });
}

void ShutdownRun::observe() {
  if (!answeredAt_ && end() != RunEnd::none) answeredAt_ = sinceSigterm();
}

void ShutdownRun::kill() {
  process_->signal(SIGKILL);
  process_->wait();
  killed_ = true;
}

std::string ShutdownRun::describe() const {
  return planned.name + ": ended " + std::to_string(static_cast<int>(end())) + " at " +
         (answeredAt_ ? std::to_string(answeredAt_->count()) : "-") + " after " + std::to_string(attempts) +
         " attempts; the gateway's log:\n" + log();
}

}  // namespace cairnjunction::testing
