// HTTP/1.1 for clients: makes calls of their requests and answers of the replies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/engine.hpp"
#include "http/server.hpp"
#include "ochrehill/ochrehill.hpp"

namespace cairnjunction {

class HttpFront final : public ReplySink {
 public:
  // Listens at once; throws boost::system::system_error. `engine` must outlive it. `up` tells
  // whether GET /up is answered 200.
  HttpFront(boost::asio::io_context& io, const Listen& listen, HttpServer::Limits limits,
            const std::vector<ochrehill::TenantSettings>& tenants, Engine& engine, std::function<bool()> up);
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  HttpServer& server() { return server_; }
  const HttpServer& server() const { return server_; }
  void setTenants(
      const std::vector<ochrehill::TenantSettings>& tenants);  // by whose index calls go from now on
  void onReply(std::uint64_t ticket, Reply reply) override;

 private:
  void received(ClientRequest request);
  boost::beast::http::status describe(const HttpRequest& message, Call& call) const;
  void clientGone(ExchangeId exchange);

  Engine& engine_;
  std::function<bool()> up_;
  std::unordered_map<std::string, std::uint32_t> tenantOf_;
  std::unordered_map<ExchangeId, CallId> open_;  // at most one for each connection
  HttpServer server_;                            // last: it may hand over requests from here on
};

}  // namespace cairnjunction
