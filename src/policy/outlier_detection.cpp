#include "policy/outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr int kMinConsecutiveOverloads = 3;                            // a short load peak causes fewer
constexpr Duration kOverloadBackoff = std::chrono::milliseconds(100);  // a few times the latency without load
constexpr double kFailureGain = 0.12;  // per outcome: five failures in a row raise the rate to about one half
constexpr double kEjectFailureRate = 0.45;     // an endpoint with a higher rate is ejected,
constexpr double kEjectFactorOverPeers = 2.5;  // if its rate also exceeds this multiple of the best quarter's
constexpr double kRecoveredFailureRate = 0.05;  // below this rate the count of consecutive ejections is reset
constexpr double kEndpointClassFailureGain =
    0.25;  // per outcome of a class: three failures in a row raise it above one half
constexpr double kMaxEjectedFraction = 0.5;  // of the reachable endpoints
constexpr Duration kInitialEjectionDuration =
    std::chrono::seconds(1);  // doubled with each consecutive ejection
constexpr int kMaxEjectionDoublings = 3;

bool isFailure(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::error || outcome == Outcome::connectFailed ||
         outcome == Outcome::reset;
}

}  // namespace

bool OutlierDetector::isPersistentlyOverloaded(const Endpoint& endpoint) {
  return endpoint.outlier.consecutiveOverloads >= kMinConsecutiveOverloads;
}

void OutlierDetector::recordOutcome(Endpoint& endpoint, std::uint32_t classIndex, const AttemptResult& result,
                                    Timestamp now) {
  OutlierRecord& record = endpoint.outlier;
  const bool failed = isFailure(result.outcome);
  const bool overloaded = result.outcome == Outcome::overloaded;
  if (result.outcome == Outcome::served) record.consecutiveOverloads = 0;
  // An endpoint that stays overloaded, or drains unannounced, has few attempts in flight and would look idle.
  if (overloaded && ++record.consecutiveOverloads >= kMinConsecutiveOverloads)
    record.overloadBackoffUntil = now + scaled(kOverloadBackoff, 0.5 + random_.unit());

  // Malformed responses may come from every endpoint alike and are no sign of load. Only an endpoint that
  // gives more of them than its peers must be avoided; its failure rate covers this.
  const bool malformed = result.failureReason == FailureReason::malformedResponse ||
                         result.failureReason == FailureReason::unsolicitedBytes;
  record.outcomes += 1;
  if (overloaded || (failed && !malformed)) record.errors += 1;
  if (!overloaded) record.failureRate += kFailureGain * ((failed ? 1.0 : 0.0) - record.failureRate);
  if (result.outcome != Outcome::connectFailed && !malformed) {
    const bool unsuccessful = failed || overloaded;
    double& classRate = record.classFailureRates[classIndex];
    classRate += kEndpointClassFailureGain * ((unsuccessful ? 1.0 : 0.0) - classRate);
    classes_[classIndex].recordOutcome(unsuccessful);
  }
  if (record.state == EjectionState::probation && !overloaded) concludeProbation(endpoint, failed, now);
}

void OutlierDetector::concludeProbation(Endpoint& endpoint, bool failed, Timestamp now) {
  if (failed) {
    eject(endpoint, "trial failed", now);
    return;
  }
  endpoint.outlier.state = EjectionState::healthy;
  endpoint.outlier.failureRate = 0;
  if (actions_.mayLog(now)) actions_.log(now, "host returned " + endpoint.info.address);
}

void OutlierDetector::eject(Endpoint& endpoint, const char* cause, Timestamp now) {
  OutlierRecord& record = endpoint.outlier;
  record.state = EjectionState::ejected;
  record.ejectedUntil =
      now + scaled(kInitialEjectionDuration * (1 << record.ejections), 0.75 + 0.5 * random_.unit());
  record.ejections = std::min(record.ejections + 1, kMaxEjectionDoublings);
  if (actions_.mayLog(now)) actions_.log(now, "host ejected " + endpoint.info.address + " (" + cause + ")");
}

void OutlierDetector::reset(Endpoint& endpoint) const {
  OutlierRecord& record = endpoint.outlier;
  record.state = EjectionState::healthy;
  record.ejections = 0;
  record.failureRate = 0;
  record.classFailureRates.assign(classes_.size(), 0);
  record.consecutiveOverloads = 0;
}

void OutlierDetector::update(const TrafficRates& rates, Timestamp now) {
  std::vector<double> failureRates;
  std::size_t unavailable = 0;
  for (const EndpointId id : endpoints_.listed()) {
    Endpoint& endpoint = endpoints_[id];
    OutlierRecord& record = endpoint.outlier;
    record.outcomes *= 1 - rates.fastGain();
    record.errors *= 1 - rates.fastGain();
    if (record.state == EjectionState::ejected && now >= record.ejectedUntil)
      record.state = EjectionState::probation;
    if (endpoint.reachability != Reachability::reachable) continue;  // not comparable with its peers
    if (record.state != EjectionState::healthy) ++unavailable;
    failureRates.push_back(record.failureRate);
  }
  // The best quarter of the pool defines the normal rate: the others may be outliers.
  const double peerFailureRate = quantile(failureRates, 0.25, 0);
  const double maxUnavailable = kMaxEjectedFraction * static_cast<double>(endpoints_.reachableCount());
  for (const EndpointId id : endpoints_.listed()) {
    Endpoint& endpoint = endpoints_[id];
    OutlierRecord& record = endpoint.outlier;
    if (record.state != EjectionState::healthy || endpoint.reachability != Reachability::reachable ||
        static_cast<double>(unavailable + 1) > maxUnavailable)
      continue;
    if (record.failureRate > std::max(kEjectFailureRate, kEjectFactorOverPeers * peerFailureRate)) {
      eject(endpoint, "failing", now);
      ++unavailable;
    } else if (record.ejections > 0 && record.failureRate < kRecoveredFailureRate &&
               now > record.ejectedUntil + 4 * kInitialEjectionDuration) {
      record.ejections = 0;
    }
  }
}

}  // namespace cairnjunction::policy
