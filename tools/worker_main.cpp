// Stand-in workers as a program: as many as asked, on ports one after the other, with one count of what ran.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include "standins/worker.hpp"

int main(int argc, char** argv) {
  using namespace cairnjunction::standins;
  CLI::App app{
      "Stand-in workers that speak HTTP/1.1 and JSON-RPC, told by a connection's first byte. Ends on "
      "SIGINT or SIGTERM and prints what ran."};
  std::string address = "127.0.0.1";
  unsigned short port = 9100;
  std::size_t count = 1;
  double workLeast = 0, workMost = 0, cold = 0;
  WorkerOptions options;
  app.add_option("--address", address, "loopback address to listen on")->capture_default_str();
  app.add_option("--port", port, "first port")->capture_default_str();
  app.add_option("--count", count, "workers")->check(CLI::Range(1, 1000))->capture_default_str();
  app.add_option("--work-least", workLeast, "milliseconds of work of a call, at least")
      ->capture_default_str();
  app.add_option("--work-most", workMost, "and at most")->capture_default_str();
  app.add_option("--slots", options.slots, "calls at work at a time")->capture_default_str();
  app.add_option("--queue", options.queue, "calls waiting; past it they are turned away")
      ->capture_default_str();
  app.add_option("--fail", options.fail, "share that runs and ends in an error")->check(CLI::Range(0.0, 1.0));
  app.add_option("--turn-away", options.turnAway, "share that is not run, and said so")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--drop-after", options.dropAfter, "share that runs and whose connection is closed")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--drop-before", options.dropBefore, "share that is not run and whose connection is closed")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--silent", options.silent, "share that runs and is never answered")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--cold-seconds", cold, "time from the start till it is warm")->capture_default_str();
  app.add_option("--cold-share", options.coldShare, "share of its speed that it starts with")
      ->check(CLI::Range(0.01, 1.0))
      ->capture_default_str();
  double secondLeast = 0, secondMost = 0;
  UnsolicitedAnswers& unsolicited = options.unsolicited;
  app.add_option("--answer-twice", unsolicited.afterAnswer, "HTTP: share of answers that are sent twice")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--answer-on-connect", unsolicited.onConnect,
                 "HTTP: share of connections on which an answer comes before any request")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--answer-twice-least", secondLeast, "milliseconds until such an answer, at least")
      ->capture_default_str();
  app.add_option("--answer-twice-most", secondMost, "and at most")->capture_default_str();
  app.add_option("--seed", options.seed, "of what is drawn")->capture_default_str();
  std::string ledgerFile;
  app.add_option("--ledger", ledgerFile, "a file for what came and what ran, a line each");
  CLI11_PARSE(app, argc, argv);
  options.workLeast = std::chrono::microseconds(static_cast<std::int64_t>(workLeast * 1000));
  options.workMost =
      std::chrono::microseconds(static_cast<std::int64_t>(std::max(workLeast, workMost) * 1000));
  unsolicited.delayLeast = std::chrono::microseconds(static_cast<std::int64_t>(secondLeast * 1000));
  unsolicited.delayMost =
      std::chrono::microseconds(static_cast<std::int64_t>(std::max(secondLeast, secondMost) * 1000));
  options.coldTime = std::chrono::milliseconds(static_cast<std::int64_t>(cold * 1000));
  try {
    boost::asio::io_context io(1);
    Ledger ledger;
    if (!ledgerFile.empty()) ledger.write(ledgerFile);
    std::vector<std::unique_ptr<StandInWorker>> workers;
    for (std::size_t i = 0; i < count; ++i, ++options.seed) {
      const boost::asio::ip::tcp::endpoint at(boost::asio::ip::make_address(address),
                                              static_cast<unsigned short>(port + i));
      workers.push_back(std::make_unique<StandInWorker>(io, at, options, ledger));
      std::cout << "worker at " << workers.back()->listening() << '\n' << std::flush;
    }
    boost::asio::signal_set stops(io, SIGINT, SIGTERM);
    stops.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
    std::cout << "runs " << ledger.runs() << ", stock-out run twice " << ledger.ranTwice("stock-out") << '\n';
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "worker: " << bad.what() << '\n';
    return 1;
  }
}
