// The steps of a graceful shutdown. All are derived, once, from the time at which the platform may kill the
// process at the earliest, and from the latest reply to a call (core/reply_deadline.hpp). No I/O, no clock.
#pragma once

#include <chrono>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// How long connections are still accepted after a graceful shutdown began: clients learn of it late.
inline constexpr std::chrono::milliseconds kAcceptOn{700};
// The platform kills a process that is still running kKillSlack after the longest client timeout, of which at
// most kLongestCounted counts.
inline constexpr std::chrono::milliseconds kKillSlack{700};
inline constexpr std::chrono::milliseconds kLongestCounted{3000};

struct ShutdownSchedule {
  policy::Timestamp killAt{};           // the platform kills no sooner than this
  policy::Timestamp stopListeningAt{};  // no connection is accepted any more
  // Connected clients are served as before until this time; then each connection ends once nothing is open.
  policy::Timestamp stopServingAt{};
  // The latest deadline of a call that is accepted after stopListeningAt: it is lost if the process is killed
  // before its reply.
  policy::Timestamp lateDeadline{};

  bool servesOn() const { return stopServingAt > stopListeningAt; }
};

// `begunAt`: when the platform asked for the shutdown. `classes`: in force then.
ShutdownSchedule shutdownSchedule(policy::Timestamp begunAt,
                                  const std::vector<policy::ClassSettings>& classes);

}  // namespace cairnjunction
