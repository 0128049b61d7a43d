#include "soak/slow_answer_judge.hpp"

#include <algorithm>
#include <sstream>

#include "soak/slow_answer_classes.hpp"

namespace cairnjunction::soak {
namespace {

using std::chrono::milliseconds;
using End = PlannedRequest::End;

constexpr milliseconds kLateMost{500};           // past a request's deadline
constexpr milliseconds kDeadlineSlack{150};      // of the deadline that a host is told
constexpr milliseconds kLastAnswersBefore{220};  // the kill: the last replies, and what crosses them
constexpr milliseconds kLateDeadline{300};       // before the kill, of requests that are accepted late
constexpr milliseconds kAcceptedLate{700};       // behind SIGTERM
constexpr milliseconds kCrossesTheCut{60};       // what ends so shortly before a deadline may miss it
constexpr milliseconds kLateAnswerWait{300};     // past the deadline, for a head or an undivided answer
constexpr milliseconds kBeginsInTime{25};        // before the objective, to count as under way there
constexpr milliseconds kObjectiveReserve{20};    // that the gateway keeps before it
constexpr double kTakenAheadBytes = 256 << 10;   // by the system of a host
constexpr double kReadTimeFactor = 1.25;         // of the planned time: each step waits for the one before

}  // namespace

// The earliest end of the time that a gateway gives an attempt until its answer begins, from the request on.
// A request that is accepted late in a stop counts as one that has waited for as long as its time is cut.
milliseconds SlowAnswerJudge::objectiveOf(const PlannedRequest& request) const {
  const ClassTimes& times = timesOf(options_.classes, request.className);
  milliseconds deadline = request.deadline;
  if (isAcceptedLate(request))
    deadline =
        std::min(deadline, std::chrono::duration_cast<milliseconds>(*killAt_ - kLateDeadline - request.sent));
  return times.objective - (times.clientTimeout - deadline) - kObjectiveReserve;
}

bool SlowAnswerJudge::isAcceptedLate(const PlannedRequest& request) const {
  return stoppedAt_ && request.sent > *stoppedAt_ + kAcceptedLate;
}

void SlowAnswerJudge::judge(const PlannedRequest& request, SlowAnswerRunResult& result) const {
  const auto known = ledger_.runs.find(request.plan.tag);
  const std::vector<HostRun> none;
  const std::vector<HostRun>& runs = known == ledger_.runs.end() ? none : known->second;
  judgeRuns(request, runs, result);
  judgeEnd(request, runs, result);
  if (mustBeReadWhole(request) && request.end != End::served) {
    ++result.counted["cut off in its request"];
    result.findings.push_back("cut off in its request: " + describe(request, runs));
  }
  if (runs.empty()) return;
  ++result.counted["run"];
  if (isAcceptedLate(request)) countLate(request, result);
  const HostRun& run = runs.back();
  if (run.firstByte && *run.firstByte + request.plan.duration >
                           request.sent + timesOf(options_.classes, request.className).objective)
    ++result.counted["run past the objective"];
  if (run.firstByte && *run.firstByte + request.plan.duration > request.sent + request.deadline)
    ++result.counted["run past the client's time"];
  const bool begunInTime = request.begun && *request.begun <= request.sent + request.deadline;
  if (options_.holdUps == 0 && mustBeginInTime(request, run) && !begunInTime) {
    ++result.counted["not begun in time"];
    result.findings.push_back("not begun in time: " + describe(request, runs));
  }
  if (options_.holdUps == 0 && mustBeServed(request, run) && request.end != End::served) {
    ++result.counted["cut off"];
    result.findings.push_back("cut off: " + describe(request, runs));
  }
}

void SlowAnswerJudge::countLate(const PlannedRequest& request, SlowAnswerRunResult& result) {
  ++result.counted["accepted late"];
  switch (request.end) {
    case End::served: ++result.counted["accepted late, served"]; return;
    case End::rejected: ++result.counted["accepted late, rejected"]; return;
    case End::failed: ++result.counted["accepted late, failed"]; return;
    case End::broken: ++result.counted["accepted late, broken"]; return;
    case End::servedWrong: return;
    case End::closed:
    case End::open: ++result.counted["accepted late, not answered"]; return;
  }
}

void SlowAnswerJudge::judgeRuns(const PlannedRequest& request, const std::vector<HostRun>& runs,
                                SlowAnswerRunResult& result) {
  if (request.className == "stock-out" && runs.size() > 1)
    result.findings.push_back("unsafe, run twice: " + describe(request, runs));
  for (const HostRun& run : runs) {
    if (run.deadlineMs.empty()) continue;
    const milliseconds left =
        std::chrono::duration_cast<milliseconds>(request.sent + request.deadline - run.received);
    if (milliseconds(std::stoll(run.deadlineMs)) > left + kDeadlineSlack &&
        request.plan.readWithin.count() == 0)
      result.findings.push_back("told its host " + run.deadlineMs + " ms: " + describe(request, runs));
  }
}

void SlowAnswerJudge::judgeEnd(const PlannedRequest& request, const std::vector<HostRun>& runs,
                               SlowAnswerRunResult& result) const {
  const auto add = [&](const char* what, bool isFinding) {
    ++result.counted[what];
    if (isFinding) result.findings.push_back(std::string(what) + ": " + describe(request, runs));
  };
  switch (request.end) {
    case End::served: add("served", false); break;
    case End::rejected: add("rejected", false); break;
    case End::failed: add("failed", false); break;
    case End::servedWrong: return add("served with another answer", true);
    // The client of a host that has fallen silent has to be told so.
    case End::broken: add("broken", !isUnfinished(request.plan.shape) && !mayBeLostInStop(request)); break;
    case End::closed: return add("closed without an answer", !mayBeUnreadInStop(request, runs));
    case End::open: return add("not answered", !mayBeUnreadInStop(request, runs));
  }
  if (request.ended > endDueBy(request, runs)) add("late", true);
}

bool SlowAnswerJudge::isPassedOn(const PlannedRequest& request) const {
  return options_.hosts == HostProtocol::http && request.protocol == ClientProtocol::http;
}

// A final answer is due in the client's time. One that has begun by then goes on for as long as its host
// writes, and until it has been silent for too long.
SlowAnswerJudge::Clock::time_point SlowAnswerJudge::endDueBy(const PlannedRequest& request,
                                                             const std::vector<HostRun>& runs) const {
  auto due = request.sent + request.deadline;
  const bool goesOn = request.end == End::served || request.end == End::broken;
  if (goesOn && request.begun && isPassedOn(request) && !runs.empty()) {
    const bool isSilent = isUnfinished(request.plan.shape);
    due = std::max(due, runs.back().lastWrite + (isSilent ? kSilenceMost : milliseconds(0)));
  }
  return due + kLateMost;
}

// The answer was under way at the objective, as far as the gateway can know.
bool SlowAnswerJudge::isBegunInTime(const PlannedRequest& request, const HostRun& run) const {
  return run.firstByte && *run.firstByte < request.sent + objectiveOf(request) - kBeginsInTime;
}

// The head of the answer was whole at the gateway in the client's time: its client has it by then.
bool SlowAnswerJudge::mustBeginInTime(const PlannedRequest& request, const HostRun& run) const {
  if (!isPassedOn(request) || request.plan.readWithin.count() > 0 || !isBegunInTime(request, run))
    return false;
  if (request.plan.shape == AnswerShape::stalledHead) return false;
  const auto headAt = *run.firstByte + headDuration(request.plan);
  if (stoppedAt_ && headAt > *killAt_ - kLastAnswersBefore) return false;
  return headAt + kCrossesTheCut < request.sent + request.deadline;
}

// The answer was under way at the objective. If it is passed on, its head is there before the client's time
// or shortly behind it; if not, the whole of it.
bool SlowAnswerJudge::mustBeServed(const PlannedRequest& request, const HostRun& run) const {
  if (isUnfinished(request.plan.shape) || request.plan.readWithin.count() > 0) return false;
  if (!isBegunInTime(request, run)) return false;
  const auto end = *run.firstByte + request.plan.duration;
  if (stoppedAt_ && end > *killAt_ - kLastAnswersBefore) return false;
  const auto needed = isPassedOn(request) ? *run.firstByte + headDuration(request.plan) : end;
  return needed + kCrossesTheCut < request.sent + request.deadline + kLateAnswerWait;
}

// A host was reading the request, and would have answered it in its client's time.
bool SlowAnswerJudge::mustBeReadWhole(const PlannedRequest& request) const {
  const auto begun = ledger_.slowReads.find(request.plan.tag);
  if (begun == ledger_.slowReads.end()) return false;
  // What the host's system has taken ahead of its program looks like a whole request to the gateway.
  const std::chrono::duration<double> atLimit = request.sent + objectiveOf(request) - begun->second;
  const double read = std::clamp(atLimit / request.plan.readWithin, 0.0, 1.0);
  if (static_cast<double>(request.plan.requestBytes) * (1 - read) < kTakenAheadBytes) return false;
  const auto end = begun->second +
                   std::chrono::duration_cast<milliseconds>(request.plan.readWithin * kReadTimeFactor) +
                   request.plan.start;
  if (stoppedAt_ && end > *killAt_ - kLastAnswersBefore) return false;
  return end < request.sent + request.deadline - kCrossesTheCut;
}

bool SlowAnswerJudge::mayBeLostInStop(const PlannedRequest& request) const {
  return stoppedAt_ && request.ended > *killAt_ - kLastAnswersBefore;
}
// What the gateway has not read when it closes the connection in a stop is the client's to repeat.
bool SlowAnswerJudge::mayBeUnreadInStop(const PlannedRequest& request,
                                        const std::vector<HostRun>& runs) const {
  return stoppedAt_ && runs.empty() && request.sent > *stoppedAt_;
}

std::string SlowAnswerJudge::describe(const PlannedRequest& request, const std::vector<HostRun>& runs) {
  const auto since = [&](Clock::time_point at) {
    return std::chrono::duration_cast<milliseconds>(at - request.sent).count();
  };
  std::ostringstream text;
  text << request.id << ' ' << request.className << ", client waits " << request.deadline.count()
       << ", ended " << static_cast<int>(request.end) << " at " << since(request.ended) << "; shape "
       << static_cast<int>(request.plan.shape) << " framing " << static_cast<int>(request.plan.framing)
       << ", " << request.plan.bytes << " bytes from " << request.plan.start.count() << " over "
       << request.plan.duration.count();
  if (request.plan.readWithin.count() > 0)
    text << ", request of " << request.plan.requestBytes << " read within "
         << request.plan.readWithin.count();
  for (const HostRun& run : runs) {
    text << "; run at " << since(run.received);
    if (run.firstByte) text << ", first byte " << since(*run.firstByte);
    if (run.lastByte) text << ", last " << since(*run.lastByte);
    if (run.cut) text << ", cut " << since(*run.cut) << " after " << run.written;
  }
  return text.str();
}

}  // namespace cairnjunction::soak
