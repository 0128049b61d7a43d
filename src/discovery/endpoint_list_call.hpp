// A connection to discovery that carries one call at a time: a GET request whose response is an endpoint
// list.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

// Why a call returned no list.
enum class EndpointListFailure {
  rejected,          // the response has another status than 200
  connectionFailed,  // refused, reset or closed before the response was complete
  timedOut,          // no complete response before the deadline
  malformed          // the response is not valid HTTP, or its body is not a valid list
};
using EndpointListResult = std::variant<EndpointList, EndpointListFailure>;

// Owned by shared pointers: the event loop keeps it alive while an operation on its socket is pending.
class EndpointListCall : public std::enable_shared_from_this<EndpointListCall> {
 public:
  using Result = EndpointListResult;
  // Called once for each start(), from the event loop and never from within start(); not called after
  // cancel(). It may start the next call, cancel, and release the last pointer to this object.
  using ResultCallback = std::function<void(const Result&)>;

  EndpointListCall(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

  // Sends GET `target`, after connecting if the connection is not open. `connectTimeout` limits connecting,
  // `callTimeout` the time until the list is complete or, once it has begun, until it makes no more progress;
  // it then has to be complete within some seconds. No other call may be pending. The connection stays open
  // after a list if both sides allow keep-alive, and is closed after a failure.
  void start(const std::string& target, std::chrono::milliseconds connectTimeout,
             std::chrono::milliseconds callTimeout, ResultCallback onResult);
  // Ends a pending call without calling its callback, and closes the connection.
  void cancel();
  // Whether the connection is open and no call is pending, so that it can carry another call.
  bool reusable() const { return socket_.is_open() && !onResult_; }

 private:
  void write();
  bool mayReuseConnection();
  void onResponse(boost::system::error_code ec);
  void setDeadline(OneShotTimer::Clock::time_point deadline);
  void onDeadline();
  std::size_t receivedBytes() const;
  void finish(const Result& result);

  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  OneShotTimer deadline_;                      // runs while a call is pending
  OneShotTimer::Clock::time_point latestEnd_;  // of the current call, whatever progress it makes
  std::size_t receivedBefore_ = 0;             // bytes of its list, at its last deadline
  bool awaitsList_ = false;                    // the current call is past connecting
  boost::beast::flat_buffer buffer_;
  std::string request_;
  // Replaced for each call; empty before the first.
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  ResultCallback onResult_;  // set while a call is pending
};

}  // namespace cairnjunction
