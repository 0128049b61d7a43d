// A client, over HTTP or JSON-RPC, that sends one request after the other, each with a plan for its host, and
// records how each ended. It stays beyond its time: an answer that comes late is recorded as such.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "soak/answer_plan.hpp"

namespace cairnjunction::soak {

enum class ClientProtocol { http, jsonRpc };

struct PlannedRequest {
  enum class End {
    open,
    served,       // whole, and the planned body
    servedWrong,  // whole, and another body
    rejected,     // it may be sent again
    failed,
    broken,  // an answer 200 that ended before its end, as the client could tell
    closed   // no answer
  };
  std::string id;
  std::string className;
  ClientProtocol protocol = ClientProtocol::http;
  AnswerPlan plan;
  std::chrono::milliseconds deadline{0};
  std::chrono::steady_clock::time_point sent, ended;
  std::optional<std::chrono::steady_clock::time_point> begun;  // the head of an answer 200 had come
  End end = End::open;
};

// Draws the next request's class, deadline and plan.
using DrawRequest = std::function<PlannedRequest(std::mt19937_64&)>;

class SlowAnswerClient : public std::enable_shared_from_this<SlowAnswerClient> {
 public:
  using Clock = std::chrono::steady_clock;

  // `number`: different for each client of a run. `requests` gets a record for each request; it must outlive
  // the client.
  SlowAnswerClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& gateway,
                   ClientProtocol protocol, std::uint64_t number, std::uint64_t seed, DrawRequest draw,
                   std::deque<PlannedRequest>& requests);

  void start() { connect(); }
  void finish() { finishing_ = true; }  // sends no further request
  void stopReconnecting() { reconnects_ = false; }
  bool isIdle() const { return current_ == nullptr; }
  void close();

 private:
  void connect();
  void send();
  std::string httpText() const;
  std::string jsonRpcText() const;
  void receive();
  void onHttpHead(boost::system::error_code ec);
  void onHttpResponse(boost::system::error_code ec);
  void onJsonRpcLine(boost::system::error_code ec, std::size_t bytes);
  void endRequest(PlannedRequest::End end, bool keep);
  void after(std::chrono::milliseconds delay, void (SlowAnswerClient::*action)());

  const boost::asio::ip::tcp::endpoint gateway_;
  const ClientProtocol protocol_;
  const std::string name_;
  const std::uint64_t firstTag_;  // of its requests' plans
  std::mt19937_64 random_;
  const DrawRequest draw_;
  std::deque<PlannedRequest>& requests_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::string line_, text_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> response_;
  PlannedRequest* current_ = nullptr;  // null: no request is out
  int sent_ = 0;
  bool finishing_ = false, reconnects_ = true;
};

}  // namespace cairnjunction::soak
