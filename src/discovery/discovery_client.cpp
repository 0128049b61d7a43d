#include "discovery/discovery_client.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr const char* kPath = "/discovery/hosts";
constexpr milliseconds kNoWait{1};
constexpr int kDoublings = 16;  // far beyond any bound of the waits; keeps the shift defined

// An agent that is there answers within a few milliseconds. One that was silent has its news the moment it is
// back, and from then on they count as told: so it is asked again and again, at least five times a second.
constexpr milliseconds kAgentAnswer{150};
constexpr milliseconds kAgentRetry{30};

}  // namespace

DiscoveryClient::Timeouts DiscoveryClient::Timeouts::forAgent() const {
  Timeouts waits = *this;
  waits.connect = std::min(connect, kAgentAnswer);
  waits.response = std::min(response, kAgentAnswer);
  waits.retryInitialBackoff = waits.retryMaxBackoff = std::min(retryInitialBackoff, kAgentRetry);
  return waits;
}

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint server, Callbacks callbacks,
                                 const Timeouts& waits, ListSource mode)
    : io_(io),
      server_(std::move(server)),
      callbacks_(std::move(callbacks)),
      waits_(mode == ListSource::pushed ? waits.forAgent() : waits),
      mode_(mode),
      promise_(io),
      resync_(io),
      move_(io) {}

DiscoveryClient::~DiscoveryClient() { stop(); }

void DiscoveryClient::stop() {
  endWatch();
  end(resync_);
  end(move_);  // next_ stays: the next watch is on the new server
}

// --- The watch ------------------------------------------------------------------------------------------

void DiscoveryClient::watch() {
  if (next_) {
    if (!move_.on) tryMove();
    return;
  }
  if (resync_.on && resync_.untilAnswered) return;
  end(resync_);
  endWatch();
  state_ = State::opening;
  callWatch(version_ ? Kind::first : Kind::list);
}

void DiscoveryClient::callWatch(Kind kind) {
  begin(watch_, server_, kind,
        [this, kind](const EndpointListCall::Result& result) { watchEnded(kind, result); });
}

void DiscoveryClient::begin(CallPtr& call, const tcp::endpoint& server, Kind kind,
                            EndpointListCall::Ended ended) {
  if (!call || !call->reusable()) call = std::make_shared<EndpointListCall>(io_, server);
  const milliseconds wait = kind == Kind::next ? draw(waits_.watchMin, waits_.watchMax) : kNoWait;
  std::string target = kPath;
  if (kind != Kind::list)
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  call->start(target, waits_.connect, wait + (kind == Kind::next ? waits_.staleWatchLinger : waits_.response),
              std::move(ended));
  if (kind != Kind::next) return;
  promise_.expires_after(wait + waits_.watchGrace);
  promise_.async_wait(lifetime_.guard([this, mine = ++promiseTurn_](error_code ec) {
    if (!ec && mine == promiseTurn_) overdue();
  }));
}

// `call` has brought `list`, and carries the watch from now on. Danger: the next call of a watch has to come
// at once, so it goes before what is told of the list.
void DiscoveryClient::watchOn(CallPtr call, const EndpointList& list, bool tell) {
  endWatch();
  end(resync_);
  watch_ = std::move(call);
  version_ = list.version;
  state_ = State::waiting;
  callWatch(Kind::next);
  if (tell) callbacks_.onEndpoints(list);
}

void DiscoveryClient::watchEnded(Kind kind, const EndpointListCall::Result& result) {
  const CallPtr call = std::exchange(watch_, nullptr);
  endWatch();
  if (!result.list) {
    if (move_.on) return;  // what the new server says is all that counts
    if (resync_.on) {
      resync_.untilAnswered |= result.silent || mode_ == ListSource::pushed;
      return;
    }
    return result.silent || mode_ == ListSource::pushed ? resync() : callbacks_.onWatchFailed();
  }
  const EndpointList& list = *result.list;
  if (fromThePast(list) || (kind == Kind::list && !list.full)) {
    call->giveUp();
    return move_.on ? void() : beginAnew();
  }
  watchOn(call, list, true);  // it has kept on, also where it was late: no resync is wanted any more
}

// Only a whole list can help.
void DiscoveryClient::beginAnew() {
  version_.reset();
  end(resync_);
  if (mode_ == ListSource::pushed) resync();
  else callbacks_.onWatchFailed();
}

