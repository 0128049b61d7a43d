// One gateway of the simulator: a load balancer, the names it is told, and its part of the reply.
#pragma once

#include <string>
#include <string_view>

#include "cairnjunction/load_balancer.hpp"
#include "sim/request_ids.hpp"

namespace cairnjunction::sim {

// Its events are lines of the wire without the message's name. They throw BadLine for what cannot be read,
// and have then left the load balancer as it was. Each appends the actions that came of it to the reply.
class SimGateway {
 public:
  // Throws std::invalid_argument for settings that make no sense.
  SimGateway(std::string_view name, const policy::Settings& settings, policy::Timestamp now);

  const std::string& name() const { return name_; }

  void onRequest(policy::Timestamp now, std::string_view pairs);
  void onResult(policy::Timestamp now, std::string_view pairs);
  void onClientDisconnected(policy::Timestamp now, std::string_view pairs);
  void onResponseStarted(policy::Timestamp now, std::string_view pairs);
  void onWake(policy::Timestamp now);
  void onEndpoints(policy::Timestamp now, policy::EndpointListKind kind,
                   const std::vector<policy::EndpointInfo>& entries);

  // Moves the reply so far to the end of `out`.
  void moveReply(std::string& out);

 private:
  policy::Request parseRequest(std::string_view pairs) const;
  void printActions();
  bool print(const policy::Action& action);
  void begin(std::string_view message);
  void field(std::string_view name, std::string_view value);
  void field(std::string_view name, std::int64_t value);

  std::string name_;
  policy::LoadBalancer balancer_;
  RequestIds requests_;
  TextMap<std::uint32_t> classIndex_;   // by name
  TextMap<std::uint32_t> tenantIndex_;  // by name
  std::string reply_;
};

}  // namespace cairnjunction::sim
