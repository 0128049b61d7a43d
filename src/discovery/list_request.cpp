#include "discovery/list_request.hpp"

#include "discovery/wire_names.hpp"

namespace cairnjunction {
namespace {

namespace wire = discovery_wire;
using std::chrono::milliseconds;

// The shortest wait that a call may request. Discovery answers it at once.
constexpr milliseconds kMinWait{1};

std::string changesTarget(std::int64_t since, milliseconds wait) {
  return std::string(wire::kPath) + "?" + wire::kSince + "=" + std::to_string(since) + "&" +
         wire::kTimeoutMs + "=" + std::to_string(wait.count());
}

}  // namespace

ListRequest fullListRequest(const DiscoveryTimeouts& timeouts) {
  return {CallKind::fullList, wire::kPath, kMinWait + timeouts.response};
}

ListRequest changesRequest(std::int64_t since, const DiscoveryTimeouts& timeouts) {
  return {CallKind::changesNow, changesTarget(since, kMinWait), kMinWait + timeouts.response};
}

ListRequest longPollRequest(std::int64_t since, milliseconds wait, const DiscoveryTimeouts& timeouts) {
  return {CallKind::longPoll, changesTarget(since, wait), wait + timeouts.staleWatchLinger};
}

ListRequest openingRequest(std::optional<std::int64_t> version, const DiscoveryTimeouts& timeouts) {
  return version ? changesRequest(*version, timeouts) : fullListRequest(timeouts);
}

}  // namespace cairnjunction
