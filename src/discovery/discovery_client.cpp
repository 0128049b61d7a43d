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

// Versions of a discovery that was set up anew count from the start: its changes are none to the list held.
bool DiscoveryClient::isFromReset(const EndpointList& list) const {
  return !list.full && version_ && list.version < *version_;
}

bool DiscoveryClient::isNewer(const EndpointList& list) const {
  return !version_ || list.version > *version_;
}

// The list held is now at `list`'s version, and the watch goes on from there on the connection that brought
// it. The next long poll is sent before callbacks hear of the list, so that no change is missed while they
// run.
void DiscoveryClient::adopt(EndpointWatch::Connection connection, const EndpointList& list) {
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
  if (isFromReset(*list) || !answers(answer.kind, *list)) {
    answer.connection->cancel();
    if (!moving()) restartFromFullList();
    return;
  }
  adopt(answer.connection, *list);
  callbacks_.onEndpoints(*list);
}

void DiscoveryClient::onWatchFailed(EndpointListFailure failure) {
  if (moving()) return;  // the new server's full list is waited for, and begins the next watch
  const bool silent = failure == EndpointListFailure::timedOut;
  if (silent || source_ == ListSource::pushed) return startResync();
  // A refresh or a resync that is out decides what follows.
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

// A refresh that is out becomes the first attempt of the resync.
void DiscoveryClient::startResync() {
  const bool callIsOut = resyncState_ != ResyncState::none;
  resyncState_ = ResyncState::resyncing;
  if (!callIsOut) sendResync(openingRequest(version_, timeouts_));
}

void DiscoveryClient::sendResync(const ListRequest& request) {
  resyncCall_.send(server_, request, [this, kind = request.kind](const EndpointListResult& result) {
    onResyncEnded(kind, result);
  });
}

void DiscoveryClient::onResyncEnded(CallKind kind, const EndpointListResult& result) {
  const auto* list = std::get_if<EndpointList>(&result);
  if (!list) return onResyncAttemptFailed();
  if (isFromReset(*list)) {
    version_.reset();
    return onResyncAttemptFailed();
  }
  if (!answers(kind, *list)) return onResyncAttemptFailed();
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
  // While the watch is within its wait, a list that is no newer than the one held confirms it, or comes from
  // a server that is behind. Without such a watch it is all there is, and the watch goes on from it.
  if (watch_.state() == EndpointWatch::State::waiting && !newer) return endResync();
  const bool unchanged = list.full && version_ == list.version;
  adopt(resyncCall_.releaseConnection(), list);
  if (!unchanged) callbacks_.onEndpoints(list);
}

void DiscoveryClient::endResync() {
  resyncCall_.cancel();
  resyncState_ = ResyncState::none;
}

// --- Another server ---------------------------------------------------------------------------------------

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

// Until the new server has sent its full list, the endpoints held stay, and so does the old watch while it
// lasts.
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
  adopt(connection, *list);
  callbacks_.onEndpoints(*list);
}

}  // namespace cairnjunction
