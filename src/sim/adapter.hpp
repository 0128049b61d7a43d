// The adapter to the simulator: reads batches of the wire's lines, passes them to the gateways that they
// name, and puts together the replies. No decision is made here.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "sim/request_ids.hpp"
#include "sim/sim_gateway.hpp"

namespace cairnjunction::sim {

// Holds many gateways, each with a load balancer of its own, and the endpoint lists that they share. Lines
// that cannot be read are skipped with a complaint.
class Adapter {
 public:
  // `complaints` must outlive the adapter.
  explicit Adapter(std::ostream& complaints);

  // Takes one line without its line end. When the line closes a batch, appends the reply to `reply` and
  // returns true.
  bool feed(std::string_view line, std::string& reply);
  bool insideBatch() const { return insideBatch_; }
  // Of the line that was fed last, from 1.
  std::size_t lineNumber() const { return lineNumber_; }

 private:
  struct EndpointList {
    bool known = false;
    std::vector<policy::EndpointInfo> entries;
  };

  struct Instance {
    std::unique_ptr<SimGateway> gateway;
    bool touched = false;  // by an event of this batch
  };

  // Messages; the pairs are the line without its name. They throw BadLine.
  void beginBatch(std::string_view pairs);
  void endBatch(std::string& reply);
  void onEvent(std::string_view name, std::string_view pairs);
  void onEnlist(std::string_view pairs);
  void onRetire(std::string_view pairs);
  void onLedger(std::string_view pairs);
  void onRow(std::string_view pairs);
  void onMembership(std::string_view pairs);

  // The gateway that the line names; it counts as touched.
  SimGateway& gatewayOf(std::string_view pairs);
  policy::Timestamp now() const { return policy::Timestamp(policy::Duration(clock_)); }
  void remove(std::string_view name);
  void complain(std::string_view line, std::string_view cause);

  std::ostream& complaints_;
  TextMap<Instance> instances_;     // by name
  std::vector<Instance*> touched_;  // in order of their first event in this batch: that of their replies
  std::array<EndpointList, 16> lists_;
  EndpointList* filling_ = nullptr;  // the one that rows go into
  std::size_t rowsDue_ = 0;          // rows that it still lacks
  std::int64_t clock_ = 0;           // nanoseconds; never goes back
  std::size_t lineNumber_ = 0;
  bool insideBatch_ = false;
};

}  // namespace cairnjunction::sim
