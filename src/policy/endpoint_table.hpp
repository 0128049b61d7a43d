// Table of the endpoints by id, with the listed ones, this gateway's order of preference among them, and
// their reachability.
#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/class_state.hpp"
#include "policy/endpoint_record.hpp"

namespace cairnjunction::policy {

// Functions that take an id require one that was returned by upsert; isKnown accepts any.
class EndpointTable {
 public:
  struct UpsertResult {
    EndpointId id = kNone;
    bool restarted = false;  // new, or a new process: its statistics must be reset
  };

  // `settings` must outlive this object.
  explicit EndpointTable(const Settings& settings) : settings_(settings) {}

  Endpoint& operator[](EndpointId id) { return endpoints_[id]; }
  const Endpoint& operator[](EndpointId id) const { return endpoints_[id]; }
  std::size_t size() const { return endpoints_.size(); }
  // Whether the id belongs to an endpoint that has not been forgotten.
  bool isKnown(EndpointId id) const { return id < endpoints_.size() && !endpoints_[id].info.address.empty(); }
  // kNone if no endpoint has this address.
  EndpointId idOf(std::string_view address) const;

  // To apply a list, call markAllRemoved (complete lists only), upsert for each entry, then rebuildOrder.
  void markAllRemoved();
  UpsertResult upsert(const EndpointInfo& info, const ClassTable& classes);
  void rebuildOrder();

  // Must be called after ClassTable::reconfigure, with the `origins` that it returned.
  void reconfigure(const ClassTable& classes, const std::vector<std::size_t>& origins);

  void setReachability(EndpointId id, Reachability reachability);

  // Forgets the endpoint and frees its id, if it is removed and no attempt of an open request refers to it;
  // returns whether it did. Until then its zone and cell restrict where its requests may be repeated.
  bool forgetIfUnused(EndpointId id);

  // The active endpoints, sorted by address: the order does not depend on the order of arrival.
  const std::vector<EndpointId>& listed() const { return listed_; }
  // The active endpoints in this gateway's order: its subset first.
  const std::vector<EndpointId>& ordered() const { return ordered_; }
  // Size of the subset: the first ones of ordered(), which alone are used while one of them is idle.
  std::size_t subsetSize() const { return subsetSize_; }
  // Number of active endpoints that are reachable.
  std::size_t reachableCount() const { return reachableCount_; }

  // Attempts of this gateway in flight to endpoints that count towards the pool, see countsTowardsPool:
  // others must not raise the cutoff.
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
