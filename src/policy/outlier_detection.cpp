#include "policy/outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr int kOverloadsOnEnd = 3;  // this many are no short peak: the endpoint rests
constexpr Duration kOverloadRest = std::chrono::milliseconds(100);  // a few answer times without load
constexpr double kFailureGain = 0.12;          // per outcome: five failures in a row make one half
constexpr double kEjectFailureRate = 0.45;     // ejects,
constexpr double kEjectOverPeers = 2.5;        // if it is also so many times that of the better quarter
constexpr double kWellFailureRate = 0.05;      // below it, ejections in a row are forgotten after a while
constexpr double kClassAtEndpointGain = 0.25;  // per outcome of a class: three failures in a row make a half
constexpr double kEjectedShareMost = 0.5;      // of the reachable endpoints
constexpr Duration kEjection = std::chrono::seconds(1);  // doubled with each ejection in a row,
constexpr int kEjectionDoublings = 3;                    // up to so often

bool isFailure(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::error || outcome == Outcome::connectFailed ||
         outcome == Outcome::reset;
}

}  // namespace

bool OutlierDetector::isOverloadedForLong(const Endpoint& endpoint) {
  return endpoint.outlier.consecutiveOverloads >= kOverloadsOnEnd;
}

void OutlierDetector::recordOutcome(Endpoint& endpoint, std::uint32_t classIndex, const AttemptResult& result,
                                    Timestamp now) {
  OutlierRecord& record = endpoint.outlier;
  const bool failed = isFailure(result.outcome);
  const bool overloaded = result.outcome == Outcome::overloaded;
  if (result.outcome == Outcome::served) record.consecutiveOverloads = 0;
  // An endpoint that stays full, or drains unannounced, holds little and would look idle.
  if (overloaded && ++record.consecutiveOverloads >= kOverloadsOnEnd)
    record.restUntil = now + scaled(kOverloadRest, 0.5 + random_.unit());

  // Malformed responses come from any endpoint alike and are no sign of load. Only one that gives more of
  // them than its peers is to be avoided, which its failure rate is for.
  const bool malformed = result.failureReason == FailureReason::malformedResponse;
  record.outcomes += 1;
  if (overloaded || (failed && !malformed)) record.errors += 1;
  if (!overloaded) record.failureRate += kFailureGain * ((failed ? 1.0 : 0.0) - record.failureRate);
  if (result.outcome != Outcome::connectFailed && !malformed) {
    const bool lost = failed || overloaded;
    double& classRate = record.classFailureRates[classIndex];
    classRate += kClassAtEndpointGain * ((lost ? 1.0 : 0.0) - classRate);
    classes_[classIndex].recordOutcome(lost);
  }
  if (record.state == EjectionState::probation && !overloaded) endProbation(endpoint, failed, now);
}

void OutlierDetector::endProbation(Endpoint& endpoint, bool failed, Timestamp now) {
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
  record.ejectedUntil = now + scaled(kEjection * (1 << record.ejections), 0.75 + 0.5 * random_.unit());
  record.ejections = std::min(record.ejections + 1, kEjectionDoublings);
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
  std::size_t away = 0;
  for (const EndpointId id : endpoints_.listed()) {
    Endpoint& endpoint = endpoints_[id];
    OutlierRecord& record = endpoint.outlier;
    record.outcomes *= 1 - rates.fastGain();
    record.errors *= 1 - rates.fastGain();
    if (record.state == EjectionState::ejected && now >= record.ejectedUntil)
      record.state = EjectionState::probation;
    if (endpoint.reachability != Reachability::reachable) continue;  // no peer to be compared with
    if (record.state != EjectionState::healthy) ++away;
    failureRates.push_back(record.failureRate);
  }
  // The better quarter of the pool stands for what is normal: the others may be outliers.
  const double ofPeers = quantile(failureRates, 0.25, 0);
  const double awayMost = kEjectedShareMost * static_cast<double>(endpoints_.reachableCount());
  for (const EndpointId id : endpoints_.listed()) {
    Endpoint& endpoint = endpoints_[id];
    OutlierRecord& record = endpoint.outlier;
    if (record.state != EjectionState::healthy || endpoint.reachability != Reachability::reachable ||
        static_cast<double>(away + 1) > awayMost)
      continue;
    if (record.failureRate > std::max(kEjectFailureRate, kEjectOverPeers * ofPeers)) {
      eject(endpoint, "failing", now);
      ++away;
    } else if (record.ejections > 0 && record.failureRate < kWellFailureRate &&
               now > record.ejectedUntil + 4 * kEjection) {
      record.ejections = 0;
    }
  }
}

}  // namespace cairnjunction::policy
