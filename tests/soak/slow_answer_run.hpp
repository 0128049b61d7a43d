// One run against hosts that write answers, or read requests, slowly: a gateway as a process, stand-in hosts,
// clients over both protocols, and what became of each request.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/slow_answer_classes.hpp"
#include "soak/slow_host.hpp"

namespace cairnjunction::soak {

// What the requests of a run ask of their hosts.
enum class SlowWork {
  soundAnswers,   // answers that are whole before their client's time is over
  lateAnswers,    // answers whose head comes within it and that end shortly before it, or go on past it
  silentAnswers,  // answers that begin and fall silent for ever, among sound ones
  slowReads,      // large requests that are read slowly and answered at once
  halfHeads,      // heads that fall silent, or end around their client's time, among sound answers
  mixed           // each request draws one of the others
};

// What happens in the middle of a run.
enum class Disturbance {
  none,
  stop,    // SIGTERM and others in series; clients go on until the kill, which comes as early as it may
  reload,  // SIGHUP, several times
  drain    // a host drains, and is removed from the list
};

struct SlowAnswerRunOptions {
  std::string program;  // the gateway's
  std::string folder;   // of this run; made, and removed again unless the run finds something
  std::uint64_t seed = 1;
  SlowWork work = SlowWork::soundAnswers;
  HostProtocol hosts = HostProtocol::http;
  int streams = 1;  // calls on one connection, with HostProtocol::jsonRpc
  Disturbance disturbance = Disturbance::none;
  int hostCount = 6;
  int httpClients = 3;
  int jsonRpcClients = 2;
  int crowd = 0;                                          // clients that write, stop and read slowly
  std::size_t smallestBytes = 0, largestBytes = 4 << 20;  // of an answer
  std::optional<AnswerShape> shape;                       // of all answers; empty: drawn for each
  ClassTable classes = kClasses;
  int holdUps = 0;  // of the gateway within a stop; only whether requests are answered is judged then
  std::chrono::milliseconds length{5000};
};

struct SlowAnswerRunResult {
  std::vector<std::string> findings;   // broken promises; empty: all held
  std::map<std::string, int> counted;  // requests by what became of them
};

// Throws std::runtime_error if it could not be played.
SlowAnswerRunResult playSlowAnswerRun(const SlowAnswerRunOptions& options);

}  // namespace cairnjunction::soak
