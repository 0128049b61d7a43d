// The operators' door.
#include "admin/admin_server.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace cairnjunction::admin {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr auto kAcceptAgain = std::chrono::milliseconds(20);  // when no descriptor is left

}  // namespace

class Door::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Door& door, tcp::socket socket)
      : door_(&door), socket_(std::move(socket)), timer_(door.io_, kPatience) {}

  void start() {
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->leave();
    });
    read();
  }

  void close() {
    door_ = nullptr;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void leave() {
    if (door_) door_->leave(shared_from_this());
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (!self->door_) return;
      if (ec) return self->leave();
      self->line_.append(self->chunk_.data(), n);
      const std::size_t end = self->line_.find('\n');
      if (end != std::string::npos) return self->answer(std::string_view(self->line_).substr(0, end));
      if (self->line_.size() > kLineMost) return self->write("FAILURE the line is too long\n");
      self->read();
    });
  }

  void answer(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    write(line.size() > kLineMost ? "FAILURE the line is too long\n" : door_->answer_(line));
  }

  void write(std::string text) {
    text_ = std::move(text);
    asio::async_write(socket_, asio::buffer(text_), [self = shared_from_this()](error_code, std::size_t) {
      if (!self->door_) return;
      // Danger: closed with unread bytes in it, the connection would be reset, and the answer lost.
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->drain();
    });
  }

  void drain() {  // until the caller closes, or its time is over
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->door_) return;
      if (ec) return self->leave();
      self->drain();
    });
  }

  Door* door_;  // null once it has left
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 512> chunk_;
  std::string line_, text_;
};

Door::Door(asio::io_context& io, const tcp::endpoint& listen, Answer answer)
    : io_(io), acceptor_(io, listen, true), again_(io), answer_(std::move(answer)) {
  accept();
}

Door::~Door() {
  for (const auto& caller : callers_) caller->close();
}

void Door::accept() {
  acceptor_.async_accept(lifetime_.guard([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {  // Danger: with no descriptor left the listener stays ready, and the loop would spin.
      again_.expires_after(kAcceptAgain);
      again_.async_wait(lifetime_.guard([this](error_code stopped) {
        if (!stopped) accept();
      }));
      return;
    }
    if (callers_.size() >= kCallersMost) leave(callers_.front());
    callers_.push_back(std::make_shared<Caller>(*this, std::move(socket)));
    callers_.back()->start();
    accept();
  }));
}

void Door::leave(const std::shared_ptr<Caller>& caller) {
  const std::shared_ptr<Caller> held = caller;
  held->close();
  callers_.remove(held);
}

}  // namespace cairnjunction::admin
