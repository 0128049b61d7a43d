// The client of discovery: a watch on the list of hosts (a long poll), and what takes its place when it
// breaks.
//
// A watch can break without a word: its answer never comes, and what changed meanwhile is not heard. So a
// watch waits only briefly, for a time that is drawn anew each time, and one that is silent past its wait has
// broken as far as we know: the list is *stale* from then on, and is asked for again (a *resync*) by tries
// that are spaced by a drawn backoff until one is answered. The old watch is kept beside them as long as it
// may still be answered. docs/design/discovery.md has the states, the events, and the reason of each time.
//
// When to begin a watch anew that failed with a word (turned away, reset) is decided by the module, through
// Callbacks::failed and watch(); where lists are pushed there is nobody to decide it, and a resync does it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "common/callback_guard.hpp"
#include "discovery/endpoint_list.hpp"
#include "discovery/endpoint_list_call.hpp"

namespace cairnjunction {

class DiscoveryClient {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // None is called from within watch(), moveTo(), verify() or stop().
  struct Callbacks {
    std::function<void(const EndpointList&)> onEndpoints;
    std::function<void()> onWatchFailed;  // the watch is over, and nothing is asked before watch()
    std::function<void()> onRefreshFailed = [] {
    };  // the watch goes on, and the call beside it was not answered
    std::function<void()> onRetryFailed = [] {};  // of a resync or a move: there will be another
  };
  struct Timeouts {
    Milliseconds watchMin{1000}, watchMax{2000};  // a watch waits for a time between these;
    Milliseconds watchGrace{250};                 // silent for so much longer, it has broken,
    Milliseconds staleWatchLinger{2000};          // and then it may still be answered for so long
    Milliseconds connect{500};                    // for a connection to discovery to come up,
    Milliseconds response{2250};                  // and for a call that does not wait, with it
    // Between two tries of a resync: this, doubled with each up to the most, drawn from half to one and a
    // half of it.
    Milliseconds retryInitialBackoff{100}, retryMaxBackoff{800};

    // Where lists are pushed, by an agent on the same machine, which answers at once or not at all.
    Timeouts forAgent() const;
  };
  enum class ListSource { polled, pushed };

  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
                  const Timeouts& waits, ListSource mode = ListSource::polled);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  void setKnownVersion(std::int64_t version) { version_ = version; }  // of the list held already
  // Begins a watch; one that is on is given up. Ignored while a resync or a move is under way, which end in
  // one.
  void watch();
  // Another server from now on: the watch on the old one is kept until the new one has given its whole list.
  void moveTo(const boost::asio::ip::tcp::endpoint& server);
  // What is seen of the hosts contradicts the list: the whole one is asked for beside the watch. Ignored
  // while that, a resync or a move is under way, or no watch is on.
  void refresh();
  void stop();
  // A watch has broken, and since then no answer has come: changes may have been missed.
  bool stale() const { return state_ == State::overdue || (resync_.on && resync_.untilAnswered); }

 private:
  using CallPtr = std::shared_ptr<EndpointListCall>;
  enum class Kind {
    list,   // the whole one
    first,  // of a watch: does not wait, so that the module hears at once that it is on
    next    // waits; sent as soon as the one before it is answered, which keeps the watch on
  };
  enum class State {
    off,      // no watch
    opening,  // its first call, or one for the whole list, is out
    waiting,  // its next call is out
    overdue   // that one is silent past its wait
  };
  // A call that is tried again until it is answered.
  struct RetryingCall {
    explicit RetryingCall(boost::asio::io_context& io) : pause(io) {}
    CallPtr call;
    boost::asio::steady_timer pause;
    bool on = false, untilAnswered = false;
    int failed = 0;          // on end
    std::uint64_t turn = 0;  // of the pause: one that is already over when it is ended is told by it
  };

  void begin(CallPtr& call, const boost::asio::ip::tcp::endpoint& server, Kind kind,
             EndpointListCall::Ended ended);
  void callWatch(Kind kind);
  void watchOn(CallPtr call, const EndpointList& list, bool tell);
  void watchEnded(Kind kind, const EndpointListCall::Result& result);
  void overdue();
  void endWatch();
  void beginAnew();
  void resync();
  void tryResync(Kind kind);
  void resyncEnded(Kind kind, const EndpointListCall::Result& result);
  void tryMove();
  void moveEnded(const EndpointListCall::Result& result);
  void retry(RetryingCall& tries, std::function<void()> again);
  static void end(RetryingCall& tries);
  static void giveUp(CallPtr& call);
  Milliseconds draw(Milliseconds least, Milliseconds most);
  // Discovery that was set up anew counts from the start, and so what it tells are no changes to our list.
  bool fromThePast(const EndpointList& list) const {
    return !list.full && version_ && list.version < *version_;
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  const Timeouts waits_;
  const ListSource mode_;
  std::minstd_rand random_{std::random_device{}()};  // another one at each gateway, whatever it was told
  std::optional<std::int64_t> version_;
  State state_ = State::off;
  CallPtr watch_;
  boost::asio::steady_timer promise_;
  std::uint64_t promiseTurn_ = 0;
  RetryingCall resync_, move_;
  std::optional<boost::asio::ip::tcp::endpoint> next_;  // the server to move to
  CallbackGuard lifetime_;                              // of what the event loop is still to call
};

}  // namespace cairnjunction
