// A voter in its own process, for tests that kill it or break its disk. It reads commands as lines from
// standard input and writes the answers as lines to standard output:
//
//     propose TEXT               committed TEXT | lost TEXT
//     break FAULT | heal         (the disk of its folder; FAULT is a number of DiskFault)
//     state                      state leads|follows paused|writes
//     entries                    entries TEXT...
//
// Its first line is "started"; from then on SIGTERM stops it with exit code 0. If it ends by an exception, it
// writes a line "error TEXT" and exits with code 1.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "consensus/faulty_disk.hpp"
#include "consensus/raft_log.hpp"

namespace cairnjunction::testing {
namespace {

namespace asio = boost::asio;

// Records the entries that it applied, as a set.
class RecordingMachine final : public consensus::StateMachine {
 public:
  void apply(std::string_view entry) override { entries.emplace(entry); }
  std::string snapshot() const override { return text(' '); }
  void restore(std::string_view snapshot) override {
    entries.clear();
    std::istringstream words{std::string(snapshot)};
    for (std::string word; words >> word;) entries.insert(word);
  }
  // All entries, each followed by the separator.
  std::string text(char separator) const {
    std::string all;
    for (const std::string& entry : entries) all += entry + separator;
    return all;
  }

  std::set<std::string> entries;
};

void writeLine(const std::string& line) { std::cout << line << std::endl; }

class VoterProgram {
 public:
  explicit VoterProgram(const consensus::RaftOptions& options)
      : folder_(options.folder),
        input_(io_, ::dup(STDIN_FILENO)),
        signals_(io_, SIGTERM),
        log_(io_, options, machine_) {
    signals_.async_wait([this](boost::system::error_code, int) { log_.stop([this] { io_.stop(); }); });
    readLine();
    writeLine("started");
  }
  void run() { io_.run(); }

 private:
  void readLine() {
    asio::async_read_until(input_, asio::dynamic_buffer(buffer_), '\n',
                           [this](boost::system::error_code ec, std::size_t size) {
                             if (ec) return;
                             const std::string line = buffer_.substr(0, size - 1);
                             buffer_.erase(0, size);
                             handleCommand(line);
                             readLine();
                           });
  }
  void handleCommand(const std::string& line) {
    const std::string word = line.substr(0, line.find(' '));
    const std::string rest = line.size() > word.size() ? line.substr(word.size() + 1) : std::string();
    if (word == "propose")
      log_.propose(rest, [rest](bool committed) { writeLine((committed ? "committed " : "lost ") + rest); });
    else if (word == "break") breakDisk(folder_, static_cast<DiskFault>(std::stoi(rest)));
    else if (word == "heal") healDisk();
    else if (word == "entries") writeLine("entries " + machine_.text(' '));
    else if (word == "state")
      writeLine(std::string("state ") + (log_.isLeader() ? "leads" : "follows") +
                (log_.pauseReason() ? " paused" : " writes"));
  }

  asio::io_context io_;
  const std::string folder_;
  RecordingMachine machine_;
  asio::posix::stream_descriptor input_;
  asio::signal_set signals_;
  std::string buffer_;
  consensus::RaftLog log_;
};

// FOLDER NUMBER SNAPSHOT-THRESHOLD SNAPSHOT-TRAILING ADDRESS...
consensus::RaftOptions readOptions(char** arguments) {
  consensus::RaftOptions options;
  options.folder = *arguments++;
  options.number = std::atoi(*arguments++);
  options.snapshotThreshold = static_cast<unsigned>(std::atoi(*arguments++));
  options.snapshotTrailing = static_cast<unsigned>(std::atoi(*arguments++));
  for (int number = 1; *arguments; ++number) options.voters[number] = *arguments++;
  options.listen = options.voters[options.number];
  options.electionTimeout = std::chrono::milliseconds(60);
  options.heartbeatInterval = std::chrono::milliseconds(10);
  options.segmentBytes = 64 << 10;
  return options;
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int /*argc*/, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    cairnjunction::testing::VoterProgram(cairnjunction::testing::readOptions(argv + 1)).run();
    return 0;
  } catch (const std::exception& error) {
    cairnjunction::testing::writeLine(std::string("error ") + error.what());
    return 1;
  }
}
