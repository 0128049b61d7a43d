// One client connection: reads requests one after the other, strictly and within limits, and writes
// responses. docs/design/http-session.md lists its states and the transition for each event.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/body_stream.hpp"
#include "http/framing.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

namespace cairnjunction {

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  using Clock = std::chrono::steady_clock;

  Session(HttpServer& server, boost::asio::ip::tcp::socket socket);

  void start(Queue::iterator queuePosition);  // in the queue of State::fresh
  void respond(HttpResponse response);        // to the pending request
  void close();                               // at once, in any state; notifies the server
  void readable();                            // reads the available bytes, if any

  // Whether no input is left to process, neither in the buffer nor at the socket.
  bool hasNoInput() const { return buffer_.size() == 0 && !hasUnreadBytes(); }
  bool hasUnreadBytes() const;                                  // whether the socket has bytes to read
  Clock::time_point stateSince() const { return stateSince_; }  // when it entered its state
  State state() const { return state_; }

 private:
  bool isDisconnectNext();
  void enter(State state);
  void waitReadable();

  // Reading a request.
  void resetParser();
  void parseRequest();
  void handOver();
  bool isTooSlow(std::size_t bodyBytes) const;
  void sendContinue();
  void reject(boost::beast::http::status status);
  const boost::asio::ip::address& client();

  // While a response is pending. "Ahead" are the bytes of pipelined requests.
  void readAhead();
  void recordAhead();
  Clock::time_point requestArrival();
  void pauseReading();
  void releaseAhead() { server_->bodyBytes_ -= std::exchange(aheadBytes_, 0); }
  void onDisconnect();

  // Writing a response, and what follows.
  void write();
  void writeRest();
  void beginNextRequest();
  void lingeringClose();
  void releaseBody() { server_->bodyBytes_ -= std::exchange(chargedBodyBytes_, 0); }

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  HeadScanner scanner_{HeadScanner::Kind::request};
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string responseBytes_;
  State state_ = State::fresh;
  Queue::iterator queuePosition_;
  ExchangeId exchange_ = 0;
  std::optional<boost::asio::ip::address> client_;
  Clock::time_point stateSince_ = Clock::now();  // when state_ was entered
  Clock::time_point requestBegunAt_;             // arrival of the first byte of the request
  std::size_t lingerBytes_ = 0;                  // dropped in the lingering close
  std::size_t chargedBodyBytes_ = 0;             // of the request body, counted in the server's bodyBytes_
  struct Arrival {
    std::uint64_t end;  // offset in bytes, in the input of the connection, behind the piece
    Clock::time_point at;
  };
  std::uint64_t parsedBytes_ = 0;                       // input bytes of the connection parsed so far
  std::vector<Arrival> arrivals_;                       // of the pipelined bytes in the buffer
  std::size_t aheadBytes_ = 0, droppedAheadBytes_ = 0;  // pipelined bytes: in the buffer; dropped
  bool aheadOverrun_ = false;  // the client sent more than kMaxAheadBytes, or the memory limit was reached
  std::optional<boost::asio::steady_timer> pauseTimer_;                   // read throttling
  bool requestBegun_ = false, headComplete_ = false, bodyBegun_ = false;  // progress of the current request
  bool waitingReadable_ = false;                      // a wait for the socket to become readable is pending
  bool keepAlive_ = false;                            // the request allows the connection to stay open
  bool firstRequest_ = true;                          // no request was received before
  bool isHttp10_ = false;                             // the version of the current request
  bool writing_ = false;                              // a write is pending
  bool keepAfter_ = false;                            // the connection stays open after the current response
  boost::beast::http::request_header<> chunkedHead_;  // head of a chunked request, without trailer fields
  std::shared_ptr<BodyStream> rest_;  // unwritten, streamed part of the response body; null: none
  Framing framing_ = Framing::length;
};

}  // namespace cairnjunction
