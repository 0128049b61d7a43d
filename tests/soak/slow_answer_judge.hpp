// Judges what became of each request of the slow answers' soak, by its plan, by what its host has recorded
// and by the times of a stop.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "soak/slow_answer_client.hpp"
#include "soak/slow_answer_run.hpp"
#include "soak/slow_host.hpp"

namespace cairnjunction::soak {

inline constexpr std::chrono::milliseconds kSilenceMost{
    10'000};  // within an answer, before it may be broken off

class SlowAnswerJudge {
 public:
  using Clock = std::chrono::steady_clock;

  // `stoppedAt`, `killAt`: SIGTERM and SIGKILL; empty without a stop. The references must outlive the judge.
  SlowAnswerJudge(const SlowAnswerRunOptions& options, const HostLedger& ledger,
                  std::optional<Clock::time_point> stoppedAt, std::optional<Clock::time_point> killAt)
      : options_(options), ledger_(ledger), stoppedAt_(stoppedAt), killAt_(killAt) {}

  void judge(const PlannedRequest& request, SlowAnswerRunResult& result) const;

 private:
  static void judgeRuns(const PlannedRequest& request, const std::vector<HostRun>& runs,
                        SlowAnswerRunResult& result);
  void judgeEnd(const PlannedRequest& request, const std::vector<HostRun>& runs,
                SlowAnswerRunResult& result) const;
  bool isPassedOn(const PlannedRequest& request) const;
  Clock::time_point endDueBy(const PlannedRequest& request, const std::vector<HostRun>& runs) const;
  std::chrono::milliseconds objectiveOf(const PlannedRequest& request) const;
  bool isAcceptedLate(const PlannedRequest& request) const;  // in a stop
  static void countLate(const PlannedRequest& request, SlowAnswerRunResult& result);
  bool isBegunInTime(const PlannedRequest& request, const HostRun& run) const;
  bool mustBeginInTime(const PlannedRequest& request, const HostRun& run) const;
  bool mustBeServed(const PlannedRequest& request, const HostRun& run) const;
  bool mustBeReadWhole(const PlannedRequest& request) const;
  bool mayBeLostInStop(const PlannedRequest& request) const;
  bool mayBeUnreadInStop(const PlannedRequest& request, const std::vector<HostRun>& runs) const;
  static std::string describe(const PlannedRequest& request, const std::vector<HostRun>& runs);

  const SlowAnswerRunOptions& options_;
  const HostLedger& ledger_;
  const std::optional<Clock::time_point> stoppedAt_, killAt_;
};

}  // namespace cairnjunction::soak
