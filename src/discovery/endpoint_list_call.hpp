// A connection to discovery that carries one call at a time. What a call is for is its caller's concern.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "discovery/endpoint_list.hpp"
#include "discovery/one_shot_timer.hpp"

namespace cairnjunction {

// Why a call brought no list.
enum class EndpointListFailure {
  rejected,          // answered with another status than 200
  connectionFailed,  // refused, reset or closed before the answer was complete
  timedOut,          // no complete answer in the time for it
  malformed          // an answer that is no HTTP, or whose body is no list
};
using EndpointListResult = std::variant<EndpointList, EndpointListFailure>;

// Held by shared pointers: the event loop keeps it alive while an operation on its socket is pending.
class EndpointListCall : public std::enable_shared_from_this<EndpointListCall> {
 public:
  using Result = EndpointListResult;
  // Called once for each start(), from the event loop and never from within start(); not called after
  // cancel(). It may start the next call, cancel, and release the last pointer to this.
  using Ended = std::function<void(const Result&)>;

  EndpointListCall(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

  // Sends GET `target`, after connecting if the connection is not open: that may take `connect`, the whole
  // call `total`. No call may be pending. The connection stays open after a list if both sides allow that,
  // and is closed after a failure.
  void start(const std::string& target, std::chrono::milliseconds connect, std::chrono::milliseconds total,
             Ended ended);
  // Ends a pending call without a result, and closes the connection.
  void cancel();
  // Whether the next call can be sent on the connection: it is open and no call is pending.
  bool reusable() const { return socket_.is_open() && !ended_; }

 private:
  void write();
  void onResponse(boost::system::error_code ec);
  void setDeadline(OneShotTimer::Clock::time_point deadline);
  void finish(const Result& result);

  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  OneShotTimer deadline_;  // runs while a call is pending
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  // A new one for each call; empty before the first.
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  Ended ended_;  // set while a call is pending
};

}  // namespace cairnjunction
