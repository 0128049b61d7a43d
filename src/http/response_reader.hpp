// Parses the response to one request from the bytes of a connection: checks its head strictly, skips interim
// (1xx) responses, and buffers the body or writes it to a stream. Derives the outcome of the attempt. Does no
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
    incomplete,     // more bytes have to be read
    complete,       // the whole response has been read
    decidedByHead,  // the status is no success, and the body would end only with the connection
    malformed,      // the response is invalid or exceeds a limit
    abandoned       // the consumer of the stream called clear() during read()
  };

  // Starts the response to a new request.
  void begin();
  // Drops the response.
  void clear();
  void freeBuffer() { buffer_.shrink_to_fit(); }  // only while no read into it is pending

  // prepare() returns the buffer for the next read from the connection; commit() takes the number of bytes
  // read into it.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t bytes) {
    buffer_.commit(bytes);
    receivedBytes_ += bytes;
  }
  std::uint64_t receivedBytes() const { return receivedBytes_; }  // since begin(), until clear()
  // Parses the bytes committed since the last call.
  State read();
  // Whether a part of the response has been read; interim responses before it do not count.
  bool hasBegun() const { return message_ || headScanned_ || buffer_.size() > 0; }
  // Whether an incomplete response becomes complete if the peer closes the connection now: true for one with
  // neither a length nor the chunked coding (RFC 9112, 6.3); any other is truncated.
  bool endsWithConnection() const;

  // The outcome of the attempt. Valid once the head has been parsed.
  policy::Outcome outcome() const;
  // Whether the connection may carry another request. Valid once the response is complete. False if further
  // bytes follow it, since they would be taken for the next response.
  bool mayReuseConnection() const;
  // Whether bytes follow the complete response.
  bool hasSurplus() const { return buffer_.size() > 0; }

  // Memory of the response as buffered so far, in bytes.
  std::size_t heldBytes() const;
  // Whether the head has been parsed and the body is buffered: streamTo() may be called.
  bool isBuffering() const { return !stream_ && message_; }
  // Whether the buffered body exceeds kMaxBufferedResponseBytes, so that it has to be streamed or dropped.
  bool exceedsBuffer() const;
  // Writes the rest of the body to `stream` from now on. Returns the response as buffered so far, with its
  // length if known. Call it only once the head has been parsed.
  Message streamTo(std::shared_ptr<BodyStream> stream);
  bool isStreaming() const { return stream_ != nullptr; }
  std::size_t streamRoom() const { return stream_->room(); }
  // Stops streaming and returns the stream; null if the response was not streamed.
  std::shared_ptr<BodyStream> takeStream();
  // The response as buffered so far; empty before its head has been parsed.
  std::optional<Message> takeMessage();

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  enum class BodyState { read, malformed, abandoned };
  static constexpr std::size_t kMaxReadBytes = 16 << 10;

  void beginMessage();
  State readHead();
  BodyState readBody();
  bool isFramed() const;  // by a length or the chunked coding
  bool isShorterThanAnyBody() const;

  boost::beast::flat_buffer buffer_{kHeaderLimit + kMaxReadBytes};  // bytes not parsed yet
  HeadScanner scanner_{HeadScanner::Kind::answer};                  // of the current message's head
  std::optional<Parser> parser_;                                    // empty between clear() and begin()
  bool headScanned_ = false;                                        // the head is complete and well formed
  // Set as soon as the head is parsed, so that it has no trailer fields.
  std::optional<Message> message_;
  std::shared_ptr<BodyStream> stream_;  // null: the body is buffered in message_
  std::uint64_t bodyBytes_ = 0;         // of the current message
  std::uint64_t receivedBytes_ = 0;     // since begin()
  int interimResponses_ = 0;            // skipped since begin()
};

}  // namespace cairnjunction
