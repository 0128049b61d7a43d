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

constexpr std::size_t kReadSize = 4096;            // bytes at a time; most answers are smaller
constexpr std::size_t kStreamReadSize = 16 << 10;  // of an answer that is passed on
constexpr int kMaxInterimResponses = 8;            // more than anyone has use for

}  // namespace

void ResponseReader::begin() {
  interimResponses_ = 0;
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
  stream_.reset();
  message_.reset();
  parser_.reset();
}

boost::asio::mutable_buffer ResponseReader::prepare() {
  return buffer_.prepare(stream_ ? kStreamReadSize : kReadSize);
}

ResponseReader::State ResponseReader::read() {
  for (;;) {
    if (!headScanned_)
      if (const State state = readHead(); state != State::whole) return state;
    switch (readBody()) {
      case BodyState::malformed: return State::malformed;
      case BodyState::abandoned: return State::abandoned;
      case BodyState::read: break;
    }
    if (!parser_->is_done()) {
      if (message_ && !isFramed() && outcome() != Outcome::served) return State::decidedByHead;
      // The parser bounds head and body, but not the head of a chunk, and a full buffer would throw.
      const bool full = buffer_.size() + kStreamReadSize > buffer_.max_size();
      return full ? State::malformed : State::incomplete;
    }
    const unsigned status = parser_->get().result_int();
    if (status / 100 != 1) return State::whole;
    // Nobody asked to change the protocol, so a 101 is no answer.
    if (status == 101 || ++interimResponses_ > kMaxInterimResponses) return State::malformed;
    beginMessage();
  }
}

// State::whole: the head is.
ResponseReader::State ResponseReader::readHead() {
  const auto data = buffer_.data();
  switch (scanner_.scan({static_cast<const char*>(data.data()), data.size()})) {
    case HeadScanner::State::bad: return State::malformed;
    case HeadScanner::State::more:
      return buffer_.size() > kHeaderLimit ? State::malformed : State::incomplete;
    case HeadScanner::State::whole: break;
  }
  headScanned_ = true;
  return State::whole;
}

// Moves what has come of the body out of the buffer.
ResponseReader::BodyState ResponseReader::readBody() {
  std::array<char, kStreamReadSize> piece;
  while (!parser_->is_done()) {
    auto& into = parser_->get().body();
    into.data = piece.data();
    into.size = piece.size();
    into.more = true;
    boost::system::error_code ec;
    const std::size_t parsed = buffer_.size() > 0 ? parser_->put(buffer_.data(), ec) : 0;
    buffer_.consume(parsed);
    if (parser_->is_header_done() && !message_) {
      // Beast 1.74 does not apply its limit where head and body come in one piece.
      const auto length = parser_->content_length();
      if (length && *length > kBodyMost) return BodyState::malformed;
      message_ = answerOf(parser_->get().base());
    }
    const std::size_t bodyBytes = piece.size() - into.size;
    if (const auto stream = stream_) {  // held, since what it calls may end the passing on
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
  // By the protocol these are about the request, not the endpoint: another one would deny it again.
  if (status == http::status::bad_request || status == http::status::not_found)
    return Outcome::invalidRequest;
  return Outcome::error;  // it may have been executed, whatever the answer says
}

bool ResponseReader::mayReuseConnection() const {
  return isFramed() && parser_->get().keep_alive() && buffer_.size() == 0;
}

bool ResponseReader::holdsTooMuch() const {
  return !stream_ && message_ && message_->body.size() > kHeldAnswer;
}

Message ResponseReader::passOnTo(std::shared_ptr<BodyStream> stream) {
  stream_ = std::move(stream);
  Message held = std::exchange(*message_, {});
  held.rest = stream_;
  if (const auto length = parser_->content_length()) held.length = *length;
  return held;
}

std::shared_ptr<BodyStream> ResponseReader::takeStream() { return std::exchange(stream_, nullptr); }

std::optional<Message> ResponseReader::takeMessage() { return std::exchange(message_, std::nullopt); }

}  // namespace cairnjunction
