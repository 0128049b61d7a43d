#include "policy/request_table.hpp"

#include <algorithm>

namespace cairnjunction::policy {

bool ActiveRequest::mayHaveExecuted() const {
  return std::any_of(attempts.begin(), attempts.begin() + attemptCount,
                     [](const Attempt& attempt) { return attempt.mayHaveExecuted; });
}

bool ActiveRequest::wasSentTo(EndpointId endpoint) const {
  return std::any_of(attempts.begin(), attempts.begin() + attemptCount,
                     [&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}

ActiveRequest* RequestTable::open(RequestId id) {
  if (slotOf_.contains(id)) return nullptr;
  std::uint32_t slot = 0;
  if (freeSlots_.empty()) {
    slot = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    slot = freeSlots_.back();
    freeSlots_.pop_back();
  }
  ActiveRequest& request = slots_[slot];
  const std::uint32_t generation = request.ref.generation + 1;
  request = ActiveRequest{};
  request.id = id;
  request.ref = {slot, generation};
  request.inUse = true;
  slotOf_.emplace(id, slot);
  return &request;
}

void RequestTable::close(ActiveRequest& request) {
  slotOf_.erase(request.id);
  request.inUse = false;
  freeSlots_.push_back(request.ref.slot);
}

ActiveRequest* RequestTable::find(RequestId id) {
  const auto it = slotOf_.find(id);
  return it == slotOf_.end() ? nullptr : &slots_[it->second];
}

const ActiveRequest* RequestTable::find(RequestRef ref) const {
  const ActiveRequest& request = slots_[ref.slot];
  return request.inUse && request.ref.generation == ref.generation ? &request : nullptr;
}

ActiveRequest* RequestTable::find(RequestRef ref) {
  ActiveRequest& request = slots_[ref.slot];
  return request.inUse && request.ref.generation == ref.generation ? &request : nullptr;
}

const Attempt* RequestTable::attemptInFlight(RequestRef ref, EndpointId endpoint) const {
  const ActiveRequest* request = find(ref);
  if (!request) return nullptr;
  for (std::uint32_t i = 0; i < request->attemptCount; ++i) {
    const Attempt& attempt = request->attempts[i];
    if (attempt.inFlight && attempt.endpoint == endpoint) return &attempt;
  }
  return nullptr;
}

}  // namespace cairnjunction::policy
