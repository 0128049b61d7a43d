// A link between two processes that the lab can delay, hold or reset.
#include "lab/proxy.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>

namespace cairnjunction::lab {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

struct Proxy::Connection : std::enable_shared_from_this<Proxy::Connection> {
  struct Chunk {
    std::string bytes;
    Clock::time_point due;
  };
  struct Way {  // one direction
    tcp::socket& from;
    tcp::socket& to;
    boost::asio::steady_timer timer;
    std::array<char, 16384> buffer{};
    std::deque<Chunk> held{};
    std::size_t bytes = 0;
    bool hold = false, writing = false, ended = false, reading = false;
  };

  Proxy* owner;
  tcp::socket near, far;
  Way out, in;
  bool gone = false;  // one of the two sides

  Connection(Proxy& proxy, tcp::socket socket)
      : owner(&proxy),
        near(std::move(socket)),
        far(proxy.io_),
        out{near, far, boost::asio::steady_timer(proxy.io_)},
        in{far, near, boost::asio::steady_timer(proxy.io_)} {
    out.hold = proxy.holdOut_;
    in.hold = proxy.holdIn_;
  }

  void start() {
    far.async_connect(owner->target_, [self = shared_from_this()](error_code ec) {
      if (!self->owner) return;
      if (ec) return self->close(true);
      error_code ignored;
      self->near.set_option(tcp::no_delay(true), ignored);
      self->far.set_option(tcp::no_delay(true), ignored);
      self->read(self->out);
      self->read(self->in);
    });
  }

  void read(Way& way) {
    if (way.reading || way.ended || way.bytes > kHeldMost) return;
    way.reading = true;
    way.from.async_read_some(
        boost::asio::buffer(way.buffer), [self = shared_from_this(), &way](error_code ec, std::size_t n) {
          way.reading = false;
          if (!self->owner) return;
          if (ec) {
            way.ended = true;
            return self->flush(way);
          }
          way.bytes += n;
          way.held.push_back({std::string(way.buffer.data(), n), Clock::now() + self->owner->delay_});
          self->flush(way);
          self->read(way);
        });
  }

  void flush(Way& way) {
    if (way.writing || way.hold || !owner) return;
    if (way.held.empty()) {
      if (way.ended && (!gone || otherOf(way).held.empty())) close(false);
      return;
    }
    if (way.held.front().due > Clock::now()) {
      way.timer.expires_at(way.held.front().due);
      way.timer.async_wait([self = shared_from_this(), &way](error_code ec) {
        if (!ec) self->flush(way);
      });
      return;
    }
    way.writing = true;
    boost::asio::async_write(way.to, boost::asio::buffer(way.held.front().bytes),
                             [self = shared_from_this(), &way](error_code ec, std::size_t n) {
                               way.writing = false;
                               if (!self->owner) return;
                               if (ec) return self->lost(way);
                               self->owner->bytes_ += n;
                               way.bytes -= n;
                               way.held.pop_front();
                               self->flush(way);
                               self->read(way);
                             });
  }

  // The receiver of `way` has disconnected. Bytes that it sent before are still delivered if they are held
  // back here.
  void lost(Way& way) {
    if (otherOf(way).held.empty()) return close(true);
    gone = true;
    way.held.clear();
    way.bytes = 0;
    way.ended = otherOf(way).ended = true;
  }
  Way& otherOf(const Way& way) { return &way == &out ? in : out; }

  void close(bool reset) {
    if (!owner) return;
    Proxy& proxy = *std::exchange(owner, nullptr);
    error_code ignored;
    for (tcp::socket* socket : {&near, &far}) {
      if (reset) socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    out.timer.cancel();
    in.timer.cancel();
    proxy.connections_.erase(shared_from_this());
  }

  void resetInTheMiddle() {
    for (Way* way : {&out, &in})
      if (!way->writing && !way->held.empty()) {
        error_code ignored;
        const std::string& bytes = way->held.front().bytes;
        way->to.non_blocking(true, ignored);
        way->to.write_some(boost::asio::buffer(bytes.data(), bytes.size() / 2), ignored);
      }
    close(true);
  }
};

Proxy::Proxy(boost::asio::io_context& io, std::uint16_t listen, std::uint16_t target)
    : io_(io),
      acceptor_(io),
      listen_(boost::asio::ip::make_address("127.0.0.1"), listen),
      target_(boost::asio::ip::make_address("127.0.0.1"), target) {
  refuse(false);
}

Proxy::~Proxy() {
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_)) connection->close(true);
}

void Proxy::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
    accept();
  });
}

void Proxy::hold(bool out, bool in) {
  holdOut_ = out;
  holdIn_ = in;
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_)) {
    connection->out.hold = out;
    connection->in.hold = in;
    connection->flush(connection->out);
    connection->flush(connection->in);
  }
}

std::size_t Proxy::held() const {
  std::size_t n = 0;
  for (const auto& connection : connections_) n += connection->out.bytes + connection->in.bytes;
  return n;
}

void Proxy::delay(std::chrono::milliseconds by) { delay_ = by; }

void Proxy::refuse(bool on) {
  if (on) {
    acceptor_.close();
    return reset();
  }
  acceptor_.open(listen_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen();
  accept();
}

void Proxy::reset() {
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_))
    connection->resetInTheMiddle();
}

}  // namespace cairnjunction::lab
