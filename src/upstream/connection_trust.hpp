// Decides how long a connection to an endpoint must have been silent before a request may be written to it,
// and whether it may carry more than one. An HTTP/1.1 response does not identify its request: bytes that an
// endpoint sends without being asked would be taken for the response to the request that is written next.
// Does no I/O and reads no clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

struct SilenceSettings {
  policy::Duration ofNew = std::chrono::milliseconds(20);   // from the establishment of a connection on
  policy::Duration ofUsed = std::chrono::milliseconds(75);  // from its last response on
  // Of an endpoint that has sent unsolicited bytes. Of all endpoints, if the silence above may be too short
  // for what was seen: others of the same kind may do it too.
  policy::Duration inDoubt = std::chrono::milliseconds(300);
  // Unsolicited bytes that follow a response within this time are well covered by the silence of used
  // connections.
  policy::Duration covered = std::chrono::milliseconds(50);
  policy::Duration distrust = std::chrono::seconds(60);  // how long unsolicited bytes count
};

// What unsolicited bytes have followed.
enum class UnsolicitedAfter {
  connecting,           // the connection has carried no request
  response,             // a second response, soon after the first
  responseLate,         // the same, so late that a request might have been written before
  connectingOrResponse  // the only request that it has carried may have got an unsolicited response
};

struct ConnectionHistory {
  std::uint64_t requests = 0;       // that the connection has carried
  policy::Duration firstSilence{};  // before the first of them
  policy::Duration silence{};       // since its last response, or since it was established
};

class ConnectionTrust {
 public:
  using Time = std::chrono::steady_clock::time_point;

  void configure(const SilenceSettings& settings) { settings_ = settings; }

  // Unsolicited bytes of an endpoint were found. Returns whether they are the first for some time.
  bool onUnsolicitedBytes(policy::EndpointId endpoint, UnsolicitedAfter after, Time now);
  void forget(policy::EndpointId endpoint) { records_.erase(endpoint); }

  // Whether connections to the endpoint may carry one request only.
  bool isSingleUse(policy::EndpointId endpoint, Time now) const;
  // Whether new connections need a longer silence, so that attempts may have to wait for them.
  bool areNewInDoubt(Time now) const { return newInDoubtUntil_ > now; }
  // The silence that a connection needs before a request is written to it.
  policy::Duration requiredSilence(policy::EndpointId endpoint, const ConnectionHistory& connection,
                                   Time now) const;
  // What the unsolicited bytes that were found on a connection have followed.
  UnsolicitedAfter classify(const ConnectionHistory& connection, Time now) const;

 private:
  struct Record {
    Time reportedUntil{};
    Time inDoubtUntil{};  // its used connections
    Time singleUseUntil{};
  };

  SilenceSettings settings_;
  std::unordered_map<policy::EndpointId, Record> records_;  // of endpoints that have sent unsolicited bytes
  Time newInDoubtUntil_{};
  Time usedInDoubtUntil_{};
};

}  // namespace cairnjunction
