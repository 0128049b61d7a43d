// The gateway as a program: configuration, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "app/gateway.hpp"
#include "config/config.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

using cairnjunction::Config;
using cairnjunction::Reading;

void log(const std::string& line) { std::cerr << line << '\n'; }

Config readFile(Reading reading) {
  return cairnjunction::readConfig([](const char* name) { return std::getenv(name); }, reading);
}

// SIGHUP: the file is read anew. A bad one is a line in the log, and the old settings go on.
void reloadAtEachHangup(boost::asio::signal_set& hangups, cairnjunction::Gateway& gateway) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    try {
      gateway.reload(readFile(Reading::again));
      log("configuration read again");
    } catch (const std::exception& bad) {
      log(std::string("configuration not taken: ") + bad.what());
    }
    reloadAtEachHangup(hangups, gateway);
  });
}

int serve() {
  boost::asio::io_context io(1);
  // Danger: until they are taken, signals end the process; so before anything that takes its time.
  boost::asio::signal_set stops(io, SIGTERM, SIGINT), hangups(io, SIGHUP);
  cairnjunction::Gateway gateway(io, readFile(Reading::atStart), {}, log);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) gateway.drain([&] { io.stop(); });
  });
  reloadAtEachHangup(hangups, gateway);
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  try {
    return serve();
  } catch (const cairnjunction::BadConfig& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kFailed;
  }
}
