// The endpoints by id: as listed, in this gateway's order of preference, and as far as they can be reached.
#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/class_state.hpp"
#include "policy/endpoint_record.hpp"

namespace cairnjunction::policy {

class EndpointTable {
 public:
  struct UpsertResult {
    EndpointId id = kNone;
    bool restarted = false;  // new, or a new process: what was learned of it is void
  };

  // `settings` must outlive this object.
  explicit EndpointTable(const Settings& settings) : settings_(settings) {}

  Endpoint& operator[](EndpointId id) { return endpoints_[id]; }
  const Endpoint& operator[](EndpointId id) const { return endpoints_[id]; }
  std::size_t size() const { return endpoints_.size(); }
  // Whether the id names an endpoint; ids of forgotten ones are free.
  bool isKnown(EndpointId id) const { return id < endpoints_.size() && !endpoints_[id].info.address.empty(); }
  // kNone if no endpoint has this address.
  EndpointId idOf(std::string_view address) const;

  // A list is taken in by markAllRemoved (whole lists only), upsert of each entry and rebuildOrder.
  void markAllRemoved();
  UpsertResult upsert(const EndpointInfo& info, const ClassTable& classes);
  void rebuildOrder();

  // Follows ClassTable::reconfigure, which returned `origins`.
  void reconfigure(const ClassTable& classes, const std::vector<std::size_t>& origins);

  void setReachability(EndpointId id, Reachability reachability);

  // Forgets an endpoint that is removed and that no attempt of an open request names; returns whether it did.
  // Until then its zone and cell still bind the repeats of requests that it had.
  bool forgetIfUnused(EndpointId id);

  // The active endpoints by address: the same order at every start.
  const std::vector<EndpointId>& listed() const { return listed_; }
  // The same, in this gateway's order: its own subset first.
  const std::vector<EndpointId>& ordered() const { return ordered_; }
  // How many of `ordered` this gateway keeps to while one of them is idle.
  std::size_t subsetSize() const { return subsetSize_; }
  // How many of `listed` are reachable.
  std::size_t reachableCount() const { return reachableCount_; }

  // Attempts in flight to endpoints in service: one in trouble of its own must not lift the pool's cutoff.
  double inFlight() const;

  MachineKind& kindOf(const Endpoint& endpoint) { return machineKinds_[endpoint.machineKind]; }
  const MachineKind& kindOf(const Endpoint& endpoint) const { return machineKinds_[endpoint.machineKind]; }
  std::vector<MachineKind>& machineKinds() { return machineKinds_; }

 private:
  std::size_t machineKindNamed(const std::string& name);
  void countReachable();

  const Settings& settings_;
  std::vector<Endpoint> endpoints_;  // by id
  std::unordered_map<std::string, EndpointId> idOf_;
  std::vector<EndpointId> freeIds_;
  std::vector<EndpointId> listed_;
  std::vector<EndpointId> ordered_;
  std::size_t subsetSize_ = 0;
  std::size_t reachableCount_ = 0;
  std::vector<MachineKind> machineKinds_;
};

}  // namespace cairnjunction::policy
