// A connection to a worker over JSON-RPC, with many calls on it, which are matched by id in any order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "jsonrpc/deadline_queue.hpp"
#include "jsonrpc/frame.hpp"
#include "jsonrpc/send_buffer.hpp"
#include "upstream/attempt_deadlines.hpp"
#include "upstream/attempt_tracker.hpp"

namespace cairnjunction::jsonrpc {

class UpstreamPool;

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  using Attempts = AttemptTracker<UpstreamConnection>;
  enum class AddResult {
    added,
    notEncodable  // the call can't be said in JSON, to no endpoint; its attempt has not begun
  };

  // Not connected yet. The referenced objects must outlive the last event of the connection: it has none
  // after close(). `delayed` may be empty.
  UpstreamConnection(boost::asio::io_context& io, UpstreamPool& pool, Attempts& attempts,
                     const ResponseDelayed& delayed, policy::EndpointId endpoint);

  void connect(const boost::asio::ip::tcp::endpoint& address);
  // Begins an attempt, which is written once the connection is up. `call` is not needed after that.
  AddResult add(AttemptKey key, const Call& call, const AttemptTimeouts& timeouts);
  // The attempt is not wanted any more and ends with `outcome`, unless its answer has come meanwhile. If it
  // is written, the worker is asked to stop.
  void cancel(AttemptKey key, policy::Outcome outcome);
  // Ends an attempt whose last byte is not written, if that can be done without harm to the others here.
  void cancelIfUnsent(AttemptKey key, policy::FailureReason reason);
  // Takes no more calls, takes back those that are not written, and closes when the last one has ended.
  void drain();
  // Ends all attempts on it: with `outcome` those that may have been executed, and as never executed the
  // others.
  void close(policy::Outcome outcome, policy::FailureReason reason = policy::FailureReason::unknown);
  void flush();  // writes what the socket takes

  policy::EndpointId endpoint() const { return endpoint_; }
  std::size_t callCount() const { return calls_.size(); }
  bool isIdle() const { return calls_.empty(); }
  bool takesCalls() const { return !closed_ && !draining_; }
  bool hasRoom() const;  // for one call more
  bool isOpen();         // of an idle one: the worker has not closed it, as far as can be seen now
  Clock::time_point idleSince() const { return idleSince_; }  // of an idle one
  bool isIdleTooLong(Clock::time_point now) const;

 private:
  struct PendingCall {
    AttemptKey key;
    AttemptDeadlines deadlines;
    // When something is due next: the end of the time for writing, of the attempt, or of the wait for the
    // answer to a cancel.
    Clock::time_point nextDeadline;
    SendBuffer::Range bytes;  // of its request
    bool isFirst = false;     // the first call on this connection
    bool cancelled = false;   // the worker was asked to stop it, or will be
    bool delayed = false;     // its answer may be the one that is under way behind its limit
    bool reported = false;    // as delayed
    policy::Outcome cancelOutcome = policy::Outcome::timeout;  // of a cancelled one
    AttemptLimit expiredLimit = AttemptLimit::none;            // why it was cancelled, or taken back
  };

  void onConnected();
  void waitReadable();
  void onReadable();
  bool readFrames();
  bool onAnswer(std::string_view text);
  void closeIfDrained();
  void endCall(const PendingCall& call, policy::Outcome outcome, policy::FailureReason reason,
               Message answer = {});
  void endUnsent(std::uint64_t id, policy::FailureReason reason);
  bool isWritten(const PendingCall& call) const;
  void setDeadline(std::uint64_t id, PendingCall& call, Clock::time_point time);
  bool isCurrent(const DeadlineQueue::Deadline& deadline) const;
  void scheduleTimer();
  void onDeadlines();
  void onDeadline(std::uint64_t id);
  void onWriteTimeout(std::uint64_t id);
  bool isAnswerUnderWay();
  bool mayDelay(const PendingCall& call, Clock::time_point now);
  void delayCall(std::uint64_t id, PendingCall& call, Clock::time_point now);
  policy::ConnectionUse connectionUseOf(const PendingCall& call) const;
  bool awaitsAnswerBesideCancelled(Clock::time_point now);
  void endDelayedCalls();

  const policy::EndpointId endpoint_;
  UpstreamPool& pool_;
  Attempts& attempts_;
  const ResponseDelayed& delayed_;
  boost::asio::ip::tcp::socket socket_;       // open from connect() to close(); never blocks
  boost::asio::steady_timer timer_;           // for the earliest of the calls' deadlines and of connecting
  std::optional<Clock::time_point> timerAt_;  // what the timer waits for; empty: it does not
  FrameReader frames_;
  std::string received_;  // no whole frame yet
  SendBuffer unsent_;
  std::unordered_map<std::uint64_t, PendingCall> calls_;               // by their id on the wire
  std::unordered_map<AttemptKey, std::uint64_t, AttemptKeyHash> ids_;  // of calls_
  DeadlineQueue deadlines_;  // holds PendingCall::nextDeadline of each
  bool hasCarriedCall_ = false;
  Clock::time_point connectBy_;                 // once connect() was called
  Clock::time_point idleSince_ = Clock::now();  // the last end of a call, or the opening
  bool connected_ = false;                      // stays so when it is closed
  bool waitingWritable_ = false;                // a wait for the socket to take more is pending
  bool draining_ = false;                       // never reset
  bool closed_ = false;                         // never reset; it has no calls then
};

}  // namespace cairnjunction::jsonrpc
