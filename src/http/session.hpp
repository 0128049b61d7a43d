// One client connection: reads requests one after the other, strictly and within bounds, and writes
// responses. Its states, and what each event does in them: docs/design/http-session.md.
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

  void start(Queue::iterator place);  // its place in the queue of State::fresh
  void answer(HttpAnswer answer);     // to the request that was handed over
  void close();                       // at once, in any state; notifies the server
  void readable();                    // reads what has arrived, if anything

  // No byte of a request is in the buffer or at the socket.
  bool silent() const { return buffer_.size() == 0 && !unread(); }
  bool unread() const;                                // bytes wait at the socket
  Clock::time_point since() const { return since_; }  // when its state began
  State state() const { return state_; }

 private:
  bool endIsNext();
  void become(State state);
  void arm();

  // Reading a request.
  void renew();
  void consume();
  void taken();
  bool tooSlow(std::size_t held) const;
  void goOn();
  void reject(boost::beast::http::status status);
  const boost::asio::ip::address& client();

  // While a response is pending.
  void ahead();
  void holdAhead();
  Clock::time_point cameAt();
  void pause();
  void leaveAhead() { server_->bodies_ -= std::exchange(ahead_, 0); }
  void gone();

  // Writing a response, and what follows.
  void write();
  void pump();
  void next();
  void linger();
  void release() { server_->bodies_ -= std::exchange(charged_, 0); }

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  HeadScanner scanner_{HeadScanner::Kind::request};
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::string response_;
  State state_ = State::fresh;
  Queue::iterator place_;
  ExchangeId exchange_ = 0;
  std::optional<boost::asio::ip::address> client_;
  Clock::time_point since_ = Clock::now(), begunAt_;  // of the state; of a request's first byte
  std::size_t discarded_ = 0, charged_ = 0;
  struct Arrival {
    std::uint64_t end;  // bytes of the connection up to here
    Clock::time_point at;
  };
  std::uint64_t parsed_ = 0;                        // bytes of the connection
  std::vector<Arrival> arrivals_;                   // of the pipelined bytes that are kept
  std::size_t ahead_ = 0, droppedAhead_ = 0;        // pipelined bytes: kept, and dropped
  bool overrun_ = false;                            // the client sent more than is kept
  std::optional<boost::asio::steady_timer> pause_;  // read throttling
  bool begun_ = false, headSeen_ = false, bodyBegun_ = false, armed_ = false, keepAlive_ = false;
  bool first_ = true, old_ = false, writing_ = false, keepAfter_ = false;
  boost::beast::http::request_header<> head_;  // of a chunked request, without trailer fields
  std::shared_ptr<BodyStream> rest_;           // not yet written part of the response body; null: none
  Framing framing_ = Framing::length;
};

}  // namespace cairnjunction
