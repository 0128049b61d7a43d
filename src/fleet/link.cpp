// One TCP connection of the fleet.
#include "fleet/link.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace cairnjunction::fleet {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string_view nameOf(LinkEnd end) {
  switch (end) {
    case LinkEnd::connectionRefused: return "refused";
    case LinkEnd::connectTimeout: return "dial-silent";
    case LinkEnd::rejected: return "turned-away";
    case LinkEnd::receiveTimeout: return "silent";
    case LinkEnd::sendTimeout: return "slow";
    case LinkEnd::reset: return "reset";
    case LinkEnd::badFrame: return "bad-frame";
    case LinkEnd::notLeader: return "moved";
    case LinkEnd::stopped: return "stopped";
  }
  return "";
}

Link::Link(boost::asio::io_context& io, tcp::socket socket, const Limits& limits, Callbacks callbacks)
    : socket_(std::move(socket)),
      silence_(io),
      slow_(io),
      limits_(limits),
      callbacks_(std::move(callbacks)) {}

std::shared_ptr<Link> Link::dial(boost::asio::io_context& io, const tcp::endpoint& to, const Limits& limits,
                                 Callbacks callbacks) {
  std::shared_ptr<Link> link(new Link(io, tcp::socket(io), limits, std::move(callbacks)));
  link->silence_.expires_after(limits.connectTimeout);
  link->silence_.async_wait([link](error_code ec) {
    if (!ec && !link->up_) link->close(LinkEnd::connectTimeout);
  });
  link->socket_.async_connect(to, [link](error_code ec) {
    if (link->over_) return;
    if (ec) return link->close(LinkEnd::connectionRefused, ec.message());
    link->begin();
    if (link->callbacks_.up) link->callbacks_.up();
  });
  return link;
}

std::shared_ptr<Link> Link::accepted(boost::asio::io_context& io, tcp::socket socket, const Limits& limits,
                                     Callbacks callbacks) {
  std::shared_ptr<Link> link(new Link(io, std::move(socket), limits, std::move(callbacks)));
  link->begin();
  return link;
}

void Link::begin() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  up_ = true;
  watchSilence();
  readLength();
  if (!out_.empty()) write();
}

void Link::watchSilence() {
  silence_.expires_after(limits_.receiveTimeout);
  silence_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->close(LinkEnd::receiveTimeout);
  });
}

void Link::readLength() {
  boost::asio::async_read(
      socket_, boost::asio::buffer(length_), [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->over_) return;
        if (ec) return self->lost(ec);
        std::size_t size = 0;
        for (const unsigned char byte : self->length_) size = size << 8 | byte;
        if (size > kFrameMost)
          return self->close(LinkEnd::badFrame, "a frame of " + std::to_string(size) + " bytes, at most " +
                                                    std::to_string(kFrameMost) + " are taken");
        self->readPayload(size);
      });
}

void Link::readPayload(std::size_t size) {
  payload_.resize(size);
  boost::asio::async_read(socket_, boost::asio::buffer(payload_),
                          [self = shared_from_this()](error_code ec, std::size_t n) {
                            if (self->over_) return;
                            if (ec) return self->lost(ec);
                            self->bytesIn_ += n + self->length_.size();
                            // Only whole frames count: a peer that sends a byte now and then says nothing.
                            self->watchSilence();
                            try {
                              const Message message = decode(self->payload_);
                              self->callbacks_.message(message);
                            } catch (const BadFrame& bad) {
                              return self->close(LinkEnd::badFrame, bad.what());
                            }
                            if (self->over_) return;
                            if (self->payload_.capacity() > (64u << 10)) self->payload_ = {};
                            self->readLength();
                          });
}

void Link::send(Bytes frame) {
  if (over_ || finishing_) return;
  queued_ += frame->size();
  out_.push_back(std::move(frame));
  if (queued_ > limits_.maxQueuedBytes)
    return close(LinkEnd::sendTimeout, std::to_string(queued_) + " bytes wait to be written");
  if (up_ && !writing_) write();
}

void Link::write() {
  writing_ = true;
  slow_.expires_after(limits_.sendTimeout);
  slow_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && self->writing_) self->close(LinkEnd::sendTimeout, "a frame was not taken in time");
  });
  boost::asio::async_write(socket_, boost::asio::buffer(*out_.front()),
                           [self = shared_from_this(), frame = out_.front()](error_code ec, std::size_t n) {
                             if (self->over_) return;
                             self->bytesOut_ += n;
                             self->writing_ = false;
                             self->slow_.cancel();
                             if (ec) return self->lost(ec);
                             self->queued_ -= frame->size();
                             self->out_.pop_front();
                             if (!self->out_.empty()) return self->write();
                             if (self->finishing_) self->close(*self->finishing_);
                           });
}

void Link::lost(error_code ec) { close(finishing_.value_or(LinkEnd::reset), ec.message()); }

void Link::finish(LinkEnd end) {
  if (over_ || finishing_) return;
  if (out_.empty()) return close(end);
  finishing_ = end;
}

void Link::close(LinkEnd end, const std::string& why) {
  if (over_) return;
  const auto ended = std::move(callbacks_.ended);
  abandon();
  if (ended) ended(end, why);
}

void Link::abandon() {
  over_ = true;
  up_ = false;
  silence_.cancel();
  slow_.cancel();
  error_code ignored;
  socket_.close(ignored);
  callbacks_.ended = nullptr;
}

}  // namespace cairnjunction::fleet
