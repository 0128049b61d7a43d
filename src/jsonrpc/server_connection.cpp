#include "jsonrpc/server_connection.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "common/socket_io.hpp"
#include "common/unacknowledged_bytes.hpp"
#include "jsonrpc/parser.hpp"

namespace cairnjunction::jsonrpc {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kLinger = std::chrono::milliseconds(500);  // time for the last response to reach the client
constexpr std::size_t kKeepBuffer = 4096;                 // an empty buffer with more capacity is freed
// Backpressure: a client at its limit of open calls or unread responses is still read, up to this many bytes,
// since a disconnect is seen only behind them; but only while half of the memory bound is free.
constexpr std::size_t kAheadMost = 128 << 10;

}  // namespace

void Server::Connection::start() {
  moveTo(Queue::idle);
  waitUntilReadable();
}

bool Server::Connection::isSilent() {
  error_code ec;
  return isResting() && (socket_.available(ec) == 0 || ec);
}

void Server::Connection::write(std::string_view text) {
  const std::size_t before = unsent_.size();
  appendFrame(reader_.form() == Form::headers ? Form::headers : Form::lines, text, unsent_);
  server_->charge(unsent_.size() - before);
  if (unflushed_) return;
  unflushed_ = true;
  server_->unflushed_.push_back(shared_from_this());
}

// Writes by non-blocking sends, so that what a client does not read stays in unsent_ and is counted.
void Server::Connection::flush() {
  unflushed_ = false;
  if (closed_ || waitingWrite_) return;
  error_code ec;
  while (sent_ < unsent_.size()) {
    const std::size_t n =
        writeSome(socket_, asio::buffer(unsent_.data() + sent_, unsent_.size() - sent_), ec);
    if (ec) break;
    sent_ += n;
  }
  if (ec && !wouldBlock(ec)) return drop();
  if (sent_ == unsent_.size()) {
    server_->release(unsent_.size());
    unsent_.clear();
    if (unsent_.capacity() > kKeepBuffer) std::string().swap(unsent_);
    sent_ = 0;
    updateQueue();
    if (closing_) return endIfDone();
    resume();
    return server_->stopping_ ? endIfSilent() : void();
  }
  if (sent_ > kChunk) {
    server_->release(sent_);
    unsent_.erase(0, sent_);
    mark_ -= std::min(mark_, sent_);
    sent_ = 0;
  }
  // All bytes up to mark_ must be sent within `stalled`; then the next mark is set.
  if (queue_ != Queue::stalled || sent_ >= mark_) {
    mark_ = unsent_.size();
    moveTo(Queue::stalled);
  }
  waitingWrite_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code waitError) {
    self->waitingWrite_ = false;
    if (self->closed_) return;
    if (waitError) return self->drop();
    self->flush();
  });
}

void Server::Connection::setOpenCalls(std::size_t calls) {
  openCalls_ = calls;
  if (closed_) return;
  if (closing_) return endIfDone();
  updateQueue();
  if (!deferred_ && paused_ && !isAtLimit()) {
    // Posted: the caller is in the middle of handling a call, and resuming could re-enter it.
    deferred_ = true;
    asio::post(server_->io_, [self = shared_from_this()] {
      self->deferred_ = false;
      if (!self->closed_) self->resume();
    });
  }
}

void Server::Connection::closeAfterReplies() {
  if (closing_ || closed_) return;
  closing_ = true;
  if (!handingOver_) handOverKept();  // otherwise what goes on there
}

void Server::Connection::endIfSilent() {
  if (!closed_ && !lingering_ && isSilent()) beginEnd();
}

void Server::Connection::close() {
  if (closed_) return;
  closed_ = true;
  dropInput();
  server_->release(unsent_.size());
  unsent_.clear();
  leaveQueue();
  error_code ignored;
  socket_.close(ignored);
}

// The close that follows resets the connection.
void Server::Connection::resetOnClose() {
  error_code ignored;
  if (!closed_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void Server::Connection::reset() {
  resetOnClose();
  close();
}

void Server::Connection::drop() {
  if (closed_) return;
  const auto self = shared_from_this();
  close();
  server_->callbacks_.gone(id_);
  server_->erase(id_);
}

void Server::Connection::dropByReset() {
  resetOnClose();
  drop();
}

void Server::Connection::onTimeout(Queue queue) {
  switch (queue) {
    case Queue::reading: return reportBad("a text that was not whole in time");
    case Queue::stalled: return dropByReset();
    case Queue::idle:
      if (!isSilent()) return moveTo(Queue::idle);  // bytes wait that have not been read yet
      return beginEnd();
    case Queue::lingering:
      if (Clock::now() - queuedSince_ > kLinger) return dropByReset();
      return endIfAcknowledged();
  }
}

bool Server::Connection::isAtLimit() const {
  return openCalls_ >= server_->limits_.openOfOne || unsent_.size() - sent_ >= server_->limits_.unsentOfOne;
}

void Server::Connection::moveTo(Queue queue) {
  leaveQueue();
  List& to = server_->list(queue);
  to.push_back(this);
  queuePlace_ = std::prev(to.end());
  queue_ = queue;
  queuedSince_ = Clock::now();
}

void Server::Connection::leaveQueue() {
  if (queue_) server_->list(*queue_).erase(queuePlace_);
  queue_.reset();
}

// Moves the connection to the queue that fits its state.
void Server::Connection::updateQueue() {
  if (lingering_ || closed_) return;
  if (!unsent_.empty()) return;  // flush() moves it
  if (!received_.empty() && !paused_) {
    if (queue_ != Queue::reading || handedOver_) moveTo(Queue::reading);
    handedOver_ = false;
  } else if (openCalls_ == 0) {
    if (queue_ != Queue::idle) moveTo(Queue::idle);
  } else leaveQueue();
}

void Server::Connection::waitUntilReadable() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->reading_ = false;
    if (self->closed_) return;
    if (ec) return self->drop();
    self->onReadable();
  });
}

