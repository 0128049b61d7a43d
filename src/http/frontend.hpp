// HTTP/1.1 frontend: converts requests of clients to calls of the engine, and replies of the engine to HTTP
// responses.
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
  // Starts to listen; throws boost::system::system_error if that fails. `up` returns whether GET /up is
  // answered with 200 (otherwise 503). With `routing`, it selects the engine for each request; if it is null,
  // all requests go to `engine`. Both must outlive this object. `memory`: see HttpServer.
  HttpFrontend(boost::asio::io_context& io, const ListenOptions& listen, HttpServer::Limits limits,
               const std::vector<policy::TenantSettings>& tenants, Engine& engine, std::function<bool()> up,
               HttpRouting* routing = nullptr, std::shared_ptr<MemoryAccount> memory = nullptr);
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  HttpServer& server() { return server_; }
  const HttpServer& server() const { return server_; }
  void setTenants(const std::vector<policy::TenantSettings>& tenants);  // applies to new calls
  void onReply(std::uint64_t ticket, Reply reply) override;

 private:
  // A call whose reply is pending.
  struct OpenCall {
    CallId id = 0;
    Engine* engine = nullptr;
    HttpRouting::Hold hold;
  };

  void onRequest(ClientRequest request);
  // With routing: answers, drops or forwards the request as the router decides.
  void routeRequest(ClientRequest request);
  void submitRouted(ClientRequest request, const route::Decision& decision);
  // Hands the call to the engine. `hold` is released when the call ends.
  void submit(ClientRequest& request, Call call, Engine& engine, HttpRouting::Hold hold);
  // Sets the attributes of `call` from the header fields of the request, for the class `className`. Returns
  // `ok`, or the status of the response that rejects the request.
  boost::beast::http::status readAttributes(const HttpRequest& message, std::string_view className,
                                            const Engine& engine, Call& call) const;
  // Removes an entry of openCalls_ and releases its reservation.
  OpenCall removeCall(std::unordered_map<ExchangeId, OpenCall>::iterator at);
  void onClientDisconnected(ExchangeId exchange);

  Engine& engine_;
  std::function<bool()> isUp_;
  std::unordered_map<std::string, std::uint32_t> tenantIndexes_;  // by the name of the tenant
  HttpRouting* routing_;                                          // null: no routing
  std::unordered_map<ExchangeId, OpenCall> openCalls_;            // at most one per connection
  HttpServer server_;  // declared last: it may call onRequest() as soon as it is constructed
};

}  // namespace cairnjunction
