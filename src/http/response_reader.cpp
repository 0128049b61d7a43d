// Parses the response to one request.
#include "http/response_reader.hpp"

#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>
#include <utility>

namespace cairnjunction {

namespace http = boost::beast::http;
using policy::Outcome;

namespace {

constexpr std::size_t kReadBytes = 4096;  // per read; most responses are smaller
constexpr int kMaxInterimResponses = 8;   // more than any application needs

}  // namespace

void ResponseReader::begin() {
  interimResponses_ = 0;
  receivedBytes_ = 0;
  beginMessage();
}

void ResponseReader::beginMessage() {
  scanner_ = HeadScanner(HeadScanner::Kind::answer);
  headScanned_ = false;
  bodyBytes_ = 0;
  message_.reset();
  parser_.emplace();
  parser_->body_limit(kBodyMost);
  parser_->header_limit(kHeaderLimit);
}

void ResponseReader::clear() {
  receivedBytes_ = 0;
  stream_.reset();
  message_.reset();
  parser_.reset();
}

boost::asio::mutable_buffer ResponseReader::prepare() {
  return buffer_.prepare(stream_ ? kMaxReadBytes : kReadBytes);
}

ResponseReader::State ResponseReader::read() {
  for (;;) {
    if (!headScanned_)
      if (const State state = readHead(); state != State::complete) return state;
    if (isShorterThanAnyBody()) return State::incomplete;
    switch (readBody()) {
      case BodyState::malformed: return State::malformed;
      case BodyState::abandoned: return State::abandoned;
      case BodyState::read: break;
    }
    if (!parser_->is_done()) {
      if (message_ && !isFramed() && outcome() != Outcome::served) return State::decidedByHead;
      // The parser limits head and body, but neither the line that begins a chunk nor the trailers, and a
      // full buffer would throw.
      return buffer_.size() > kHeaderLimit ? State::malformed : State::incomplete;
    }
    const unsigned status = parser_->get().result_int();
    if (status / 100 != 1) return State::complete;
    // The gateway never requests an upgrade, so a 101 (Switching Protocols) is invalid.
    if (status == 101 || ++interimResponses_ > kMaxInterimResponses) return State::malformed;
    beginMessage();
  }
}

// Returns State::complete once the head is complete.
ResponseReader::State ResponseReader::readHead() {
  const auto data = buffer_.data();
  switch (scanner_.scan({static_cast<const char*>(data.data()), data.size()})) {
    case HeadScanner::State::bad:
    case HeadScanner::State::tooManyFields: return State::malformed;
    case HeadScanner::State::more:
      return buffer_.size() > kHeaderLimit ? State::malformed : State::incomplete;
    case HeadScanner::State::whole: break;
  }
  headScanned_ = true;
  return State::complete;
}

// Moves the received part of the body out of the buffer.
ResponseReader::BodyState ResponseReader::readBody() {
  std::array<char, kMaxReadBytes> piece;
  while (!parser_->is_done()) {
    auto& into = parser_->get().body();
    into.data = piece.data();
    into.size = piece.size();
    into.more = true;
    boost::system::error_code ec;
    const std::size_t parsed = buffer_.size() > 0 ? parser_->put(buffer_.data(), ec) : 0;
    buffer_.consume(parsed);
    if (parser_->is_header_done() && !message_) {
      // Beast 1.74 does not apply its body limit if head and body arrive in one read.
      const auto length = parser_->content_length();
      if (length && *length > kBodyMost) return BodyState::malformed;
      message_ = messageOfResponse(parser_->get().base());
    }
    const std::size_t bodyBytes = piece.size() - into.size;
    if (const auto stream = stream_) {  // a copy, since put() may call back and clear stream_
      stream->put({piece.data(), bodyBytes});
      if (!parser_) return BodyState::abandoned;
    } else if (message_) {
      message_->body.append(piece.data(), bodyBytes);
    }
    bodyBytes_ += bodyBytes;
    if (bodyBytes_ > kBodyMost) return BodyState::malformed;
    if (ec && ec != http::error::need_buffer && ec != http::error::need_more) return BodyState::malformed;
    if (ec == http::error::need_more || (parsed == 0 && bodyBytes == 0)) break;
  }
  return BodyState::read;
}

// Beast 1.74 asserts that it is given the shortest chunked body, "0" and two line breaks, in one piece if the
// rest of it was given before.
bool ResponseReader::isShorterThanAnyBody() const {
  constexpr std::size_t shortestChunkedBody = 5;
  return message_ && parser_->get().chunked() && bodyBytes_ == 0 && buffer_.size() < shortestChunkedBody;
}

bool ResponseReader::endsWithConnection() const { return headScanned_ && message_ && !isFramed(); }

bool ResponseReader::isFramed() const {
  return parser_->get().chunked() || parser_->get().has_content_length();
}

Outcome ResponseReader::outcome() const {
  const auto& head = parser_->get();
  const http::status status = head.result();
  if (status == http::status::ok) return Outcome::served;
  const bool busy = status == http::status::service_unavailable || status == http::status::gateway_timeout;
  if (busy && head["X-Not-Run"] == "1") return Outcome::overloaded;
  // These statuses are about the request, not the endpoint: another endpoint would respond alike.
  if (status == http::status::bad_request || status == http::status::not_found)
    return Outcome::invalidRequest;
  return Outcome::error;  // it may have been executed, whatever the response says
}

bool ResponseReader::mayReuseConnection() const {
  return isFramed() && parser_->get().keep_alive() && buffer_.size() == 0;
}

std::size_t ResponseReader::heldBytes() const {
  if (!message_) return buffer_.capacity();
  // The head is held twice: as the parser's fields, and as the message's text.
  return buffer_.capacity() + 2 * message_->fields.text().size() + heapBytes(message_->body);
}

bool ResponseReader::exceedsBuffer() const {
  return !stream_ && message_ && message_->body.size() > kMaxBufferedResponseBytes;
}

Message ResponseReader::streamTo(std::shared_ptr<BodyStream> stream) {
  stream_ = std::move(stream);
  Message buffered = std::exchange(*message_, {});
  buffered.rest = stream_;
  if (const auto length = parser_->content_length()) buffered.length = *length;
  return buffered;
}

std::shared_ptr<BodyStream> ResponseReader::takeStream() { return std::exchange(stream_, nullptr); }

std::optional<Message> ResponseReader::takeMessage() { return std::exchange(message_, std::nullopt); }

}  // namespace cairnjunction
