// One run against workers that send answers nobody asked for: gateways as processes, stand-in workers,
// clients that check whose answer they get, and what became of each request.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/worker.hpp"

namespace cairnjunction::soak {

struct UnsolicitedRunOptions {
  std::string program;      // the gateway's
  std::string preload;      // the library that makes the gateway's system calls fail; needed for faultyCalls
  std::string faultyCalls;  // see tests/soak/faulty_calls_preload.cpp; empty: none
  std::string folder;       // of this run; made, and removed again unless the run finds something
  std::uint64_t seed = 1;
  int gateways = 1;
  int workers = 4;
  int faultyWorkers = 4;  // of them, those that have the fault
  int clients = 24;
  std::chrono::milliseconds length{4000};
  standins::UnsolicitedAnswers fault;
  std::chrono::milliseconds pauseMost{0};  // gateways are stopped for up to this long, now and then; 0: not
  // The fault comes too late for the first one to be told from an answer: what is forgiven are requests that
  // were sent before a gateway has reported the fault.
  bool firstIsForgiven = false;
};

struct UnsolicitedRunResult {
  std::vector<std::string> findings;   // broken promises; empty: all held
  std::map<std::string, int> counted;  // requests by what became of them, answers nobody asked for, ...
};

// Throws std::runtime_error if it could not be played.
UnsolicitedRunResult playUnsolicitedRun(const UnsolicitedRunOptions& options);

}  // namespace cairnjunction::soak
