// Open requests and their attempts.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/timer_queue.hpp"

namespace cairnjunction::policy {

constexpr std::size_t kAttemptsMost = 8;  // attempts kept for one request

struct Attempt {
  EndpointId endpoint = kNone;
  Timestamp sentAt{};
  bool inFlight = false;
  bool mayHaveExecuted = false;  // until its result says that it never ran
  bool cancelled = false;        // its cancellation was asked for
  bool newConnection = false;    // no open connection had room for it
  std::size_t idleStep = 0;  // how long its connection lay idle, see ConnectionAgeTracker; 0: new or in use
};

// A request from its arrival until it is answered and all its attempts are settled.
struct ActiveRequest {
  RequestId id = 0;
  RequestRef ref;                // its place in the RequestTable
  std::uint32_t classIndex = 0;  // into the ClassTable
  Timestamp deadline{};          // the client leaves then
  Timestamp objectiveAt{};       // an answer after this is late
  double costRatio = 1;          // expected cost against the class's mean
  double score = 0;              // priority score: 1 to 100
  std::optional<std::uint64_t> key;
  bool live = false;             // the slot is in use
  bool ended = false;            // answered, or its client left; attempts may still be in flight
  bool responseStarted = false;  // the client has part of an answer: no other attempt may be sent
  std::array<Attempt, kAttemptsMost> attempts;
  std::uint32_t attemptCount = 0;             // of `attempts` that were sent
  std::uint32_t attemptsInFlight = 0;         // of those: not settled
  std::uint32_t maxAttempts = kAttemptsMost;  // by the request itself

  // Whether any attempt so far may have run at its endpoint.
  bool mayHaveExecuted() const;
  // Whether an attempt was sent to this endpoint.
  bool wasSentTo(EndpointId endpoint) const;
};

// Keeps open requests in slots that are used again. References stay valid until the next open().
class RequestTable {
 public:
  // Opens a request; nullptr if one of this id is open.
  ActiveRequest* open(RequestId id);
  // Gives a request's slot on. What it held can be read until the next open().
  void close(ActiveRequest& request);

  // The open request of this id, or nullptr.
  ActiveRequest* find(RequestId id);
  ActiveRequest& at(std::uint32_t slot) { return slots_[slot]; }
  // The request that `ref` names, or nullptr if it was closed.
  ActiveRequest* find(RequestRef ref);
  const ActiveRequest* find(RequestRef ref) const;
  // The attempt of that request that is in flight to this endpoint, or nullptr.
  const Attempt* attemptInFlight(RequestRef ref, EndpointId endpoint) const;

  std::size_t size() const { return slotOf_.size(); }
  template <class Visitor>
  void forEach(Visitor visit) {
    for (ActiveRequest& request : slots_)
      if (request.live) visit(request);
  }

 private:
  std::vector<ActiveRequest> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::unordered_map<RequestId, std::uint32_t> slotOf_;  // the live slots
};

}  // namespace cairnjunction::policy
