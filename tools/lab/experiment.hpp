// An experiment: how many processes, which load, which faults when. Read from TOML; with a seed its random
// part becomes a plan, the same one each time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "toml/reader.hpp"

namespace cairnjunction::lab {

using BadExperiment = toml::BadFile;

enum class FaultKind {
  kill,       // SIGKILL; started again after `for`
  stop,       // SIGSTOP; SIGCONT after `for`
  term,       // SIGTERM; started again after `for`
  cut,        // its links pass nothing; after `for` they are reset, bytes on them are lost
  hold,       // its links pass nothing; after `for` they deliver all that was held back
  hearsNone,  // one way: what it sends passes, what is sent to it is held back
  delay,      // each byte on its links comes `ms` later
  reset,      // its links are reset in the middle of what they carry
  diskFull,   // its files can't grow, for `for`
  holdSent,   // what it sends to keepers is held back, and then delivered; all else passes
  refuse,     // of a worker: its link takes no connections, and those that are there are reset
  clockStep   // its wall clock jumps by `ms`, and back after `for`
};
const char* nameOf(FaultKind kind);

struct Fault {
  int atMs = 0, forMs = 0;
  int ms = 0;  // of a delay, or of a clock's step
  FaultKind kind = FaultKind::kill;
  // owner:DUTY (its lease holder at that time), leader, gateway:N, keeper:N, keepers, majority,
  // gateways:SHARE, worker:N
  std::string whom;
};

struct HostChange {  // a worker's change in the endpoint list
  int atMs = 0, worker = 0;
  std::string state;  // SERVING, DRAINING, DELETED
};

struct Experiment {
  std::string name;
  int seconds = 10, gateways = 5, keepers = 3, workers = 4;
  bool fleet = true;    // false: each gateway by itself, as without a fleet file
  bool disks = true;    // of the gateways' fences
  bool probing = true;  // by one for all
  double rate = 100;    // calls a second over all gateways
  int beatMs = 200, leaseMs = 800, aloneMs = 800, electionMs = 300, settleMs = 300;
  int probeShards = 8;
  int expectRefused = 0;  // least number of rejected commands of former lease holders
  std::vector<Fault> faults;
  std::vector<HostChange> changes;
  // Drawn by the seed, beside those above.
  int randomFaults = 0, randomFromMs = 2000;
  std::vector<FaultKind> randomKinds;
};

Experiment readExperiment(const std::string& path);  // throws BadExperiment
Experiment parseExperiment(const std::string& text, const std::string& name);
// With the random faults drawn and all in order of time. Nothing else draws from the seed's faults.
Experiment planned(Experiment experiment, std::uint64_t seed);

}  // namespace cairnjunction::lab
