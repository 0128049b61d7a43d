// Time of an append and of a vote of a single voter, on the disk of a folder: median and 99th percentile, and
// the bytes that went to the disk. Prints a table, never a verdict.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "consensus/raft_log.hpp"

namespace {

using namespace cairnjunction;
using Clock = std::chrono::steady_clock;

constexpr int kAppends = 2000;
constexpr int kStarts = 50;
constexpr std::size_t kEntryBytes = 64;

class CountingMachine final : public consensus::StateMachine {
 public:
  void apply(std::string_view) override { ++entries_; }
  std::string snapshot() const override { return std::to_string(entries_); }
  void restore(std::string_view snapshot) override { entries_ = std::stoul(std::string(snapshot)); }

 private:
  std::size_t entries_ = 0;
};

std::uint64_t bytesWritten() {
  std::ifstream file("/proc/self/io");
  std::string name;
  for (std::uint64_t value = 0; file >> name >> value;)
    if (name == "write_bytes:") return value;
  return 0;
}

void print(const char* what, std::vector<double> microseconds, std::uint64_t bytes) {
  std::sort(microseconds.begin(), microseconds.end());
  const std::size_t count = microseconds.size();
  std::printf("%-28s median %8.0f us   p99 %8.0f us   %8.0f bytes each\n", what, microseconds[count / 2],
              microseconds[count * 99 / 100], static_cast<double>(bytes) / static_cast<double>(count));
}

double microsecondsSince(Clock::time_point begin) {
  return std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
}

template <typename Condition>
void runUntil(boost::asio::io_context& io, const Condition& condition) {
  while (!condition()) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(10));
  }
}

consensus::RaftOptions optionsIn(const std::string& folder) {
  consensus::RaftOptions options;
  options.folder = folder;
  options.number = 1;
  options.listen = "127.0.0.1:11999";
  options.voters[1] = options.listen;
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string folder = std::string(argc > 1 ? argv[1] : ".") + "/voter-disk";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  boost::asio::io_context io;
  CountingMachine machine;
  std::vector<double> appends, starts;
  auto log = std::make_unique<consensus::RaftLog>(io, optionsIn(folder), machine);
  runUntil(io, [&] { return log->isLeader(); });
  std::uint64_t before = bytesWritten();
  for (int i = 0; i < kAppends; ++i) {
    bool done = false;
    const auto begin = Clock::now();
    log->propose(std::string(kEntryBytes, 'x'), [&](bool) { done = true; });
    runUntil(io, [&] { return done; });
    appends.push_back(microsecondsSince(begin));
  }
  print("append", appends, bytesWritten() - before);
  before = bytesWritten();
  for (int i = 0; i < kStarts; ++i) {
    log.reset();
    const auto begin = Clock::now();
    log = std::make_unique<consensus::RaftLog>(io, optionsIn(folder), machine);
    runUntil(io, [&] { return log->isLeader(); });
    starts.push_back(microsecondsSince(begin));
  }
  print("start, vote and barrier", starts, bytesWritten() - before);
  log.reset();
  std::filesystem::remove_all(folder);
}
