// Reads the ledgers from a run's folder.
#include "lab/ledgers.hpp"

#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace cairnjunction::lab {
namespace {

using nlohmann::json;

void eachLine(const std::string& path, const std::function<void(const std::string&)>& each) {
  std::ifstream file(path);
  std::string line;
  int number = 0;
  while (std::getline(file, line)) {
    ++number;
    // A process that was killed may leave an incomplete last line, with no line break; it is skipped. A line
    // that can't be read anywhere else is an error.
    if (file.eof()) break;
    try {
      each(line);
    } catch (const std::exception& bad) {
      throw std::runtime_error(path + ":" + std::to_string(number) + ": " + bad.what());
    }
  }
}

}  // namespace

std::vector<json> readJournal(const std::string& path) {
  std::vector<json> lines;
  eachLine(path, [&](const std::string& line) {
    if (!line.empty() && line.front() == '{') lines.push_back(json::parse(line));
  });
  return lines;
}

Ledgers readLedgers(const std::string& folder) {
  Ledgers all;
  std::ifstream run(folder + "/run.json");
  if (!run) throw std::runtime_error(folder + "/run.json: can't be read");
  all.run = json::parse(run);
  eachLine(folder + "/clients.jsonl", [&](const std::string& line) {
    const json j = json::parse(line);
    all.calls.push_back({j.at("id"), j.at("class"), j.at("gateway"), j.at("status"), j.at("answers"),
                         j.at("due_ms"), j.at("took_ms"), j.at("end")});
  });
  eachLine(folder + "/workers.txt", [&](const std::string& line) {
    std::istringstream words(line);
    WorkerLine row;
    std::string event;
    if (!(words >> event >> row.ms >> row.port >> row.method >> row.ref))
      throw std::runtime_error("not five words");
    row.came = event == "came";
    all.workers.push_back(row);
  });
  eachLine(folder + "/faults.jsonl", [&](const std::string& line) {
    const json j = json::parse(line);
    all.faults.push_back({j.at("kind"), j.at("whom"), j.at("process"), j.at("begin_ms"), j.at("end_ms")});
  });
  eachLine(folder + "/hosts.jsonl", [&](const std::string& line) {
    const json j = json::parse(line);
    all.hosts.push_back({j.at("ms"), j.at("version"), j.at("port"), j.at("state")});
  });
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string name = entry.path().stem();
    if (entry.path().extension() != ".jsonl" || name.size() < 2 ||
        name.find_first_not_of("0123456789", 1) != std::string::npos)
      continue;
    if (name.front() == 'n') all.members[name] = readJournal(entry.path());
    if (name.front() == 'k') all.keepers[name] = readJournal(entry.path());
  }
  return all;
}

}  // namespace cairnjunction::lab
