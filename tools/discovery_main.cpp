// A stand-in for discovery as a program: the hosts that it is given, and changes as lines on standard input.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <sstream>

#include "discovery/endpoint_list.hpp"
#include "standins/discovery.hpp"

namespace {

using cairnjunction::standins::StandInDiscovery;

// "uid address:port zone [state]"
void change(StandInDiscovery& discovery, const std::string& line) {
  std::istringstream words(line);
  std::string uid, endpoint, zone, state = "SERVING";
  if (!(words >> uid >> endpoint >> zone))
    throw std::invalid_argument("expected: uid address:port zone [state]");
  words >> state;
  discovery.set(uid, cairnjunction::parseEndpoint(endpoint), zone, state);
}

struct Changes {
  boost::asio::posix::stream_descriptor input;
  std::string buffer;
  StandInDiscovery& discovery;

  void read() {
    boost::asio::async_read_until(input, boost::asio::dynamic_buffer(buffer, 4096), '\n',
                                  [this](boost::system::error_code ec, std::size_t n) {
                                    if (ec) return;
                                    const std::string line = buffer.substr(0, n);
                                    buffer.erase(0, n);
                                    try {
                                      change(discovery, line);
                                    } catch (const std::exception& bad) {
                                      std::cerr << "discovery: " << bad.what() << '\n';
                                    }
                                    read();
                                  });
  }
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "A stand-in for discovery. Further lines on standard input change hosts: uid address:port zone "
      "[SERVING|DRAINING|DELETED]. Ends on SIGINT or SIGTERM."};
  std::string listen = "127.0.0.1:9000";
  std::vector<std::string> hosts;
  app.add_option("--listen", listen, "address:port")->capture_default_str();
  app.add_option("--host", hosts, "a host: 'uid address:port zone [state]'; may be given often");
  CLI11_PARSE(app, argc, argv);
  try {
    boost::asio::io_context io(1);
    StandInDiscovery discovery(io, cairnjunction::parseEndpoint(listen));
    for (const std::string& host : hosts) change(discovery, host);
    std::cout << "discovery at " << discovery.listening() << '\n' << std::flush;
    boost::asio::signal_set stops(io, SIGINT, SIGTERM);
    stops.async_wait([&](boost::system::error_code, int) { io.stop(); });
    Changes changes{boost::asio::posix::stream_descriptor(io, ::dup(STDIN_FILENO)), {}, discovery};
    changes.read();
    io.run();
    std::cout << "calls " << discovery.calls() << '\n';
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "discovery: " << bad.what() << '\n';
    return 1;
  }
}
