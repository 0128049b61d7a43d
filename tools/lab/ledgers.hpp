// The record of a run: ledgers of clients, workers, members and coordinators, and the faults, read from a
// folder.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cairnjunction::lab {

struct ClientCall {
  std::string id, name;  // name: of its class
  int gateway = 0, status = 0, answers = 0;
  std::int64_t dueMs = 0;
  double tookMs = 0;
  std::string end;
};
struct WorkerLine {
  bool came = false;  // else: ran
  std::int64_t ms = 0;
  int port = 0;
  std::string method, ref;
};
struct FaultSpan {
  std::string kind, whom, process;  // process: "n3", "k1", "discovery"
  std::int64_t beginMs = 0, endMs = 0;
};
struct HostLine {
  std::int64_t ms = 0, version = 0;
  int port = 0;
  std::string state;
};

struct Ledgers {
  nlohmann::json run;  // run.json: experiment, seed, begin_ms, end_ms, alive
  std::vector<ClientCall> calls;
  std::vector<WorkerLine> workers;
  std::vector<FaultSpan> faults;
  std::vector<HostLine> hosts;
  std::map<std::string, std::vector<nlohmann::json>> members, keepers;  // their lines, by process
};

// The structured lines of a member or coordinator, which may be running: other text, and an incomplete last
// line, are skipped. A missing file has none. Throws std::runtime_error.
std::vector<nlohmann::json> readJournal(const std::string& path);

// Throws std::runtime_error with the file and line that can't be read; a file that is missing is an empty
// ledger, but for run.json.
Ledgers readLedgers(const std::string& folder);

}  // namespace cairnjunction::lab
