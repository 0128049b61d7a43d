// A stand-in for discovery.
#include "standins/discovery.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "discovery/endpoint_list.hpp"

namespace cairnjunction::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::int64_t kWaitMost = 60'000;  // milliseconds

// The number behind `name=` in a query, or `none`.
std::int64_t numberOf(const std::string& target, const std::string& name, std::int64_t none) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return none;
  return std::strtoll(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

class StandInDiscovery::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(StandInDiscovery& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  void read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return self->close();
      self->asked();
    });
  }
  void changed() {
    if (waiting_) answer();
  }
  void close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    owner_->connections_.erase(shared_from_this());
  }

 private:
  void asked() {
    ++owner_->calls_;
    const std::string target = request_.target().to_string();
    since_ = numberOf(target, "since", -1);
    if (since_ < 0 || since_ < owner_->version_) return answer();
    waiting_ = true;
    timer_.expires_after(
        std::chrono::milliseconds(std::clamp<std::int64_t>(numberOf(target, "timeout_ms", 0), 0, kWaitMost)));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->waiting_) self->answer();
    });
  }
  void answer() {
    waiting_ = false;
    timer_.cancel();
    response_ = {};
    response_.result(http::status::ok);
    nlohmann::json body = owner_->list();
    if (since_ == owner_->version_) body["all"] = false, body["targets"] = nlohmann::json::array();
    response_.body() = body.dump();
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return self->close();
      self->read();
    });
  }

  StandInDiscovery* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::int64_t since_ = -1;
  bool waiting_ = false;
};

StandInDiscovery::StandInDiscovery(asio::io_context& io, const tcp::endpoint& listen)
    : io_(io), acceptor_(io, listen, true) {
  accept();
}

StandInDiscovery::~StandInDiscovery() {
  for (const auto& connection : std::unordered_set<std::shared_ptr<Connection>>(connections_))
    connection->close();
}

void StandInDiscovery::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->read();
    accept();
  });
}

void StandInDiscovery::set(const std::string& uid, const tcp::endpoint& endpoint, const std::string& zone,
                           const std::string& state) {
  ++version_;
  if (state == "DELETED") {
    targets_.erase(uid);
  } else {
    targets_[uid] = {{"uid", uid},           {"endpoint", textOf(endpoint)},
                     {"az", zone},           {"model", "stand-in"},
                     {"pod_group", 0},       {"state", state},
                     {"capacity_hint", 1.0}, {"boot_ms", 0}};
  }
  for (const auto& connection : std::unordered_set<std::shared_ptr<Connection>>(connections_))
    connection->changed();
}

nlohmann::json StandInDiscovery::list() const {
  nlohmann::json targets = nlohmann::json::array();
  for (const auto& [uid, target] : targets_.items()) targets.push_back(target);
  return {{"rev", version_}, {"all", true}, {"targets", std::move(targets)}};
}

}  // namespace cairnjunction::standins
