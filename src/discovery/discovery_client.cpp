#include "discovery/discovery_client.hpp"

#include <utility>
#include <variant>

namespace cairnjunction {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint server, Callbacks callbacks,
                                 const Timeouts& timeouts, ListSource source)
    : server_(std::move(server)),
      callbacks_(std::move(callbacks)),
      timeouts_(source == ListSource::pushed ? timeouts.forAgent() : timeouts),
      source_(source),
      watch_(io, timeouts_, random_,
             {[this](const EndpointWatch::Answer& answer) { onWatchAnswer(answer); },
              [this] { onWatchOverdue(); }}),
      resyncCall_(io, timeouts_, random_),
      moveCall_(io, timeouts_, random_) {}

DiscoveryClient::~DiscoveryClient() { stop(); }

void DiscoveryClient::stop() {
  watch_.stop();
  endResync();
  moveCall_.cancel();
}

bool DiscoveryClient::stale() const {
  return watch_.state() == EndpointWatch::State::overdue || resyncState_ == ResyncState::resyncing;
}

// A discovery that was set up again counts versions from the start, so its changes do not apply to the
// current list.
bool DiscoveryClient::isFromResetServer(const EndpointList& list) const {
  return !list.full && version_ && list.version < *version_;
}

bool DiscoveryClient::isNewer(const EndpointList& list) const {
  return !version_ || list.version > *version_;
}

// Sets the current version to that of `list` and continues the watch from there, on the connection that
// received the list. The next long poll is sent before the callbacks are called with the list, so that no
// change is missed while they run.
void DiscoveryClient::continueWatchFrom(EndpointWatch::Connection connection, const EndpointList& list) {
  endResync();
  version_ = list.version;
  watch_.resume(std::move(connection), server_, list.version);
}

// --- The watch ------------------------------------------------------------------------------------------

void DiscoveryClient::watch() {
  if (nextServer_) {
    if (!moving()) sendMove();
    return;
  }
  if (resyncState_ == ResyncState::resyncing) return;
  endResync();
  watch_.open(server_, version_);
}

void DiscoveryClient::onWatchAnswer(const EndpointWatch::Answer& answer) {
  const auto* list = std::get_if<EndpointList>(&answer.result);
  if (!list) return onWatchFailed(std::get<EndpointListFailure>(answer.result));
  if (isFromResetServer(*list) || !isValidAnswer(answer.kind, *list)) {
    answer.connection->cancel();
    if (!moving()) restartFromFullList();
    return;
  }
  continueWatchFrom(answer.connection, *list);
  callbacks_.onEndpoints(*list);
}

void DiscoveryClient::onWatchFailed(EndpointListFailure failure) {
  if (moving()) return;  // the next watch starts when the new server sends its full list
  const bool unresponsive = failure == EndpointListFailure::timedOut;
  if (unresponsive || source_ == ListSource::pushed) return startResync();
  // The outcome of a pending refresh or resync decides how to continue.
  if (resyncState_ == ResyncState::none) callbacks_.onWatchFailed();
}

void DiscoveryClient::onWatchOverdue() {
  if (!nextServer_) startResync();
}

void DiscoveryClient::restartFromFullList() {
  version_.reset();
  endResync();
  if (source_ == ListSource::pushed) startResync();
  else callbacks_.onWatchFailed();
}

// --- Refresh and resync -----------------------------------------------------------------------------------

void DiscoveryClient::refresh() {
  const bool busy = nextServer_ || resyncState_ != ResyncState::none;
  if (busy || watch_.state() != EndpointWatch::State::waiting) return;
  resyncState_ = ResyncState::refreshing;
  sendResync(fullListRequest(timeouts_));
}

// A pending refresh becomes the first attempt of the resync.
void DiscoveryClient::startResync() {
  const bool callIsPending = resyncState_ != ResyncState::none;
  resyncState_ = ResyncState::resyncing;
  if (!callIsPending) sendResync(openingRequest(version_, timeouts_));
}

void DiscoveryClient::sendResync(const ListRequest& request) {
  resyncCall_.send(server_, request, [this, kind = request.kind](const EndpointListResult& result) {
    onResyncEnded(kind, result);
  });
}

void DiscoveryClient::onResyncEnded(CallKind kind, const EndpointListResult& result) {
  const auto* list = std::get_if<EndpointList>(&result);
  if (!list) return onResyncAttemptFailed();
  if (isFromResetServer(*list)) {
    version_.reset();
    return onResyncAttemptFailed();
  }
  if (!isValidAnswer(kind, *list)) return onResyncAttemptFailed();
  onResyncAnswer(*list);
}

void DiscoveryClient::onResyncAttemptFailed() {
  if (resyncState_ == ResyncState::resyncing) {
    resyncCall_.retryAfterBackoff([this] { sendResync(openingRequest(version_, timeouts_)); });
    return callbacks_.onRetryFailed();
  }
  endResync();
  if (watch_.state() == EndpointWatch::State::off) callbacks_.onWatchFailed();
  else callbacks_.onRefreshFailed();
}

void DiscoveryClient::onResyncAnswer(const EndpointList& list) {
  const bool newer = isNewer(list);
  // While a long poll is within its wait, a list that is no newer than the current one either confirms it or
  // comes from a server that lags behind. Otherwise the list is the only answer, and the watch continues from
  // its version.
  if (watch_.state() == EndpointWatch::State::waiting && !newer) return endResync();
  const bool unchanged = list.full && version_ == list.version;
  continueWatchFrom(resyncCall_.releaseConnection(), list);
  if (!unchanged) callbacks_.onEndpoints(list);
}

void DiscoveryClient::endResync() {
  resyncCall_.cancel();
  resyncState_ = ResyncState::none;
}

// --- Moving to another server
// ---------------------------------------------------------------------------------------

void DiscoveryClient::moveTo(const tcp::endpoint& server) {
  if (server == nextServer_.value_or(server_)) return;
  nextServer_ = server;
  endResync();
  moveCall_.cancel();
  sendMove();
}

void DiscoveryClient::sendMove() {
  moveCall_.send(*nextServer_, fullListRequest(timeouts_),
                 [this](const EndpointListResult& result) { onMoveEnded(result); });
}

// The current list stays in use until the new server has sent its full list, and so does the old watch unless
// it fails.
void DiscoveryClient::onMoveEnded(const EndpointListResult& result) {
  const auto* list = std::get_if<EndpointList>(&result);
  if (!list || !list->full) {
    moveCall_.retryAfterBackoff([this] { sendMove(); });
    return callbacks_.onRetryFailed();
  }
  server_ = *nextServer_;
  nextServer_.reset();
  const auto connection = moveCall_.releaseConnection();
  moveCall_.cancel();
  continueWatchFrom(connection, *list);
  callbacks_.onEndpoints(*list);
}

}  // namespace cairnjunction