void Server::Connection::onReadable() {
  if (lingering_) return endIfAcknowledged();
  if (closing_) return;
  if (isAtLimit()) pause();
  if (paused_ && (received_.size() >= kAheadMost || 2 * server_->bytes() > server_->limits_.bytes))
    return;  // resume() goes on
  error_code ec;
  const std::size_t most = paused_ ? std::min(kChunk, kAheadMost - received_.size()) : kChunk;
  const std::size_t n = readSome(socket_, asio::buffer(server_->scratch_.data(), most), ec);
  if (wouldBlock(ec)) return waitUntilReadable();
  if (ec) return drop();
  if (paused_) {
    append({server_->scratch_.data(), n});
    return closed_ ? void() : waitUntilReadable();
  }
  readAt_ = Clock::now();
  if (received_.empty()) {
    // Complete frames are parsed in place; only the rest is copied to received_.
    const std::string_view rest = handOver({server_->scratch_.data(), n});
    if (!closed_ && !closing_) keep(rest);
  } else {
    append({server_->scratch_.data(), n});
    handOverKept();
  }
  if (closed_ || closing_) return;
  updateQueue();
  waitUntilReadable();
}

// Hands over the frames of `input` until none is complete or backpressure sets in (isAtLimit()). Returns the
// rest.
std::string_view Server::Connection::handOver(std::string_view input) {
  const auto self = shared_from_this();
  handingOver_ = true;
  const std::string_view rest = handOverFrames(input);
  handingOver_ = false;
  if (closed_) return {};
  if (closing_) {
    dropInput();
    endIfDone();
    return {};
  }
  return rest;
}

// Of the texts behind the last one that is taken, each is handed over to be rejected: it is read already.
std::string_view Server::Connection::handOverFrames(std::string_view input) {
  while (!closed_) {
    if (!closing_ && isAtLimit()) {
      pause();
      return input;
    }
    std::string_view text;
    const FrameReader::State state = reader_.next(input, text);
    input.remove_prefix(reader_.taken());
    if (state == FrameReader::State::more) return input;
    if (state == FrameReader::State::frame) {
      if (closing_) server_->callbacks_.unwanted(id_, text);
      else server_->callbacks_.frame(id_, text, textBegan_.value_or(readAt_));
      textBegan_.reset();
      handedOver_ = true;
      continue;
    }
    reportBad(state == FrameReader::State::bad ? reader_.error() : "a text that is too large");
    return {};
  }
  return {};
}

void Server::Connection::handOverKept() {
  // simdjson reads up to kPadding bytes past the end of a text; without this reserve it would read outside
  // the buffer.
  received_.reserve(received_.size() + kPadding);
  const std::size_t left = handOver(received_).size();
  if (closed_ || closing_) return;
  server_->release(received_.size() - left);
  received_.erase(0, received_.size() - left);
  if (received_.empty()) {
    if (received_.capacity() > kKeepBuffer) std::string().swap(received_);
    textBegan_.reset();
  } else if (!textBegan_) textBegan_ = readAt_;
}

void Server::Connection::append(std::string_view bytes) {
  received_.append(bytes);
  server_->charge(bytes.size());
  server_->keepWithin();
}

void Server::Connection::keep(std::string_view rest) {
  if (rest.empty()) return;
  if (!textBegan_) textBegan_ = readAt_;
  append(rest);
}

void Server::Connection::dropInput() {
  server_->release(received_.size());
  std::string().swap(received_);
}

void Server::Connection::resume() {
  if (!paused_ || closed_ || closing_ || isAtLimit()) return;
  paused_ = false;
  readAt_ = Clock::now();
  textBegan_.reset();  // it waited for the gateway: its time starts again
  if (!received_.empty()) handOverKept();
  if (closed_ || closing_) return;
  updateQueue();
  waitUntilReadable();
}

void Server::Connection::reportBad(const char* why) {
  if (closing_ || closed_) return;
  server_->callbacks_.bad(id_, why);
}

void Server::Connection::endIfDone() {
  if (!lingering_ && !closed_ && openCalls_ == 0 && !unflushed_ && unsent_.empty()) beginEnd();
}

// Ends the connection behind its last response. From now on nothing is read: what comes was not taken, and
// the reset says so. It is sent once the client's system has the last response, which it might overtake
// otherwise. A call that comes meanwhile brings the acknowledgement, and is told by the reset at once.
void Server::Connection::beginEnd() {
  lingering_ = true;
  if (isAcknowledged()) return dropByReset();
  moveTo(Queue::lingering);
  waitUntilReadable();
}

void Server::Connection::endIfAcknowledged() {
  if (isAcknowledged()) dropByReset();
}

bool Server::Connection::isAcknowledged() { return unacknowledgedBytes(socket_) == 0; }

}  // namespace cairnjunction::jsonrpc