void DiscoveryClient::overdue() {
  state_ = State::overdue;
  if (!next_) resync();
}

void DiscoveryClient::endWatch() {
  ++promiseTurn_;
  promise_.cancel();
  giveUp(watch_);
  state_ = State::off;
}

// --- Beside the watch -------------------------------------------------------------------------------------

void DiscoveryClient::refresh() {
  if (next_ || resync_.on || state_ != State::waiting) return;
  resync_.on = true;
  tryResync(Kind::list);
}

void DiscoveryClient::resync() {
  resync_.untilAnswered = true;
  if (std::exchange(resync_.on, true)) return;  // one that verifies: from now on it is the only hope
  tryResync(version_ ? Kind::first : Kind::list);
}

void DiscoveryClient::tryResync(Kind kind) {
  begin(resync_.call, server_, kind,
        [this, kind](const EndpointListCall::Result& result) { resyncEnded(kind, result); });
}

void DiscoveryClient::resyncEnded(Kind kind, const EndpointListCall::Result& result) {
  const bool past = result.list && fromThePast(*result.list);
  if (!result.list || past || (kind == Kind::list && !result.list->full)) {
    giveUp(resync_.call);
    if (past) version_.reset();
    if (resync_.untilAnswered)
      return retry(resync_, [this] { tryResync(version_ ? Kind::first : Kind::list); });
    end(resync_);
    return state_ == State::off ? callbacks_.onWatchFailed() : callbacks_.onRefreshFailed();
  }
  const EndpointList& list = *result.list;
  const bool newer = !version_ || list.version > *version_;
  // Danger: while the watch is on, a whole list that is no newer than ours may come from the past. Without
  // one, or if it has broken, it is all there is.
  if (state_ == State::waiting && !newer) return end(resync_);
  watchOn(std::exchange(resync_.call, nullptr), list, newer || !list.full || list.version != *version_);
}

// --- Another server
// -----------------------------------------------------------------------------------------

void DiscoveryClient::moveTo(const tcp::endpoint& server) {
  if (server == (next_ ? *next_ : server_)) return;
  next_ = server;
  end(resync_);
  end(move_);
  tryMove();
}

void DiscoveryClient::tryMove() {
  move_.on = true;
  begin(move_.call, *next_, Kind::list,
        [this](const EndpointListCall::Result& result) { moveEnded(result); });
}

// Until it is answered the hosts that we hold stay, and the old watch while it lasts.
void DiscoveryClient::moveEnded(const EndpointListCall::Result& result) {
  if (!result.list || !result.list->full) {
    giveUp(move_.call);
    return retry(move_, [this] { tryMove(); });
  }
  CallPtr call = std::exchange(move_.call, nullptr);
  end(move_);
  server_ = *next_;
  next_.reset();
  watchOn(std::move(call), *result.list, true);  // its versions are a count of their own
}

// --- Tries ------------------------------------------------------------------------------------------------

// Danger: all gateways see a discovery that fails at the same moment, and it works through a call at a time;
// so each draws when it comes again.
void DiscoveryClient::retry(RetryingCall& tries, std::function<void()> again) {
  callbacks_.onRetryFailed();
  const auto grown = waits_.retryInitialBackoff * (std::int64_t{1} << std::min(tries.failed++, kDoublings));
  const milliseconds pause = std::min<milliseconds>(grown, waits_.retryMaxBackoff);
  tries.pause.expires_after(draw(pause / 2, pause + pause / 2));
  tries.pause.async_wait(
      lifetime_.guard([&tries, again = std::move(again), mine = ++tries.turn](error_code ec) {
        if (!ec && mine == tries.turn) again();
      }));
}

void DiscoveryClient::end(RetryingCall& tries) {
  ++tries.turn;
  tries.pause.cancel();
  giveUp(tries.call);
  tries.on = tries.untilAnswered = false;
  tries.failed = 0;
}

void DiscoveryClient::giveUp(CallPtr& call) {
  if (const CallPtr over = std::exchange(call, nullptr)) over->giveUp();
}

milliseconds DiscoveryClient::draw(milliseconds least, milliseconds most) {
  if (most <= least) return least;
  return milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

}  // namespace cairnjunction
