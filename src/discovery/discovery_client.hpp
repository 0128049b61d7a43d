// The discovery client: keeps the endpoint list current with a watch (a sequence of long polls), and recovers
// when the watch breaks.
//
// A watch that breaks without an error is detected by a timeout. From then on the list is *stale*, and the
// client requests the changes again (a *resync*), with backoff, until a call is answered. The unresponsive
// watch stays open in parallel, since it may still be answered. docs/design/discovery.md describes the states
// and events, and gives the reason for each timeout.
//
// A watch that fails with an error (rejected, reset) ends: onWatchFailed notifies the caller, which decides
// when to call watch() again. If an agent pushes the lists, no caller makes that decision, and the client
// starts a resync at once.
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

  // Called from the event loop, never from within a method of this class. A callback may call any method, but
  // must not destroy the client.
  struct Callbacks {
    // A new list or new changes arrived. The next long poll has already been sent.
    std::function<void(const EndpointList&)> onEndpoints;
    // The watch has ended. The client sends no request until the next watch().
    std::function<void()> onWatchFailed;
    // A refresh() failed; the watch continues.
    std::function<void()> onRefreshFailed = [] {};
    // An attempt of a resync or of a move to another server failed; the client retries it.
    std::function<void()> onRetryFailed = [] {};
  };
  // Which kind of server the lists come from.
  enum class ListSource {
    polled,  // discovery; the caller decides when to restart a failed watch
    pushed   // an agent on this machine; the client retries until it answers
  };

  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server, Callbacks callbacks,
                  const Timeouts& timeouts, ListSource source = ListSource::polled);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Sets the version of the list that the caller already has. Call it before the first watch().
  void setKnownVersion(std::int64_t version) { version_ = version; }
  // Starts a watch, and ends a running one. Ignored during a resync or a move, which continue as a watch once
  // they are answered.
  void watch();
  // Switches to another server. The watch on the old one stays open until the new one has sent its full list.
  void moveTo(const boost::asio::ip::tcp::endpoint& server);
  // Requests the full list once, in parallel to the watch, for when the observed behaviour of the endpoints
  // contradicts the current list. Ignored unless a long poll is within its wait, and during another refresh,
  // a resync or a move.
  void refresh();
  // Cancels all calls. The next watch() resumes a move that was not answered.
  void stop();
  // Whether changes may have been missed: a long poll is overdue or a resync is in progress, and no call has
  // been answered since.
  bool stale() const;

 private:
  // What resyncCall_ is used for, in parallel to the watch.
  enum class ResyncState {
    none,
    refreshing,  // one attempt, to verify the current list
    resyncing    // attempts until one is answered, because the watch broke
  };

  bool moving() const { return moveCall_.state() != RetryingCall::State::idle; }
  bool isFromResetServer(const EndpointList& list) const;
  bool isNewer(const EndpointList& list) const;
  void continueWatchFrom(EndpointWatch::Connection connection, const EndpointList& list);

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
      nextServer_;  // target of the move in progress; set until it has sent its full list
  Callbacks callbacks_;
  const Timeouts timeouts_;
  const ListSource source_;
  RandomDuration random_;
  std::optional<std::int64_t>
      version_;  // of the current list, as counted by server_; empty: the full list is needed
  EndpointWatch watch_;
  ResyncState resyncState_ = ResyncState::none;
  RetryingCall resyncCall_;  // idle while resyncState_ is none
  RetryingCall moveCall_;    // idle while nextServer_ is empty
};

}  // namespace cairnjunction
