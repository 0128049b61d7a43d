// The client of discovery: keeps the list of endpoints current by a watch (a long poll), and recovers when
// the watch breaks.
//
// A watch that breaks without an error is found out by its silence: the list is *stale* from then on, and the
// changes are asked for again (a *resync*), with backoff, until a call is answered. The silent watch is kept
// beside it while it may still be answered. docs/design/discovery.md has the states and events, and the
// reason of each time.
//
// A watch that fails with an error (rejected, reset) ends: its user hears so by onWatchFailed and decides
// when to call watch() again. Where lists are pushed by an agent nobody decides that, and a resync follows at
// once.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "discovery/endpoint_list.hpp"
#include "discovery/endpoint_list_call.hpp"
#include "discovery/endpoint_watch.hpp"
#include "discovery/list_request.hpp"
#include "discovery/retry_backoff.hpp"
#include "discovery/retrying_call.hpp"
#include "discovery/timeouts.hpp"

namespace cairnjunction {

class DiscoveryClient {
 public:
  using Milliseconds = std::chrono::milliseconds;
  using Timeouts = DiscoveryTimeouts;

  // Called from the event loop, never from within a method of this class. Any method may be called from
  // within; the client must not be destroyed there.
  struct Callbacks {
    // A new list or new changes; the watch goes on already.
    std::function<void(const EndpointList&)> onEndpoints;
    // The watch has ended. Nothing is asked of discovery before the next watch().
    std::function<void()> onWatchFailed;
    // A refresh() was not answered; the watch goes on.
    std::function<void()> onRefreshFailed = [] {};
    // An attempt of a resync or of a move has failed; another one follows.
    std::function<void()> onRetryFailed = [] {};
  };
  // Where lists come from.
  enum class ListSource {
    polled,  // discovery; its user decides when to begin a watch again
    pushed   // an agent on this machine, which is asked until it answers
  };

  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
                  const Timeouts& timeouts, ListSource source = ListSource::polled);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // The version of the list that its user holds from before; to be called before the first watch().
  void setKnownVersion(std::int64_t version) { version_ = version; }
  // Begins a watch; one that is on is ended. Ignored during a resync or a move, which end in a watch.
  void watch();
  // Uses another server from now on. The watch on the old one is kept until the new one has sent its full
  // list.
  void moveTo(const boost::asio::ip::tcp::endpoint& server);
  // Asks once for the full list beside the watch, because what is seen of the endpoints contradicts the list
  // held. Ignored unless a watch is on, or during another refresh, a resync or a move.
  void refresh();
  // Ends all calls. A move that was not answered is continued by the next watch().
  void stop();
  // A watch is overdue, or has ended so, and no call was answered since: changes may have been missed.
  bool stale() const;

 private:
  // What is asked beside the watch, by resyncCall_.
  enum class ResyncState {
    none,
    refreshing,  // one attempt, to verify the list held
    resyncing    // attempts until one is answered, since the watch has broken
  };

  bool moving() const { return moveCall_.state() != RetryingCall::State::idle; }
  bool isFromReset(const EndpointList& list) const;
  bool isNewer(const EndpointList& list) const;
  void adopt(EndpointWatch::Connection connection, const EndpointList& list);

  void onWatchAnswer(const EndpointWatch::Answer& answer);
  void onWatchFailed(EndpointListFailure failure);
  void onWatchOverdue();
  void restartFromFullList();

  void startResync();
  void sendResync(const ListRequest& request);
  void onResyncEnded(CallKind kind, const EndpointListResult& result);
  void onResyncAttemptFailed();
  void onResyncAnswer(const EndpointList& list);
  void endResync();

  void sendMove();
  void onMoveEnded(const EndpointListResult& result);

  boost::asio::ip::tcp::endpoint server_;
  std::optional<boost::asio::ip::tcp::endpoint>
      nextServer_;  // to move to; set until it has sent its full list
  Callbacks callbacks_;
  const Timeouts timeouts_;
  const ListSource source_;
  RandomDuration random_;
  std::optional<std::int64_t>
      version_;  // of the list held, as counted by server_; empty: a full list is wanted
  EndpointWatch watch_;
  ResyncState resyncState_ = ResyncState::none;
  RetryingCall resyncCall_;  // idle while resyncState_ is none
  RetryingCall moveCall_;    // idle while nextServer_ is empty
};

}  // namespace cairnjunction
