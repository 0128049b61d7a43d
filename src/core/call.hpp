// Calls, attempts and replies, and the two interfaces between the engine and the protocols: a front hands
// calls in and is given their replies; an upstream carries attempts and tells how they ended.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cairnjunction/load_balancer.hpp"
#include "core/message.hpp"

namespace cairnjunction {

using CallId = policy::RequestId;  // given out by the engine; never used again

struct Call {
  std::string externalId;      // as workers are told it; no two open calls have the same
  std::string idempotencyKey;  // by which workers drop repeats; empty: none
  policy::Request attributes;  // for the decisions; its id is the engine's to set
  Message message;
  bool acceptsStreaming = false;  // its front can pass on an answer with Message::rest
};

enum class ReplyStatus {
  ok,        // the message is the worker's answer to this call
  rejected,  // the same call again does no harm
  failed     // nothing is promised: it may have run
};

struct Reply {
  ReplyStatus status = ReplyStatus::failed;
  Message message;                // whole, with Verdict::served
  policy::Duration retryAfter{};  // with Verdict::refused; 0 = nothing to say
};

// The front's end. `ticket` is what the front gave when it handed the call in. Called once for each call that
// was taken and not abandoned, perhaps from within Engine::take.
class ReplySink {
 public:
  virtual void onReply(std::uint64_t ticket, Reply reply) = 0;

 protected:
  ~ReplySink() = default;
};

struct AttemptKey {
  CallId call = 0;
  std::uint32_t attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& k) const {
    return std::hash<std::uint64_t>{}(k.call * 16 + k.attempt);
  }
};

struct AttemptOutcome {
  AttemptKey key;
  policy::EndpointId endpoint = policy::kNone;
  policy::Outcome outcome = policy::Outcome::reset;
  policy::Duration elapsed{};
  Message response;  // whole, with Outcome::served
  // What the pool knows beside: why, and on which connection.
  policy::FailureReason failureReason = policy::FailureReason::unknown;
  policy::ConnectionUse connectionUse = policy::ConnectionUse::unknown;
  bool connectionKept = false;
};

// An attempt whose answer is passed on while it comes, told as served when that begins; how it came to its
// end is told after that as the end of every attempt is. Only for calls with Call::streams.
using ResponseStarted = std::function<void(AttemptOutcome)>;

struct EndpointConnections {
  std::uint32_t open = 0;         // established or being opened, and not passing on an answer
  std::uint32_t established = 0;  // established
};

// How long an attempt may take, counted from its start.
struct AttemptTimeouts {
  AttemptTimeouts(policy::Duration answerBy, policy::Duration writtenBy = policy::Duration::max())
      : response(answerBy), write(writtenBy) {}
  policy::Duration response;  // > 0: it ends by Outcome::timeout then
  policy::Duration write;     // what is not written to its last byte by then never is, and never ran
};

// Carries out what it is told and sends nothing again by itself. Each attempt that was started ends exactly
// once, by a call of the function that the upstream was made with, perhaps from within start(), cancel() or
// withdraw().
class Upstream {
 public:
  virtual ~Upstream() = default;
  // `call` is valid until the attempt has ended.
  virtual void start(AttemptKey key, policy::EndpointId host, const Call& call,
                     const AttemptTimeouts& limits) = 0;
  virtual void cancel(AttemptKey key) = 0;
  // Its client left. Taken back if it is not written to its last byte (it never ran), whether or not attempts
  // may be cancelled; otherwise it goes on.
  virtual void cancelIfUnsent(AttemptKey key) = 0;
  virtual void closeIdle(policy::EndpointId host) = 0;
  virtual void forget(
      policy::EndpointId host) = 0;  // gone, with no attempt out: its id may be given out anew
};

}  // namespace cairnjunction
