// An HTTP/1.1 connection to an endpoint, which carries one attempt at a time. docs/design/http-upstream.md
// lists its states and the transition for each event.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

#include "cairnjunction/load_balancer.hpp"
#include "common/memory_account.hpp"
#include "core/attempt.hpp"
#include "http/request_progress.hpp"
#include "http/request_writer.hpp"
#include "http/response_reader.hpp"
#include "upstream/attempt_deadlines.hpp"
#include "upstream/attempt_tracker.hpp"
#include "upstream/connection_trust.hpp"
#include "upstream/idle_connection.hpp"

namespace cairnjunction {

class HttpConnectionPool;

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  using Attempts = AttemptTracker<HttpConnection>;

  // Not connected yet. The referenced objects must stay valid until close(); no event is handled after that.
  HttpConnection(boost::asio::io_context& io, HttpConnectionPool& pool, Attempts& attempts,
                 const ResponseEvents& events, policy::EndpointId endpoint);

  // Begins an attempt, which the caller has added to `attempts` with this connection: connects first, if that
  // is not done, and waits until the connection has been silent for long enough. `call` must stay valid until
  // the attempt has ended.
  void start(AttemptKey key, const boost::asio::ip::tcp::endpoint& address, const Call& call,
             const AttemptDeadlines& deadlines);
  // Connects for a later attempt. The connection then becomes idle.
  void openSpare(const boost::asio::ip::tcp::endpoint& address);
  // The endpoint has sent unsolicited bytes on some connection: ends the attempt here, unless its response
  // can be trusted nevertheless.
  void onEndpointDistrusted(UnsolicitedAfter after);
  void cancel();          // ends the attempt
  void cancelIfUnsent();  // ends the attempt unless the last byte of its request is written
  // Closes it in any state, without reporting an outcome. The pool must not list it as idle any more.
  void close();

  policy::EndpointId endpoint() const { return endpoint_; }
  // Since the last response, or since it was established.
  Clock::time_point silentSince() const { return silentSince_; }
  ConnectionHistory history(Clock::time_point now) const {
    return {requests_, firstSilence_, now - silentSince_};
  }
  policy::Duration connectTime() const { return connectTime_; }  // about a round trip
  bool isUsed() const { return requests_ > 0; }  // a request was written to it, if only in part
  UnsolicitedAfter unsolicitedAfter() const;     // of unsolicited bytes that it has now
  // Of an idle connection.
  IdleInput idleInput() { return idleInputOf(socket_); }

 private:
  enum class Phase {
    connecting,  // also before start()
    quiet,       // waits until it has been silent for long enough
    writing,     // the last byte of the request is not written
    reading,     // the request is written; the response is not complete
    idle,        // no attempt; listed as idle by the pool
    closed
  };

  void connect();
  void onConnected();
  void writeWhenQuiet();
  void waitForSilence(Clock::time_point silentEnough);
  void onQuietInput();
  void beginWriting();
  void write();
  void waitWritable();
  void watchRequestProgress();
  std::size_t takenRequestBytes();
  bool isRequestBeingTaken();
  void onWriteLimit();
  void beginReading();
  void onResponseStartLimit();
  bool hasResponseBegun();
  void onResponseProgress();
  void delayResponse();
  void onClientTimeNear();
  void onClientTime();
  void passOn();
  void reportDelay();
  void receive();
  void onReceived();
  void onComplete();
  void onReadFailed(const boost::system::error_code& ec);
  void chargeResponse();
  bool exceedsMemory() const;
  StreamReason streamReason() const;
  policy::Duration silence() const;
  bool streamBody();
  void startStreaming(StreamReason reason);
  void excludeFromCounts();
  AttemptOutcome servedOutcome(policy::Duration elapsed, Message response) const;
  void onStreamRoom();
  void limitSilence(Clock::time_point silentFrom);
  void onSilence();
  void onStreamLeft();
  void end(policy::Outcome outcome, policy::FailureReason reason = policy::FailureReason::unknown,
           bool reusable = false);
  void endUnwritten(policy::Outcome outcome, policy::FailureReason reason);
  void onUnsolicitedBytes(policy::Outcome outcome);
  bool isTrusted(UnsolicitedAfter after) const;
  void becomeIdle();
  void watchIdle();
  void onIdleInput();
  void callAt(Clock::time_point time, void (HttpConnection::*action)());
  void endAt(Clock::time_point time, AttemptLimit limit, policy::Outcome outcome,
             policy::FailureReason reason = policy::FailureReason::unknown);
  void stopTimer();
  bool isEndpointServing() const;
  policy::ConnectionUse connectionUse() const;

  HttpConnectionPool& pool_;
  Attempts& attempts_;
  const ResponseEvents& events_;
  const policy::EndpointId endpoint_;
  boost::asio::ip::tcp::endpoint address_;  // of the endpoint; set by start()
  boost::asio::ip::tcp::socket socket_;     // open from connect() to close(); non-blocking
  boost::asio::steady_timer timer_;         // for the current phase
  std::uint64_t timerWait_ = 0;             // number of the timer's latest wait; earlier waits have no effect
  AttemptLimit expiredLimit_ = AttemptLimit::none;  // that ends the current attempt
  Phase phase_ = Phase::connecting;
  AttemptKey key_;              // of the current attempt; meaningless while idle
  AttemptDeadlines deadlines_;  // of the current attempt
  const Call* call_ = nullptr;  // of the current attempt until its request is written; null after that
  RequestWriter writer_;
  Clock::time_point writeBy_;  // the last byte of the current request is written then, or never
  RequestProgress progress_;
  ResponseReader reader_;
  MemoryCharge responseCharge_;        // for what the reader holds
  Clock::time_point responseBegunAt_;  // the first byte of the current response
  Clock::time_point lastReceivedAt_;   // its latest byte
  Clock::time_point silentSince_;
  policy::Duration connectTime_{};
  policy::Duration firstSilence_{};   // before the first request
  std::uint64_t requests_ = 0;        // written to it, if only in part
  bool established_ = false;          // the connection has been established
  bool hasAttempt_ = false;           // an attempt is using it
  bool openedForAttempt_ = false;     // the current attempt is the first
  bool mayStream_ = false;            // the response of the current attempt may be streamed
  bool readingPaused_ = false;        // the stream is full; onStreamRoom() resumes reading
  bool requestDelayed_ = false;       // the endpoint still took the request at the limit for the response
  bool responseBegun_ = false;        // a part of a final response has been read
  bool lateReplyLimited_ = false;     // the timer has the latest time of a final answer
  bool responseDelayed_ = false;      // the rest of the response is awaited past the limit for its begin
  bool closesAfterResponse_ = false;  // the endpoint has sent unsolicited bytes during the current attempt
  bool onlyTransferring_ = false;  // excluded from its endpoint's counts: only the rest of a response is due
  bool watchingIdle_ = false;      // a wait for the socket to become readable is pending
};

}  // namespace cairnjunction
