// Generates an open-loop load over HTTP.
#include "lab/load.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::lab {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

struct Load::Call : std::enable_shared_from_this<Load::Call> {
  Load& load;
  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string id, name, request, answer;
  std::size_t gateway;
  Clock::time_point due;
  std::int64_t dueAt;
  std::string why;
  bool over = false;

  Call(Load& l, std::size_t g) : load(l), socket(l.io_), timer(l.io_), gateway(g) {}

  void start() {
    timer.expires_after(load.wait_);
    timer.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->end("no answer in time");
    });
    socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), load.gateways_[gateway]},
                         [self = shared_from_this()](error_code ec) {
                           if (ec) return self->end("not connected: " + ec.message());
                           boost::asio::async_write(self->socket, boost::asio::buffer(self->request),
                                                    [self](error_code, std::size_t) {});
                           self->read();
                         });
  }
  // Reads to the end of the connection, so that a second response would be seen.
  void read() {
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer, 1 << 20),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              self->end(ec == boost::asio::error::eof ? "" : "broke off: " + ec.message());
                            });
  }
  void end(const std::string& reason) {
    if (std::exchange(over, true)) return;
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
    int status = 0;
    std::size_t answers = 0;
    for (std::size_t at = answer.find("HTTP/1.1 "); at != std::string::npos;
         at = answer.find("HTTP/1.1 ", at + 1))
      if (++answers == 1) status = std::atoi(answer.c_str() + at + 9);
    const auto took = std::chrono::duration<double, std::milli>(Clock::now() - due).count();
    load.ledger_ << nlohmann::json{{"id", id},           {"class", name},   {"gateway", gateway},
                                   {"due_ms", dueAt},    {"took_ms", took}, {"status", status},
                                   {"answers", answers}, {"end", reason}}
                        .dump()
                 << '\n';
    --load.open_;
  }
};

Load::Load(boost::asio::io_context& io, std::vector<std::uint16_t> gateways, double rate, std::uint64_t seed,
           const std::string& ledger, std::chrono::milliseconds wait)
    : io_(io),
      gateways_(std::move(gateways)),
      rate_(rate),
      random_(seed),
      ledger_(ledger),
      wait_(wait),
      timer_(io),
      due_(Clock::now()) {}

void Load::stop() {
  stopped_ = true;
  timer_.cancel();
  ledger_.flush();
}

void Load::next() {
  if (rate_ <= 0) return;
  due_ += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(std::exponential_distribution<double>(rate_)(random_)));
  timer_.expires_at(due_);
  timer_.async_wait([this](error_code ec) {
    if (ec || stopped_) return;
    begin();
    next();
  });
}

void Load::begin() {
  const auto call = std::make_shared<Call>(*this, random_() % gateways_.size());
  call->id = "c" + std::to_string(calls_++);
  // Some more cut plans than the rest, as in the sawmills' days.
  const std::uint64_t kind = random_() % 10;
  call->name = kind < 5 ? "cut-plan" : kind < 8 ? "stock-out" : "log-in";
  call->due = due_;
  call->dueAt = fleet::bootTime().time_since_epoch().count() -
                std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - due_).count();
  const std::string head =
      " HTTP/1.1\r\nHost: lab\r\nConnection: close\r\nX-Request-Id: " + call->id + "\r\n";
  // What may simply be repeated is asked for by GET; a log-in has a key.
  if (call->name == "cut-plan") call->request = "GET /cut-plan" + head + "\r\n";
  else
    call->request = "POST /" + call->name + head +
                    (call->name == "log-in" ? "Idempotency-Key: " + call->id + "\r\n" : "") +
                    "Content-Length: 2\r\n\r\n{}";
  ++open_;
  call->start();
}

}  // namespace cairnjunction::lab
