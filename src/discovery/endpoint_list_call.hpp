// A connection to discovery with one call at a time on it. Knows nothing of watches: what a call means is its
// caller's to know.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "discovery/endpoint_list.hpp"

namespace cairnjunction {

class EndpointListCall : public std::enable_shared_from_this<EndpointListCall> {
 public:
  struct Result {
    std::optional<EndpointList> list;  // absent: turned away, broken, silent, or not to be read
    bool silent = false;               // nothing was heard in the time for it
  };
  using Ended = std::function<void(const Result&)>;  // may begin the next call, or destroy its owner

  EndpointListCall(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

  // GETs `target`. Connects first where there is no connection: that may take `connect`, the whole call
  // `most`. `ended` is called once, never from within this, and not at all after giveUp(). The connection
  // stays open after a whole list if both sides want that.
  void start(const std::string& target, std::chrono::milliseconds connect, std::chrono::milliseconds most,
             Ended ended);
  void giveUp();  // closes the connection
  bool reusable() const { return socket_.is_open() && !ended_; }

 private:
  void write();
  void answered(boost::system::error_code ec);
  void limit(std::chrono::steady_clock::time_point at);
  void finish(const Result& result);

  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  Ended ended_;             // set while a call is out
  std::uint64_t turn_ = 0;  // of the timer: one that is already due when it is moved is told by it
};

}  // namespace cairnjunction
