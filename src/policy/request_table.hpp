// Table of the open requests and their attempts.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/timer_queue.hpp"

namespace cairnjunction::policy {

constexpr std::size_t kMaxAttemptsPerRequest = 8;  // capacity of ActiveRequest::attempts

// An attempt of a request at an endpoint.
struct Attempt {
  EndpointId endpoint = kNone;
  Timestamp sentAt{};
  bool inFlight = false;
  bool mayHaveExecuted = false;  // until its result shows that it was not executed
  bool cancelled = false;        // an ActionKind::cancel was issued
  bool newConnection = false;    // no open connection had capacity for it
  std::size_t idleStep = 0;      // see ConnectionAgeTracker::SendEffect
};

// A request from its arrival until it has ended and none of its attempts is in flight.
struct ActiveRequest {
  RequestId id = 0;
  RequestRef ref;                // its slot in the RequestTable
  std::uint32_t classIndex = 0;  // into the ClassTable
  Timestamp deadline{};          // the client times out at this time
  Timestamp objectiveAt{};       // an answer after this is late
  double costRatio = 1;          // expected cost as a multiple of the class's mean
  double score = 0;              // priority score: 1 to 100
  std::optional<std::uint64_t> key;
  bool inUse = false;            // the slot is in use
  bool ended = false;            // answered, or its client disconnected; attempts may still be in flight
  bool responseStarted = false;  // the client has received part of an answer: no more attempts
  std::array<Attempt, kMaxAttemptsPerRequest> attempts;
  std::uint32_t attemptCount = 0;                      // number of entries of `attempts` in use
  std::uint32_t attemptsInFlight = 0;                  // number of those whose result is not known
  std::uint32_t maxAttempts = kMaxAttemptsPerRequest;  // limit set by the request itself

  // Whether any attempt so far may have been executed.
  bool mayHaveExecuted() const;
  // Whether an attempt was sent to this endpoint.
  bool wasSentTo(EndpointId endpoint) const;
};

// Stores open requests in slots, which are reused. References to requests stay valid until the next open().
class RequestTable {
 public:
  // Opens a request; nullptr if one with this id is already open.
  ActiveRequest* open(RequestId id);
  // Closes a request and frees its slot. Its members stay readable until the next open().
  void close(ActiveRequest& request);

  // The open request with this id, or nullptr.
  ActiveRequest* find(RequestId id);
  // `slot` must be in use.
  ActiveRequest& at(std::uint32_t slot) { return slots_[slot]; }
  // The request that `ref` refers to, or nullptr if it has been closed.
  ActiveRequest* find(RequestRef ref);
  const ActiveRequest* find(RequestRef ref) const;
  // The attempt of that request that is in flight to this endpoint, or nullptr.
  const Attempt* attemptInFlight(RequestRef ref, EndpointId endpoint) const;

  std::size_t size() const { return slotOf_.size(); }
  template <class Visitor>
  void forEach(Visitor visit) {
    for (ActiveRequest& request : slots_)
      if (request.inUse) visit(request);
  }

 private:
  std::vector<ActiveRequest> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::unordered_map<RequestId, std::uint32_t> slotOf_;  // the slots in use
};

}  // namespace cairnjunction::policy
