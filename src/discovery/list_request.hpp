// The requests that the discovery client sends.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "discovery/endpoint_list.hpp"
#include "discovery/timeouts.hpp"

namespace cairnjunction {

enum class CallKind {
  fullList,    // requests the full list
  changesNow,  // requests the changes since a version, without waiting for one
  longPoll     // requests the changes since a version, and waits until there is one or the wait is over
};

struct ListRequest {
  CallKind kind = CallKind::fullList;
  std::string target;                   // path and query
  std::chrono::milliseconds timeout{};  // of the whole call
};

// Each of these makes a request with its timeout. `since` is the version of the current list; `wait` is how
// long discovery may hold the long poll open.
ListRequest fullListRequest(const DiscoveryTimeouts& timeouts);
ListRequest changesRequest(std::int64_t since, const DiscoveryTimeouts& timeouts);
ListRequest longPollRequest(std::int64_t since, std::chrono::milliseconds wait,
                            const DiscoveryTimeouts& timeouts);
// The first request of a watch or a resync, which discovery answers without waiting: for the changes if a
// version is known, else for the full list.
ListRequest openingRequest(std::optional<std::int64_t> version, const DiscoveryTimeouts& timeouts);

// Whether `list` is a valid answer to a request of `kind`: a request for the full list needs a full list.
inline bool isValidAnswer(CallKind kind, const EndpointList& list) {
  return kind != CallKind::fullList || list.full;
}

}  // namespace cairnjunction
