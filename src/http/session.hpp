// One client connection: reads requests one after the other, strictly and within limits, and writes
// responses. docs/design/http-session.md lists its states and the transition for each event.
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/memory_account.hpp"
#include "core/body_stream.hpp"
#include "http/framing.hpp"
#include "http/message.hpp"
#include "http/request_parser.hpp"
#include "http/server.hpp"

namespace cairnjunction {

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  using Clock = std::chrono::steady_clock;

  Session(HttpServer& server, boost::asio::ip::tcp::socket socket);

  void start(Queue::iterator queuePosition);  // in the queue of State::fresh
  void respond(HttpResponse response);        // to the pending request
  void close(HttpCloseReason reason);         // at once, in any state; notifies the server
  void readable();                            // reads the available bytes, if any
  // Ends a partial request that has stalled, to free its memory: 503.
  void shedPartialRequest() { reject(RequestError::outOfMemory); }
  // Ends a partial request in a graceful shutdown, so that it is not whole when nobody can answer it: 503.
  void endPartialRequest();

  // Whether no input is left to process, neither in the buffer nor at the socket.
  bool hasNoInput() const { return buffer_.size() == 0 && !hasUnreadBytes(); }
  bool hasUnreadBytes() const;                                  // whether the socket has bytes to read
  Clock::time_point stateSince() const { return stateSince_; }  // when it entered its state
  State state() const { return state_; }
  Clock::time_point lastProgressAt() const { return std::max(stateSince_, lastInputAt_); }
  std::size_t requestBytes() const { return requestCharge_.bytes(); }    // held of a partial request
  std::size_t responseBytes() const { return responseCharge_.bytes(); }  // held of the unread response

 private:
  bool isDisconnectNext();
  bool isAnswering() const { return state_ == State::writing || state_ == State::streaming; }
  void enter(State state);
  void waitReadable();
  void onReadFailed();
  void onOutOfMemory();
  void append(std::string_view bytes);
  void freeEmptyBuffer();

  // Reading a request.
  void resetParser();
  void parseRequest();
  std::optional<RequestError> parseHead();
  std::optional<RequestError> parseBody();
  void handOver();
  bool isTooSlow(std::size_t bodyBytes) const;
  void sendContinue();
  void reject(RequestError error);
  void respondToUnread(HttpResponse response);
  void chargeRequest();
  const boost::asio::ip::address& client();

  // While a response is pending. "Ahead" are the bytes of pipelined requests.
  void readAhead();
  void readBehindResponse();
  void recordAhead();
  Clock::time_point requestArrival();
  void pauseReading();
  void dropAhead(std::size_t bytes);
  void onDisconnect();

  // Writing a response, and what follows.
  void write();
  void writeRest();
  void beginNextRequest();
  void lingeringClose();
  void resetOnClose(bool reset);
  void onStreamChanged();
  void chargeResponse();

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  HeadScanner scanner_{HeadScanner::Kind::request};
  std::optional<RequestParser> parser_;
  std::string responseBytes_;
  State state_ = State::fresh;
  Queue::iterator queuePosition_;
  ExchangeId exchange_ = 0;
  std::optional<boost::asio::ip::address> client_;
  Clock::time_point stateSince_ = Clock::now();  // when state_ was entered
  Clock::time_point requestBegunAt_;             // arrival of the first byte of the request
  std::size_t lingerBytes_ = 0;                  // dropped in the lingering close
  Clock::time_point lastInputAt_;                // of the last bytes read
  MemoryCharge requestCharge_;                   // for the buffer, and the request until it is handed over
  MemoryCharge responseCharge_;                  // for the unwritten part of the response
  struct Arrival {
    std::uint64_t end;  // offset in bytes, in the input of the connection, behind the piece
    Clock::time_point at;
  };
  std::uint64_t parsedBytes_ = 0;      // input bytes of the connection parsed so far
  std::vector<Arrival> arrivals_;      // of the pipelined bytes in the buffer
  std::size_t droppedAheadBytes_ = 0;  // pipelined bytes that were dropped
  bool aheadOverrun_ = false;  // the client sent more than kMaxAheadBytes, or the memory limit was reached
  std::optional<boost::asio::steady_timer> pauseTimer_;                   // read throttling
  bool requestBegun_ = false, headComplete_ = false, bodyBegun_ = false;  // progress of the current request
  bool waitingReadable_ = false;      // a wait for the socket to become readable is pending
  bool keepAlive_ = false;            // the request allows the connection to stay open
  bool firstRequest_ = true;          // no request was received before
  bool isHttp10_ = false;             // the version of the current request
  bool writing_ = false;              // a write is pending
  bool keepAfter_ = false;            // the connection stays open after the current response
  std::shared_ptr<BodyStream> rest_;  // unwritten, streamed part of the response body; null: none
  Framing framing_ = Framing::length;
};

}  // namespace cairnjunction
