// `cairnjunction demo`.
#include "app/demo.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "app/gateway.hpp"
#include "config/routes_file.hpp"
#include "route/router.hpp"
#include "standins/discovery.hpp"
#include "standins/gateway_config.hpp"
#include "standins/worker.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

json demoJsonRpc(const std::string& listen, bool workers) {
  return {
      {"listen", listen},
      {"methods", {{{"name", "cut-plan"}}, {{"name", "stock-out"}}, {{"name", "log-in"}, {"key", "/key"}}}},
      {"workers", {{"protocol", workers ? "json-rpc" : "http"}}}};
}

}  // namespace

int runDemo(const DemoOptions& options, std::ostream& out) {
  asio::io_context io(1);
  asio::signal_set stops(io, SIGTERM, SIGINT);
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  const std::string host = "127.0.0.1:";
  standins::Ledger ledger;
  std::vector<std::unique_ptr<standins::StandInWorker>> workers;
  standins::StandInDiscovery discovery(io, any);
  standins::WorkerOptions work;
  work.workLeast = std::chrono::milliseconds(40);
  work.workMost = std::chrono::milliseconds(120);
  for (std::size_t i = 0; i < options.workers; ++i, ++work.seed) {
    workers.push_back(std::make_unique<standins::StandInWorker>(io, any, work, ledger));
    discovery.set("s-" + std::to_string(i), workers.back()->listening(), i % 2 ? "cluj" : "brasov");
  }
  json file =
      standins::gatewayConfig("demo", host + std::to_string(options.http), textOf(discovery.listening()));
  file["known"] = discovery.list();
  Config config = parseConfig(file, [](const char*) { return nullptr; });
  jsonrpc::Settings settings =
      jsonrpc::parseSettings(demoJsonRpc(host + std::to_string(options.jsonRpc), options.jsonRpcWorkers));
  jsonrpc::resolve(settings, config.module);
  std::shared_ptr<const route::Router> router;
  if (!options.routes.empty()) {
    route::Routes routes = readRoutes(options.routes);
    std::size_t next = 0;
    for (route::Pool& pool : routes.pools)
      for (route::PoolServer& server : pool.servers)
        server.address = textOf(workers[next++ % workers.size()]->listening());
    router = std::make_shared<route::Router>(std::move(routes));
  }
  Gateway gateway(
      io, config, {}, [](const std::string&) {}, settings, router);
  const std::string http = textOf(gateway.listening()), rpc = textOf(gateway.listeningJsonRpc());
  const std::string port = std::to_string(gateway.listeningJsonRpc().port());
  out << "gateway for HTTP at " << http << ", for JSON-RPC at " << rpc << "; " << options.workers
      << " workers, by " << (options.jsonRpcWorkers ? "JSON-RPC" : "HTTP") << "\n"
      << (router ? "HTTP goes by " + options.routes + ", whose pools are these workers\n\n" : "\n")
      << "  curl -i http://" << http << "/cut-plan/log-7 -H 'X-Request-Id: r1'\n"
      << "  curl -i http://" << http << "/stock-out -H 'X-Request-Id: r2' -d '{\"log\":7}'\n"
      << "  bash -c 'exec 3<>/dev/tcp/127.0.0.1/" << port
      << "; echo "
         "\"{\\\"jsonrpc\\\":\\\"2.0\\\",\\\"id\\\":1,\\\"method\\\":\\\"stock-out\\\",\\\"params\\\":{"
         "\\\"log\\\":7}}\" "
         ">&3; head -n1 <&3'\n\nCtrl-C ends it.\n"
      << std::flush;
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) gateway.drain([&] { io.stop(); });
  });
  io.run();
  out << "the workers ran " << ledger.runs() << " calls\n";
  return 0;
}

}  // namespace cairnjunction
