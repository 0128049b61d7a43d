// Scripted peers that speak JSON-RPC on loopback, on the test's own event loop: clients and workers.
#pragma once

#include <map>
#include <set>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "jsonrpc/frame.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {

// A connection of texts, one a line; of either side.
class Lines : public std::enable_shared_from_this<Lines> {
 public:
  explicit Lines(tcp::socket socket) : socket_(std::move(socket)) {}
  static std::shared_ptr<Lines> connect(asio::io_context& io, const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    auto lines = std::make_shared<Lines>(std::move(socket));
    lines->read();
    return lines;
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) {
        self->closedByPeer = true;
        if (self->onClose) self->onClose();
        return;
      }
      self->received += n;
      self->raw.append(self->chunk_.data(), n);
      std::string_view text;
      while (self->reader_.next(self->raw, text) == jsonrpc::FrameReader::State::frame) {
        self->lines.emplace_back(text);
        self->raw.erase(0, self->reader_.taken());
        self->texts.push_back(json::parse(self->lines.back(), nullptr, false));
        if (self->onText) self->onText(*self, self->texts.back());
      }
      if (self->socket_.is_open() && !self->deaf) self->read();
    });
  }
  void send(const std::string& bytes) {
    auto held = std::make_shared<std::string>(bytes);
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](error_code, std::size_t) {});
  }
  void say(const json& text) { send(text.dump() + "\n"); }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  // The reply with this id, or null.
  json reply(const json& id) const {
    for (const json& text : texts)
      for (const json& each : text.is_array() ? text : json::array({text}))
        if (each.is_object() && each.value("id", json()) == id) return each;
    return nullptr;
  }

  std::vector<std::string> lines;  // as they came
  std::vector<json> texts;
  std::string raw;  // what came and is no whole text yet
  std::size_t received = 0;
  bool closedByPeer = false, deaf = false;
  std::function<void(Lines&, const json&)> onText;
  std::function<void()> onClose;

 private:
  tcp::socket socket_;
  std::array<char, 65536> chunk_;
  jsonrpc::FrameReader reader_{1 << 20};
};

inline json call(const json& id, const std::string& method, json params = json::object()) {
  return {{"jsonrpc", "2.0"}, {"id", id}, {"method", method}, {"params", std::move(params)}};
}
inline json notification(const std::string& method, json params = json::object()) {
  return {{"jsonrpc", "2.0"}, {"method", method}, {"params", std::move(params)}};
}
inline json result(const json& id, const json& value) {
  return {{"jsonrpc", "2.0"}, {"id", id}, {"result", value}};
}
inline json error(const json& id, int code, const json& data = nullptr) {
  json e = {{"jsonrpc", "2.0"}, {"id", id}, {"error", {{"code", code}, {"message", "x"}}}};
  if (!data.is_null()) e["error"]["data"] = data;
  return e;
}

// A worker with a script. It keeps what it was asked to run.
class Worker {
 public:
  using Script = std::function<void(Lines&, const json&)>;
  Worker(asio::io_context& io, Script s) : script(std::move(s)), acceptor_(io, loopback()) {
    endpoint = acceptor_.local_endpoint();
    accept();
  }
  ~Worker() {
    for (auto& c : connections) c->onText = nullptr, c->close();
  }

  tcp::endpoint endpoint;
  Script script;
  std::vector<std::shared_ptr<Lines>> connections;
  std::vector<json> requests;  // without cancels
  std::vector<json> cancels;   // ids
  bool seesCancels = false;    // the script is called for them too

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      auto lines = std::make_shared<Lines>(std::move(socket));
      connections.push_back(lines);
      lines->onText = [this](Lines& from, const json& text) {
        const bool cancel = text.value("method", "") == "rpc.cancel";
        if (cancel) cancels.push_back(text["params"]["id"]);
        else requests.push_back(text);
        if (script && (!cancel || seesCancels)) script(from, text);
      };
      lines->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// A gateway with a JSON-RPC front, before workers of either protocol.
class RpcTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Peer>> httpWorkers;
  json config = configJson();
  json rpc = {{"listen", "127.0.0.1:0"},
              {"methods",
               {{{"name", "read"}, {"class", "read"}},
                {{"name", "write"}, {"class", "write"}},
                {{"name", "put"}, {"class", "put"}, {"key", "/key"}}}},
              {"workers", {{"protocol", "json-rpc"}, {"streams", 8}}}};
  Gateway::Waits waits = longWatches();
  std::unique_ptr<Gateway> gateway;

  Worker& addWorker(Worker::Script script, const std::string& zone = "a") {
    workers.push_back(std::make_unique<Worker>(io, std::move(script)));
    discovery.list.push_back(
        target("s-" + std::to_string(discovery.list.size()), workers.back()->endpoint, zone));
    return *workers.back();
  }
  Peer& addHttpWorker(PeerConnection::Script script) {
    httpWorkers.push_back(std::make_unique<Peer>(io, std::move(script)));
    discovery.list.push_back(
        target("s-" + std::to_string(discovery.list.size()), httpWorkers.back()->endpoint));
    return *httpWorkers.back();
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    Config parsed = parseConfig(config, [](const char*) { return nullptr; });
    jsonrpc::Settings settings = jsonrpc::parseSettings(rpc);
    jsonrpc::resolve(settings, parsed.module);
    gateway = std::make_unique<Gateway>(
        io, parsed, waits, [](const std::string&) {}, settings);
  }
  std::shared_ptr<Lines> client() { return Lines::connect(io, gateway->listeningJsonRpc()); }
  // The one text that comes back on a connection of its own.
  json ask(const std::string& bytes) {
    auto c = client();
    c->send(bytes);
    EXPECT_TRUE(until([&] { return !c->texts.empty() || c->closedByPeer; })) << bytes.substr(0, 200);
    return c->texts.empty() ? json() : c->texts.front();
  }
  json ask(const json& text) { return ask(text.dump() + "\n"); }
  static Worker::Script echo() {
    return [](Lines& from, const json& request) {
      if (request.contains("id")) from.say(result(request["id"], request.value("params", json())));
    };
  }
  void shorten(std::size_t cls) {
    config["settings"]["grades"][cls]["aimNs"] = 400'000'000;
    config["settings"]["grades"][cls]["giveUpNs"] = 1'000'000'000;
  }
  std::size_t runs() const {
    std::size_t n = 0;
    for (const auto& worker : workers) n += worker->requests.size();
    return n;
  }
};

}  // namespace cairnjunction::testing
