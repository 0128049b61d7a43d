// Measures JSON-RPC: the cost of a call beside HTTP on the same work, the Monday-morning burst with peers
// that fail and drop, and the memory of a connection. Prints tables, and for the burst what the counts are.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <memory>

#include "bench/support.hpp"
#include "standins/replay.hpp"
#include "standins/worker.hpp"

namespace cairnjunction::bench {
namespace {

using boost::system::error_code;
using standins::Ledger;
using standins::Replay;
using standins::ReplayOptions;
using standins::ReplayReport;
using standins::StandInWorker;
using standins::WorkerOptions;

// Workers on a thread of their own; the ledger may be read once they are stopped.
class Fleet {
 public:
  Fleet(std::size_t count, WorkerOptions options) {
    known_ = {{"rev", 1}, {"all", true}, {"targets", json::array()}};
    for (std::size_t i = 0; i < count; ++i, ++options.seed) {
      workers_.push_back(std::make_unique<StandInWorker>(
          io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), options, ledger_));
      known_["targets"].push_back({{"uid", "s-" + std::to_string(i)},
                                   {"endpoint", textOf(workers_.back()->listening())},
                                   {"az", i % 2 ? "b" : "a"},
                                   {"state", "SERVING"}});
    }
    thread_ = std::thread([this] {
      const auto work = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~Fleet() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    io_.stop();
    thread_.join();
  }
  const json& known() const { return known_; }
  const Ledger& ledger() const { return ledger_; }

 private:
  asio::io_context io_;
  Ledger ledger_;
  std::vector<std::unique_ptr<StandInWorker>> workers_;
  json known_;
  std::thread thread_;
};

// A client of HTTP: one request at a time, the next when it is answered.
class HttpPlayer : public std::enable_shared_from_this<HttpPlayer> {
 public:
  HttpPlayer(asio::io_context& io, std::size_t number, std::size_t& left, std::size_t& served)
      : socket_(io), number_(number), left_(left), served_(served) {}
  void start(const tcp::endpoint& to) {
    socket_.connect(to);
    socket_.set_option(tcp::no_delay(true));
    ask();
  }

 private:
  void ask() {
    if (left_ == 0) return socket_.close();
    --left_;
    const std::string ref = std::to_string(number_) + "-" + std::to_string(++last_);
    const std::string body = "{\"ref\":\"" + ref + "\",\"key\":\"" + ref + "\"}";
    out_ = "POST /stock-out HTTP/1.1\r\nHost: bench\r\nX-Request-Id: " + ref +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec) self->read();
    });
  }
  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) return;
      self->in_.append(self->chunk_.data(), n);
      const std::size_t head = self->in_.find("\r\n\r\n"), at = self->in_.find("Content-Length: ");
      if (head == std::string::npos || at > head) return self->read();
      if (self->in_.size() < head + 4 + std::stoul(self->in_.substr(at + 16))) return self->read();
      self->served_ += self->in_.compare(9, 3, "200") == 0;
      self->in_.clear();
      self->ask();
    });
  }
  tcp::socket socket_;
  std::size_t number_, last_ = 0;
  std::size_t& left_;
  std::size_t& served_;
  std::string in_, out_;
  std::array<char, 4096> chunk_;
};

struct Cost {
  std::string what;
  double perSecond = 0, cpuMicros = 0;
  std::uint64_t served = 0, calls = 0;
};

Cost measureHttp(const std::string& program, std::size_t calls, std::size_t connections, const char* what) {
  Fleet fleet(10, {});
  const tcp::endpoint listen = freePort();
  GatewayProcess gateway(program, gatewayConfig(listen, fleet.known(), 20), nullptr);
  asio::io_context io;
  std::size_t left = calls, served = 0;
  const double cpu = gateway.cpuSeconds();
  const auto began = std::chrono::steady_clock::now();
  std::vector<std::shared_ptr<HttpPlayer>> players;
  for (std::size_t i = 0; i < connections; ++i) {
    players.push_back(std::make_shared<HttpPlayer>(io, i, left, served));
    players.back()->start(listen);
  }
  io.run_for(std::chrono::seconds(120));
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  const auto n = static_cast<double>(calls);
  return {what, n / seconds, (gateway.cpuSeconds() - cpu) / n * 1e6, served, calls};
}

Cost measureRpc(const std::string& program, std::size_t calls, std::size_t connections, std::size_t batch,
                bool rpcWorkers, const char* what) {
  Fleet fleet(10, {});
  const tcp::endpoint http = freePort(), listen = freePort();
  const json settings = jsonRpcSettings(listen, rpcWorkers);
  GatewayProcess gateway(program, gatewayConfig(http, fleet.known(), 20), &settings);
  asio::io_context io;
  ReplayOptions options;
  options.to = listen;
  options.calls = calls;
  options.connections = connections;
  options.batchLeast = options.batchMost = batch;
  options.cutPlans = 0;
  options.stockOuts = 100;
  const double cpu = gateway.cpuSeconds();
  Replay replay(io, options, [&] { io.stop(); });
  replay.start();
  io.run();
  const ReplayReport r = replay.report();
  const auto n = static_cast<double>(r.calls);
  return {what, n / r.seconds, (gateway.cpuSeconds() - cpu) / n * 1e6, r.served, r.calls};
}

