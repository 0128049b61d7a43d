// The gateway as a program: configuration, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "net/config.hpp"
#include "net/gateway.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

int serve(const cairnjunction::Config& config) {
  boost::asio::io_context io(1);
  cairnjunction::Gateway gateway(io, config, {}, [](const std::string& line) { std::cerr << line << '\n'; });
  boost::asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (!ec) gateway.drain([&] { io.stop(); });
  });
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  try {
    return serve(cairnjunction::readConfig([](const char* name) { return std::getenv(name); }));
  } catch (const cairnjunction::BadConfig& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kFailed;
  }
}
