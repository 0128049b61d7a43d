// Reads the answer to one request from the bytes of a connection: its head strictly, interim answers ahead of
// it passed over, its body held or passed on to a stream. Tells what the answer means for the attempt. No
// I/O.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "cairnjunction/load_balancer.hpp"
#include "core/body_stream.hpp"
#include "core/message.hpp"
#include "http/framing.hpp"
#include "http/message.hpp"

namespace cairnjunction {

class ResponseReader {
 public:
  enum class State {
    incomplete,     // more has to be read
    whole,          // all of the answer is here
    decidedByHead,  // its head denies the call, and only the end of the connection would end its body
    malformed,      // it can't be read, or is longer than an answer may be
    abandoned       // clear() was called from within, by the consumer of the stream
  };

  // For the answer to a new request.
  void begin();
  // Drops the answer.
  void clear();
  void freeBuffer() { buffer_.shrink_to_fit(); }  // only while nothing is being read into it

  // Where the next bytes of the connection go, as many as should be read at once; then how many came.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t bytes) { buffer_.commit(bytes); }
  // Reads what has come since the last call.
  State read();
  // Whether an incomplete answer is whole if the peer closes its side now: one with neither a length nor
  // chunks ends with the connection (RFC 9112, 6.3), any other is cut off.
  bool endsWithConnection() const;

  // What the answer means, once its head is here.
  policy::Outcome outcome() const;
  // Once it is whole: whether the connection may carry another request. Bytes behind a whole answer would be
  // taken for the next one.
  bool mayReuseConnection() const;

  // Whether so much of the body is held that it is to be passed on or dropped.
  bool holdsTooMuch() const;
  // From here on the body goes to `stream`. What was held of the answer, with its length if it is known.
  Message passOnTo(std::shared_ptr<BodyStream> stream);
  bool passesOn() const { return stream_ != nullptr; }
  std::size_t streamRoom() const { return stream_->room(); }
  // Ends the passing on; null, if there was none.
  std::shared_ptr<BodyStream> takeStream();
  // What is held of the answer; empty before its head is here.
  std::optional<Message> takeMessage();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  enum class BodyState { read, malformed, abandoned };

  void beginMessage();
  State readHead();
  BodyState readBody();
  bool isFramed() const;  // a length or chunks say where it ends

  boost::beast::flat_buffer buffer_{kHeaderLimit + kHeldAnswer};  // not parsed yet
  HeadScanner scanner_{HeadScanner::Kind::answer};                // of the present message's head
  std::optional<Parser> parser_;                                  // empty between clear() and begin()
  bool headScanned_ = false;                                      // the head is whole and well formed
  // Set when the parser has the head: fields behind the last chunk are no part of it.
  std::optional<Message> message_;
  std::shared_ptr<BodyStream> stream_;  // null: the body is held in message_
  std::uint64_t bodyBytes_ = 0;         // of the present message
  int interimResponses_ = 0;            // passed over since begin()
};

}  // namespace cairnjunction