void print(const std::vector<Cost>& rows) {
  std::printf("%-44s %12s %12s %8s\n", "", "calls a s", "CPU us/call", "served");
  for (const Cost& row : rows)
    std::printf("%-44s %12.0f %12.2f %7.2f%%\n", row.what.c_str(), row.perSecond, row.cpuMicros,
                100.0 * static_cast<double>(row.served) / static_cast<double>(row.calls));
  std::fflush(stdout);
}

int burst(const std::string& program, std::size_t calls, std::size_t connections, bool rpcWorkers,
          std::uint64_t seed) {
  WorkerOptions options;
  options.seed = seed;
  options.workLeast = std::chrono::microseconds(200);
  options.workMost = std::chrono::microseconds(2000);
  options.fail = 0.01;
  options.turnAway = 0.01;
  options.dropAfter = 0.0005;
  options.dropBefore = 0.0005;
  options.silent = 0.0002;
  Fleet fleet(14, options);
  const tcp::endpoint http = freePort(), listen = freePort();
  const json settings = jsonRpcSettings(listen, rpcWorkers);
  GatewayProcess gateway(program, gatewayConfig(http, fleet.known(), 2), &settings);
  asio::io_context io;
  ReplayOptions replayed;
  replayed.to = listen;
  replayed.calls = calls;
  replayed.connections = connections;
  replayed.batchMost = 40;
  replayed.drop = 0.02;
  replayed.sessions = true;
  replayed.seed = seed;
  replayed.most = std::chrono::seconds(300);
  const double cpu = gateway.cpuSeconds();
  Replay replay(io, replayed, [&] { io.stop(); });
  replay.start();
  io.run();
  const ReplayReport report = replay.report();
  std::printf("\nMonday-morning burst, %zu connections in sessions, workers speak %s\n%s", connections,
              rpcWorkers ? "JSON-RPC" : "HTTP", report.text().c_str());
  std::printf("gateway: %.2f us of CPU a call, %.0f KB resident at the end\n",
              (gateway.cpuSeconds() - cpu) / static_cast<double>(report.calls) * 1e6, gateway.residentKb());
  const bool alive = gateway.running();
  fleet.stop();
  const std::uint64_t twice = fleet.ledger().ranTwice("stock-out");
  std::printf("workers: %llu runs, stock-out run twice: %llu\n",
              static_cast<unsigned long long>(fleet.ledger().runs()), static_cast<unsigned long long>(twice));
  std::fflush(stdout);
  return report.exactlyOnce() && twice == 0 && alive ? 0 : 1;
}

void memory(const std::string& program, std::size_t connections) {
  Fleet fleet(1, {});
  const tcp::endpoint http = freePort(), listen = freePort();
  const json settings = jsonRpcSettings(listen, true);
  GatewayProcess gateway(program, gatewayConfig(http, fleet.known(), 20), &settings);
  asio::io_context io;
  std::vector<tcp::socket> sockets;
  const auto say = [&](const std::string& bytes) {
    for (tcp::socket& socket : sockets) {
      asio::write(socket, asio::buffer(bytes));
      std::array<char, 4096> answer;
      socket.read_some(asio::buffer(answer));
    }
  };
  const auto connect = [&](std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      sockets.emplace_back(io);
      sockets.back().connect(listen);
    }
  };
  const std::string ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"stock-out\",\"params\":{}}\n";
  connect(10);
  say(ping);
  const double before = gateway.residentKb();
  connect(connections);
  say(ping);
  const double after = gateway.residentKb();
  std::printf("\nmemory: %.2f KB a connection that has asked once and is idle (%zu of them)\n",
              (after - before) / static_cast<double>(connections), connections);
}

}  // namespace
}  // namespace cairnjunction::bench

int main(int argc, char** argv) {
  using namespace cairnjunction::bench;
  CLI::App app{"Measures JSON-RPC on loopback: cost a call beside HTTP, the Monday-morning burst, memory."};
  std::string program, before;
  std::size_t calls = 200'000, connections = 500;
  int rounds = 3;
  app.add_option("--program", program, "the gateway")->required();
  app.add_option("--before", before, "an older one, for HTTP in the same run");
  app.add_option("--calls", calls, "of each measurement")
      ->check(CLI::Range(1000, 5'000'000))
      ->capture_default_str();
  app.add_option("--connections", connections, "of the burst")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--rounds", rounds, "of the costs")->check(CLI::Range(0, 20))->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    for (int round = 0; round < rounds; ++round) {
      std::vector<Cost> rows;
      if (!before.empty()) rows.push_back(measureHttp(before, calls, 64, "HTTP, the older program"));
      rows.push_back(measureHttp(program, calls, 64, "HTTP"));
      rows.push_back(measureRpc(program, calls, 64, 1, true, "JSON-RPC, single, workers JSON-RPC"));
      rows.push_back(measureRpc(program, calls, 64, 20, true, "JSON-RPC, batches of 20, workers JSON-RPC"));
      rows.push_back(measureRpc(program, calls, 64, 100, true, "JSON-RPC, batches of 100, workers JSON-RPC"));
      rows.push_back(measureRpc(program, calls, 64, 20, false, "JSON-RPC, batches of 20, workers HTTP"));
      print(rows);
    }
    int code = burst(program, calls, connections, true, 11);
    code |= burst(program, calls, connections, false, 12);
    memory(program, 1000);
    return code;
  } catch (const std::exception& bad) {
    std::cerr << "bench: " << bad.what() << '\n';
    return 2;
  }
}
