// What the measurements share: the gateway as a process of its own, and what it used.
#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace cairnjunction::bench {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

inline std::string textOf(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

inline tcp::endpoint freePort() {
  asio::io_context io;
  tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  return probe.local_endpoint();
}

inline json classOf(const char* name, const char* effect, double worth, double seconds) {
  const auto ns = static_cast<std::int64_t>(seconds * 1e9);
  return {{"name", name}, {"effect", effect}, {"group", "zone"},          {"points", worth},
          {"aimNs", ns},  {"giveUpNs", ns},   {"windowNs", 2'000'000'000}};
}

inline json gatewayConfig(const tcp::endpoint& listen, const json& known, double seconds) {
  return {{"name", "bench"},
          {"listen", textOf(listen)},
          {"discovery", "127.0.0.1:1"},
          {"known", known},
          {"limits", {{"sockets", 4096}, {"memory_mb", 512}}},
          {"settings",
           {{"zone", "a"},
            {"stepNs", 1'000'000},
            {"ceilings",
             {{"cancel", true},
              {"maxAttempts", 6},
              {"idleCloseNs", 60'000'000'000},
              {"connectTimeoutNs", 1'000'000'000}}},
            {"grades",
             {classOf("cut-plan", "retryable", 12, seconds), classOf("stock-out", "fragile", 1, seconds),
              classOf("log-in", "dedup", 1, seconds)}}}}};
}

inline json jsonRpcSettings(const tcp::endpoint& listen, bool rpcWorkers) {
  return {
      {"listen", textOf(listen)},
      {"methods", {{{"name", "cut-plan"}}, {{"name", "stock-out"}}, {{"name", "log-in"}, {"key", "/key"}}}},
      {"limits", {{"connections", 2000}, {"bytes", 64 << 20}}},
      {"sessions", {{"sessions", 2000}, {"entries", 400000}, {"bytes", 64 << 20}}},
      {"workers", {{"protocol", rpcWorkers ? "json-rpc" : "http"}, {"streams", 64}}}};
}

// The gateway as a process; ended by SIGTERM with the object.
class GatewayProcess {
 public:
  GatewayProcess(const std::string& program, const json& config, const json* jsonRpc) {
    char directory[] = "/tmp/cairnjunction-bench-XXXXXX";
    if (!mkdtemp(directory)) throw std::runtime_error("no directory for the configuration");
    directory_ = directory;
    std::ofstream(directory_ + "/config.json") << config.dump();
    std::vector<std::string> words{program};
    if (jsonRpc) {
      std::ofstream(directory_ + "/jsonrpc.json") << jsonRpc->dump();
      words.insert(words.end(), {"--jsonrpc", directory_ + "/jsonrpc.json"});
    }
    std::string variable = "GW_CONFIG=" + directory_ + "/config.json";
    std::vector<char*> argv, env{variable.data(), nullptr};
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    if (posix_spawn(&pid_, program.c_str(), nullptr, nullptr, argv.data(), env.data()) != 0)
      throw std::runtime_error("cannot start " + program);
    waitFor(config["listen"]);
    if (jsonRpc) waitFor((*jsonRpc)["listen"]);
  }
  ~GatewayProcess() {
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
    std::remove((directory_ + "/config.json").c_str());
    std::remove((directory_ + "/jsonrpc.json").c_str());
    rmdir(directory_.c_str());
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  double cpuSeconds() const {  // user and system, of /proc/PID/schedstat: nanoseconds on the processor
    std::ifstream file("/proc/" + std::to_string(pid_) + "/schedstat");
    double ns = 0;
    file >> ns;
    return ns / 1e9;
  }
  double residentKb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line))
      if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6));
    return 0;
  }
  bool running() const { return kill(pid_, 0) == 0; }

 private:
  static void waitFor(const std::string& at) {
    const std::size_t colon = at.rfind(':');
    const tcp::endpoint endpoint(asio::ip::make_address(at.substr(0, colon)),
                                 static_cast<unsigned short>(std::stoi(at.substr(colon + 1))));
    asio::io_context io;
    for (int i = 0; i < 500; ++i) {
      tcp::socket socket(io);
      boost::system::error_code ec;
      socket.connect(endpoint, ec);
      if (!ec) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    throw std::runtime_error("the gateway does not listen at " + at);
  }

  pid_t pid_ = 0;
  std::string directory_;
};

}  // namespace cairnjunction::bench
