// Retries: which requests may be retried, at which endpoints and until when, and how many retries are
// allowed.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// Rules for retries of a single request, by the idempotency of its class.
class RetryPolicy {
 public:
  // All references must outlive this object.
  RetryPolicy(const Settings& settings, const ClassTable& classes, const EndpointTable& endpoints)
      : settings_(settings), classes_(classes), endpoints_(endpoints) {}

  // Whether an attempt may be sent to the endpoint: the class allows its zone and machine kind, and either no
  // earlier attempt may have been executed, or the class is safe, or the class is keyed and the endpoint
  // deduplicates the earlier attempts (same dedup scope, within the dedup window).
  bool mayRunAt(const ActiveRequest& request, const Endpoint& endpoint, Timestamp now) const {
    if (!endpoint.allowedForClass[request.classIndex]) return false;
    return request.attemptCount == 0 || mayRepeatAt(request, endpoint, now);
  }

  // Whether the request has used all its allowed attempts.
  bool isExhausted(const ActiveRequest& request) const;

  // Latest time at which the answer to an attempt may arrive here: it then still has value and reaches the
  // client in time.
  Timestamp attemptDeadline(const ActiveRequest& request) const;

  // Whether the request, with `ahead` requests of its key before it, would typically end after its
  // attempt deadline.
  bool cannotFinishInTime(const ActiveRequest& request, std::size_t ahead, Timestamp now) const;

  // Whether the request may be rejected, which tells the client that it can safely be repeated. If not, it
  // must be failed.
  bool isSafeToReject(const ActiveRequest& request) const;

  // Retry-After for a rejected client: longer the lower the score, with jitter so that clients do not return
  // simultaneously. Zero, without a random draw, if clients do not honour Retry-After.
  Duration retryAfter(const ActiveRequest& request, Random& random) const;

 private:
  bool mayRepeatAt(const ActiveRequest& request, const Endpoint& endpoint, Timestamp now) const;

  const Settings& settings_;
  const ClassTable& classes_;
  const EndpointTable& endpoints_;
};

// Limits retries and hedges to a fraction of the requests, so that they cannot add to an overload. The caller
// does not charge retries of attempts that never reached an endpoint: they put no load on the pool.
class RetryBudget {
 public:
  RetryBudget();

  // A request has arrived. `requestRate`: requests per second.
  void recordRequest(double requestRate);
  bool allowsRetry() const { return tokens_ >= 1; }
  // Charges one retry or hedge.
  void spend() { tokens_ -= 1; }

 private:
  double tokens_;  // retries that may be sent
};

}  // namespace cairnjunction::policy
