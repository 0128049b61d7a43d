// Retries: what may be sent again, where and until when, and how many retries there may be.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// The rules on a single request, by the idempotency of its class.
class RetryPolicy {
 public:
  // Both must outlive this object.
  RetryPolicy(const Settings& settings, const ClassTable& classes, const EndpointTable& endpoints)
      : settings_(settings), classes_(classes), endpoints_(endpoints) {}

  // Whether the endpoint may be sent an attempt: the class's placement allows it, and either no earlier
  // attempt may have executed, or repeats do no harm there (safe classes), or the endpoint drops repeats of
  // them (keyed classes: within the scope and the window of the deduplication).
  bool mayRunAt(const ActiveRequest& request, const Endpoint& endpoint, Timestamp now) const {
    if (!endpoint.allowedForClass[request.classIndex]) return false;
    return request.attemptCount == 0 || mayRepeatAt(request, endpoint, now);
  }

  // Whether the request has had all the attempts that it may have.
  bool isExhausted(const ActiveRequest& request) const;

  // Latest time at which an attempt's answer still has value and reaches the client.
  Timestamp sendDeadline(const ActiveRequest& request) const;

  // Whether the request, with so many of its key ahead of it, would typically end after its send deadline.
  bool cannotFinishInTime(const ActiveRequest& request, std::size_t ahead, Timestamp now) const;

  // Whether the client may be told that it can safely send the request again. If not, the request has to
  // fail.
  bool isSafeToReject(const ActiveRequest& request) const;

  // When a rejected client may come again: later the lower the score, jittered lest all come in one moment.
  // Zero where clients take no such hint; without a draw then.
  Duration retryAfter(const ActiveRequest& request, Random& random) const;

 private:
  bool mayRepeatAt(const ActiveRequest& request, const Endpoint& endpoint, Timestamp now) const;

  const Settings& settings_;
  const ClassTable& classes_;
  const EndpointTable& endpoints_;
};

// Limits retries to a share of the requests, so that they cannot feed an overload. Retries of what never came
// to an endpoint are not counted by the caller: they cost the pool nothing.
class RetryBudget {
 public:
  RetryBudget();

  // A request has come. `requestRate`: requests a second.
  void recordRequest(double requestRate);
  bool allowsRetry() const { return tokens_ >= 1; }
  void spend() { tokens_ -= 1; }

 private:
  double tokens_;  // retries that may be sent
};

}  // namespace cairnjunction::policy
