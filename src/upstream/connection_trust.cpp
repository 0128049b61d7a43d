#include "upstream/connection_trust.hpp"

#include <algorithm>

namespace cairnjunction {

using policy::Duration;
using policy::EndpointId;

bool ConnectionTrust::onUnsolicitedBytes(EndpointId endpoint, UnsolicitedAfter after, Time now) {
  const Time until = now + settings_.distrust;
  Record& record = records_[endpoint];
  const bool first = record.reportedUntil <= now;
  record.reportedUntil = until;
  if (after != UnsolicitedAfter::connecting) record.inDoubtUntil = until;
  switch (after) {
    case UnsolicitedAfter::response: break;
    case UnsolicitedAfter::connecting: newInDoubtUntil_ = until; break;
    case UnsolicitedAfter::connectingOrResponse:
      newInDoubtUntil_ = until;
      usedInDoubtUntil_ = until;
      break;
    case UnsolicitedAfter::responseLate:
      usedInDoubtUntil_ = until;
      record.singleUseUntil = until;
      break;
  }
  return first;
}

bool ConnectionTrust::isSingleUse(EndpointId endpoint, Time now) const {
  const auto known = records_.find(endpoint);
  return known != records_.end() && known->second.singleUseUntil > now;
}

Duration ConnectionTrust::requiredSilence(EndpointId endpoint, const ConnectionHistory& connection,
                                          Time now) const {
  const bool newInDoubt = areNewInDoubt(now);
  if (connection.requests == 0) return newInDoubt ? settings_.inDoubt : settings_.ofNew;
  // Its requests may have got the response to the one before, from the first one on.
  const bool mayBeOffByOne = newInDoubt && connection.firstSilence < settings_.inDoubt;
  const auto known = records_.find(endpoint);
  const bool endpointInDoubt = known != records_.end() && known->second.inDoubtUntil > now;
  const bool inDoubt = mayBeOffByOne || endpointInDoubt || usedInDoubtUntil_ > now;
  return inDoubt ? std::max(settings_.ofUsed, settings_.inDoubt) : settings_.ofUsed;
}

UnsolicitedAfter ConnectionTrust::classify(const ConnectionHistory& connection, Time now) const {
  if (connection.requests == 0) return UnsolicitedAfter::connecting;
  const bool isCovered = connection.silence <= settings_.covered;
  const bool mayBeFromConnecting = connection.requests == 1 && connection.firstSilence < settings_.inDoubt;
  if (mayBeFromConnecting && (!isCovered || areNewInDoubt(now)))
    return UnsolicitedAfter::connectingOrResponse;
  return isCovered ? UnsolicitedAfter::response : UnsolicitedAfter::responseLate;
}

}  // namespace cairnjunction
