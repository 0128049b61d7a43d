// The replaying client as a program. Exit code 0: each call was answered exactly once.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

#include "discovery/endpoint_list.hpp"
#include "standins/replay.hpp"

int main(int argc, char** argv) {
  using namespace cairnjunction::standins;
  CLI::App app{
      "Replays a burst of JSON-RPC calls (cut-plan, stock-out, log-in) in mixed batches and counts the "
      "answers by id. Exit code 0: each exactly once; 1: not so."};
  ReplayOptions options;
  std::string to = "127.0.0.1:9090";
  std::size_t padding = 0;
  int most = 120;
  app.add_option("--to", to, "the gateway's JSON-RPC listener, on loopback")->capture_default_str();
  app.add_option("--calls", options.calls, "over all connections")
      ->check(CLI::Range(1, 10'000'000))
      ->capture_default_str();
  app.add_option("--connections", options.connections, "")
      ->check(CLI::Range(1, 20'000))
      ->capture_default_str();
  app.add_option("--batch-least", options.batchLeast, "entries of a text, at least")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--batch-most", options.batchMost, "and at most")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  app.add_option("--drop", options.drop, "share of the texts behind which the connection is dropped")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app.add_flag("--sessions", options.sessions, "open named sessions and repeat what was not answered");
  app.add_option("--padding", padding, "bytes more in the params of each call")->check(CLI::Range(0, 60'000));
  app.add_option("--seconds", most, "the run ends then")->check(CLI::Range(1, 600))->capture_default_str();
  app.add_option("--seed", options.seed, "of what is drawn")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    options.to = cairnjunction::parseEndpoint(to);
    if (!options.to.address().is_loopback()) throw std::invalid_argument("--to must be a loopback address");
    options.batchMost = std::max(options.batchLeast, options.batchMost);
    options.padding.assign(padding, 'x');
    options.most = std::chrono::seconds(most);
    boost::asio::io_context io(1);
    Replay replay(io, options, [&] { io.stop(); });
    replay.start();
    io.run();
    const ReplayReport report = replay.report();
    std::cout << report.text();
    return report.exactlyOnce() ? 0 : 1;
  } catch (const std::exception& bad) {
    std::cerr << "replay: " << bad.what() << '\n';
    return 2;
  }
}
