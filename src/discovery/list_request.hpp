// The requests that the client sends to discovery.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "discovery/endpoint_list.hpp"
#include "discovery/timeouts.hpp"

namespace cairnjunction {

enum class CallKind {
  fullList,    // asks for the full list
  changesNow,  // asks for the changes since a version and does not wait for one
  longPoll     // asks for the changes since a version, and waits until there is one or its wait is over
};

struct ListRequest {
  CallKind kind = CallKind::fullList;
  std::string target;                   // path and query
  std::chrono::milliseconds timeout{};  // of the whole call
};

ListRequest fullListRequest(const DiscoveryTimeouts& timeouts);
ListRequest changesRequest(std::int64_t since, const DiscoveryTimeouts& timeouts);
ListRequest longPollRequest(std::int64_t since, std::chrono::milliseconds wait,
                            const DiscoveryTimeouts& timeouts);
// The first request of a watch or a resync, answered at once: for the changes if a version is known, else for
// the full list.
ListRequest openingRequest(std::optional<std::int64_t> version, const DiscoveryTimeouts& timeouts);

// Whether `list` can answer a request of `kind`: only a full list answers a request for one.
inline bool answers(CallKind kind, const EndpointList& list) {
  return kind != CallKind::fullList || list.full;
}

}  // namespace cairnjunction
