// HTTP/1.1 frontend: turns client requests into calls of the engine, and its replies into HTTP responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/engine.hpp"
#include "http/routing.hpp"
#include "http/server.hpp"

namespace cairnjunction {

class HttpFrontend final : public ReplySink {
 public:
  // Listens at once; throws boost::system::system_error. `up`: whether the response to GET /up is 200. With
  // `routing`, requests are routed; otherwise all go to `engine`. Both must outlive this object.
  HttpFrontend(boost::asio::io_context& io, const Listen& listen, HttpServer::Limits limits,
               const std::vector<policy::TenantSettings>& tenants, Engine& engine, std::function<bool()> up,
               HttpRouting* routing = nullptr);
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  HttpServer& server() { return server_; }
  const HttpServer& server() const { return server_; }
  void setTenants(const std::vector<policy::TenantSettings>& tenants);  // for new calls
  void onReply(std::uint64_t ticket, Reply reply) override;

 private:
  struct Open {
    CallId id = 0;
    Engine* engine = nullptr;
    HttpRouting::Hold hold;
  };

  void received(ClientRequest request);
  void route(ClientRequest request);
  void routed(ClientRequest request, const route::Decision& decision);
  void take(ClientRequest& request, Call call, Engine& engine, HttpRouting::Hold hold);
  // Fills in the call's attributes from the request, whose path names its class. Returns `ok`, or the status
  // of the response that rejects it.
  boost::beast::http::status describe(const HttpRequest& message, std::string_view className,
                                      const Engine& engine, Call& call) const;
  Open over(std::unordered_map<ExchangeId, Open>::iterator at);
  void clientGone(ExchangeId exchange);

  Engine& engine_;
  std::function<bool()> up_;
  std::unordered_map<std::string, std::uint32_t> tenantOf_;
  HttpRouting* routing_;                       // null: none
  std::unordered_map<ExchangeId, Open> open_;  // at most one for each connection
  HttpServer server_;                          // last: it may hand over requests at once
};

}  // namespace cairnjunction
