// A connection to an endpoint over HTTP/1.1, with one attempt at a time on it. docs/design/http-upstream.md
// has its states and what each event does in them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "http/request_writer.hpp"
#include "http/response_reader.hpp"
#include "upstream/attempt_deadlines.hpp"
#include "upstream/attempt_tracker.hpp"

namespace cairnjunction {

class HttpConnectionPool;

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  using Attempts = AttemptTracker<HttpConnection>;

  // Not connected yet. What is referred to must outlive the last event of the connection: it has none after
  // close(). `responseStarted` may be empty: then no answer is passed on.
  HttpConnection(boost::asio::io_context& io, HttpConnectionPool& pool, Attempts& attempts,
                 const ResponseStarted& responseStarted, policy::EndpointId endpoint)
      : pool_(pool),
        attempts_(attempts),
        responseStarted_(responseStarted),
        endpoint_(endpoint),
        socket_(io),
        timer_(io) {}

  // Begins an attempt, whose key `attempts` has with this connection already: connects first, or waits until
  // the connection has been quiet. `call` must stay valid until the attempt has ended.
  void start(AttemptKey key, const boost::asio::ip::tcp::endpoint& address, const Call& call,
             const AttemptDeadlines& deadlines);
  void cancel();          // ends the attempt
  void cancelIfUnsent();  // ends the attempt if its last byte is not written
  // Closes it without a report, whatever its state. It must not be in the pool's hands any more.
  void close();

  policy::EndpointId endpoint() const { return endpoint_; }
  Clock::time_point idleSince() const { return idleSince_; }  // since the end of the last attempt
  bool isUsable();  // of an idle one: nothing has come, and the endpoint has not closed it

 private:
  enum class Phase {
    connecting,  // also before start()
    quiet,       // used before; waits until nothing can come any more behind the last answer
    writing,     // the last byte of the request is not written
    reading,     // written whole
    idle,        // no attempt; in the pool's hands
    closed
  };

  void connect();
  void onConnected();
  void writeWhenQuiet();
  void onQuiet();
  void beginWriting();
  void write();
  void waitWritable();
  void beginReading();
  void receive();
  void onReceived();
  void onReadFailed(const boost::system::error_code& ec);
  bool passOnBody();
  void startPassingOn();
  void onStreamRoom();
  void onStreamLeft();
  void end(policy::Outcome outcome, policy::FailureReason reason = policy::FailureReason::unknown,
           bool reusable = false);
  void becomeIdle();
  void watchIdle();
  void endAt(Clock::time_point time, policy::Outcome outcome,
             policy::FailureReason reason = policy::FailureReason::unknown);
  void stopTimer();
  bool isEndpointServing() const;
  policy::ConnectionUse connectionUse() const;

  HttpConnectionPool& pool_;
  Attempts& attempts_;
  const ResponseStarted& responseStarted_;
  const policy::EndpointId endpoint_;
  boost::asio::ip::tcp::endpoint address_;  // that it is connected to; set by start()
  boost::asio::ip::tcp::socket socket_;     // open from connect() to close(); never blocks
  boost::asio::steady_timer timer_;         // for the present phase
  std::uint64_t timerWait_ = 0;             // number of the timer's latest wait; earlier ones are void
  Phase phase_ = Phase::connecting;
  AttemptKey key_;              // of the present attempt; void while idle
  AttemptDeadlines deadlines_;  // of the present attempt
  const Call* call_ = nullptr;  // of the present attempt, until it is written; null after that
  RequestWriter writer_;
  ResponseReader reader_;
  Clock::time_point idleSince_;
  bool established_ = false;    // the connection was up
  bool reused_ = false;         // an attempt has ended on it
  bool mayPassOn_ = false;      // the present attempt's answer may be passed on while it comes
  bool readingPaused_ = false;  // the stream has no room; onStreamRoom() goes on
  bool onlyStreaming_ = false;  // excluded from its endpoint's counts, as it passes on an answer
  bool watchingIdle_ = false;   // a wait for the socket to become readable is pending
};

}  // namespace cairnjunction
