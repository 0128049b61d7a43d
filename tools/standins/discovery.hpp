// A stand-in for discovery: the list of hosts and a watch on its changes, over HTTP/1.1.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>

namespace cairnjunction::standins {

class StandInDiscovery {
 public:
  StandInDiscovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen);
  ~StandInDiscovery();
  StandInDiscovery(const StandInDiscovery&) = delete;
  StandInDiscovery& operator=(const StandInDiscovery&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  // `state`: SERVING, DRAINING or DELETED. Watches are told at once.
  void set(const std::string& uid, const boost::asio::ip::tcp::endpoint& endpoint, const std::string& zone,
           const std::string& state = "SERVING");
  std::uint64_t calls() const { return calls_; }  // that came, of whichever kind
  nlohmann::json list() const;                    // whole, as it is answered

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  nlohmann::json targets_ = nlohmann::json::object();  // by uid
  std::int64_t version_ = 1;
  std::uint64_t calls_ = 0;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace cairnjunction::standins
