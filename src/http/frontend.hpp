// HTTP/1.1 for clients: makes calls of their requests and answers of the replies.
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
  // Listens at once; throws boost::system::system_error. `engine` must outlive it. `up` tells
  // whether GET /up is answered 200. With `routing`, which must outlive it too, requests go by routes;
  // otherwise all go to `engine`.
  HttpFrontend(boost::asio::io_context& io, const Listen& listen, HttpServer::Limits limits,
               const std::vector<policy::TenantSettings>& tenants, Engine& engine, std::function<bool()> up,
               HttpRouting* routing = nullptr);
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  HttpServer& server() { return server_; }
  const HttpServer& server() const { return server_; }
  void setTenants(const std::vector<policy::TenantSettings>& tenants);  // by whose index calls go from now on
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
  // What the module is to know of a request of the class that its path names; `ok`, or the status to answer.
  boost::beast::http::status describe(const HttpRequest& message, std::string_view className,
                                      const Engine& engine, Call& call) const;
  Open over(std::unordered_map<ExchangeId, Open>::iterator at);
  void clientGone(ExchangeId exchange);

  Engine& engine_;
  std::function<bool()> up_;
  std::unordered_map<std::string, std::uint32_t> tenantOf_;
  HttpRouting* routing_;                       // null: none
  std::unordered_map<ExchangeId, Open> open_;  // at most one for each connection
  HttpServer server_;                          // last: it may hand over requests from here on
};

}  // namespace cairnjunction
