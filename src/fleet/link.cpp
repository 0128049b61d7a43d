#include "fleet/link.hpp"

#include <boost/asio/read.hpp>
#include <utility>

#include "common/socket_io.hpp"

namespace cairnjunction::fleet {
namespace {

// A receive buffer larger than this is freed after its frame was handled.
constexpr std::size_t kMaxIdleBufferBytes = 64 << 10;

}  // namespace

using boost::asio::ip::tcp;

std::string_view nameOf(LinkEnd end) {
  switch (end) {
    case LinkEnd::connectionRefused: return "connection-refused";
    case LinkEnd::connectTimeout: return "connect-timeout";
    case LinkEnd::rejected: return "rejected";
    case LinkEnd::receiveTimeout: return "receive-timeout";
    case LinkEnd::sendTimeout: return "send-timeout";
    case LinkEnd::reset: return "reset";
    case LinkEnd::badFrame: return "bad-frame";
    case LinkEnd::notLeader: return "not-leader";
    case LinkEnd::stopped: return "stopped";
  }
  return "";
}

Link::Link(boost::asio::io_context& io, tcp::socket socket, const Limits& limits, Callbacks callbacks)
    : socket_(std::move(socket)),
      receiveTimer_(io),
      sendTimer_(io),
      limits_(limits),
      callbacks_(std::move(callbacks)) {}

std::shared_ptr<Link> Link::dial(boost::asio::io_context& io, const tcp::endpoint& address,
                                 const Limits& limits, Callbacks callbacks) {
  std::shared_ptr<Link> link(new Link(io, tcp::socket(io), limits, std::move(callbacks)));
  link->receiveTimer_.expires_after(limits.connectTimeout);
  link->receiveTimer_.async_wait([link](ErrorCode error) {
    if (!error && !link->connected_) link->close(LinkEnd::connectTimeout);
  });
  link->socket_.async_connect(address, [link](ErrorCode error) {
    if (link->ended_) return;
    if (error) return link->close(LinkEnd::connectionRefused, error.message());
    link->onSocketReady();
    if (link->callbacks_.onConnected) link->callbacks_.onConnected();
  });
  return link;
}

std::shared_ptr<Link> Link::accepted(boost::asio::io_context& io, tcp::socket socket, const Limits& limits,
                                     Callbacks callbacks) {
  std::shared_ptr<Link> link(new Link(io, std::move(socket), limits, std::move(callbacks)));
  link->onSocketReady();
  return link;
}

void Link::onSocketReady() {
  ErrorCode ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  connected_ = true;
  restartReceiveTimer();
  readLength();
  if (!queue_.empty()) writeNext();
}

void Link::restartReceiveTimer() {
  receiveTimer_.expires_after(limits_.receiveTimeout);
  receiveTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error) self->close(LinkEnd::receiveTimeout);
  });
}

void Link::readLength() {
  boost::asio::async_read(socket_, boost::asio::buffer(length_),
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                            if (self->ended_) return;
                            if (error) return self->onSocketError(error);
                            std::size_t size = 0;
                            for (const unsigned char byte : self->length_) size = size << 8 | byte;
                            if (size > kMaxFrameBytes)
                              return self->close(LinkEnd::badFrame, "a frame of " + std::to_string(size) +
                                                                        " bytes, expected at most " +
                                                                        std::to_string(kMaxFrameBytes));
                            self->readPayload(size);
                          });
}

void Link::readPayload(std::size_t size) {
  payload_.resize(size);
  boost::asio::async_read(socket_, boost::asio::buffer(payload_),
                          [self = shared_from_this()](ErrorCode error, std::size_t read) {
                            if (self->ended_) return;
                            if (error) return self->onSocketError(error);
                            self->onPayload(read);
                          });
}

void Link::onPayload(std::size_t size) {
  bytesIn_ += size + length_.size();
  // Only complete frames restart the timer, so a peer that sends single bytes times out as well.
  restartReceiveTimer();
  try {
    callbacks_.onMessage(decode(payload_));
  } catch (const BadFrame& bad) {
    return close(LinkEnd::badFrame, bad.what());
  }
  if (ended_) return;
  if (payload_.capacity() > kMaxIdleBufferBytes) payload_ = {};
  readLength();
}

void Link::send(SharedFrame frame) {
  if (ended_ || pendingEnd_) return;
  queuedBytes_ += frame->size();
  queue_.push_back(std::move(frame));
  if (queuedBytes_ > limits_.maxQueuedBytes)
    return close(LinkEnd::sendTimeout, std::to_string(queuedBytes_) + " bytes wait to be written");
  if (connected_ && !writing_) writeNext();
}

void Link::writeNext() {
  writing_ = true;
  sendTimer_.expires_after(limits_.sendTimeout);
  sendTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error && self->writing_) self->close(LinkEnd::sendTimeout, "writing a frame timed out");
  });
  asyncWriteAll(socket_, boost::asio::buffer(*queue_.front()),
                [self = shared_from_this(), frame = queue_.front()](ErrorCode error, std::size_t written) {
                  if (!self->ended_) self->onWritten(error, written);
                });
}

void Link::onWritten(ErrorCode error, std::size_t size) {
  bytesOut_ += size;
  writing_ = false;
  sendTimer_.cancel();
  if (error) return onSocketError(error);
  queuedBytes_ -= queue_.front()->size();
  queue_.pop_front();
  if (!queue_.empty()) return writeNext();
  if (pendingEnd_) close(*pendingEnd_);
}

void Link::onSocketError(ErrorCode error) { close(pendingEnd_.value_or(LinkEnd::reset), error.message()); }

void Link::finish(LinkEnd end) {
  if (ended_ || pendingEnd_) return;
  if (queue_.empty()) return close(end);
  pendingEnd_ = end;
}

void Link::close(LinkEnd end, const std::string& detail) {
  if (ended_) return;
  const auto onEnd = std::move(callbacks_.onEnd);
  abandon();
  if (onEnd) onEnd(end, detail);
}

void Link::abandon() {
  ended_ = true;
  connected_ = false;
  receiveTimer_.cancel();
  sendTimer_.cancel();
  ErrorCode ignored;
  socket_.close(ignored);
  callbacks_.onEnd = nullptr;
}

}  // namespace cairnjunction::fleet
