// Three voters, each in its own process, that are killed at random times, have a failing disk, or are far
// behind. No committed entry may be lost, and no voter may end unless the test stops it.
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "consensus/faulty_disk.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {

namespace files = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

std::string voterProgram;  // path of consensus_voter_program; set once, by main

constexpr int kVoters = 3;
// For all voters to apply all committed entries.
constexpr std::chrono::seconds kMaxCatchUpTime{10};

// In entries, as in RaftOptions.
struct SnapshotSettings {
  unsigned threshold = 16;
  unsigned trailing = 4;
};

// A process of voter_program.cpp. `onLine` is called with each line of its output.
class VoterProcess {
 public:
  VoterProcess(asio::io_context& io, const std::vector<std::string>& arguments,
               std::function<void(const std::string&)> onLine)
      : onLine_(std::move(onLine)), input_(io), output_(io) {
    std::array<int, 2> toVoter{}, fromVoter{};
    EXPECT_EQ(::pipe2(toVoter.data(), O_CLOEXEC) + ::pipe2(fromVoter.data(), O_CLOEXEC), 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, toVoter[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, fromVoter[1], STDOUT_FILENO);
    std::vector<char*> argv{voterProgram.data()};
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    EXPECT_EQ(posix_spawn(&pid_, voterProgram.c_str(), &actions, nullptr, argv.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    ::close(toVoter[0]);
    ::close(fromVoter[1]);
    input_.assign(toVoter[1]);
    output_.assign(fromVoter[0]);
    readLine();
  }
  ~VoterProcess() { signalAndWait(SIGKILL); }
  VoterProcess(const VoterProcess&) = delete;
  VoterProcess& operator=(const VoterProcess&) = delete;

  // Sends a command; see voter_program.cpp.
  void send(const std::string& line) {
    error_code ignored;
    asio::write(input_, asio::buffer(line + "\n"), ignored);
  }
  // Sends the signal and blocks until the process has ended. Returns its exit code, or -SIGNAL if a signal
  // ended it; 0 if it was ended before.
  int signalAndWait(int signal) {
    if (pid_ <= 0) return 0;
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  bool isOutputClosed() const { return outputClosed_; }  // all output was read

 private:
  void readLine() {
    asio::async_read_until(output_, asio::dynamic_buffer(buffer_), '\n',
                           [this](error_code ec, std::size_t size) {
                             if (ec) {
                               outputClosed_ = true;
                               return;
                             }
                             const std::string line = buffer_.substr(0, size - 1);
                             buffer_.erase(0, size);
                             onLine_(line);
                             readLine();
                           });
  }

  pid_t pid_ = 0;
  std::function<void(const std::string&)> onLine_;
  asio::posix::stream_descriptor input_, output_;
  std::string buffer_;
  bool outputClosed_ = false;
};

class VoterProcessesTest : public LoopTest {
 protected:
  const std::string folder_ = ::testing::TempDir() + "voters_" + std::to_string(::getpid()) + "/";
  SnapshotSettings snapshots_;
  std::vector<std::unique_ptr<ReservedPort>> ports_;
  std::map<int, std::unique_ptr<VoterProcess>> voters_;  // by number
  std::map<int, std::string> states_;                    // last reported state, by number
  std::map<int, std::set<std::string>> entries_;         // last reported entries, by number
  std::set<int> started_;  // numbers of the voters that have reported that they started
  std::set<std::string> committed_;
  std::vector<std::string> errors_;
  int proposed_ = 0;
  int answered_ = 0;
  std::mt19937_64 random_;

  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < kVoters; ++i) ports_.push_back(std::make_unique<ReservedPort>(io));
  }
  void TearDown() override {
    voters_.clear();
    if (!HasFailure()) files::remove_all(folder_);
  }
  std::string folderOf(int number) const { return folder_ + std::to_string(number); }
  void start(int number) {
    voters_.erase(number);
    states_.erase(number);
    started_.erase(number);
    entries_.erase(number);
    files::create_directories(folderOf(number));
    std::vector<std::string> arguments{folderOf(number), std::to_string(number),
                                       std::to_string(snapshots_.threshold),
                                       std::to_string(snapshots_.trailing)};
    for (const auto& port : ports_) arguments.push_back(textOf(port->endpoint));
    voters_[number] = std::make_unique<VoterProcess>(
        io, arguments, [this, number](const std::string& line) { onLine(number, line); });
  }
  void startAll() {
    for (int number = 1; number <= kVoters; ++number) start(number);
  }
  void onLine(int number, const std::string& line) {
    std::istringstream words(line);
    std::string word, rest;
    words >> word;
    std::getline(words >> std::ws, rest);
    if (word == "committed") committed_.insert(rest);
    if (word == "committed" || word == "lost") ++answered_;
    if (word == "started") started_.insert(number);
    if (word == "state") states_[number] = rest;
    if (word == "error") errors_.push_back("voter " + std::to_string(number) + ": " + rest);
    if (word == "entries") {
      std::istringstream list(rest);
      entries_[number] = {std::istream_iterator<std::string>(list), {}};
    }
  }
  void runFor(milliseconds time) {
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      io.restart();
      io.run_one_until(end);
    }
  }
  int draw(int min, int max) { return std::uniform_int_distribution<int>(min, max)(random_); }
  // Sends proposals to all running voters; the leader accepts them.
  void propose(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string text = "entry-" + std::to_string(++proposed_);
      for (auto& [number, voter] : voters_) voter->send("propose " + text);
    }
  }
  // Random numbers of proposals with random pauses.
  void proposeAtRandomTimes() {
    for (int burst = draw(0, 4); burst > 0; --burst) {
      propose(draw(1, 20));
      runFor(milliseconds(draw(0, 30)));
    }
  }
  void stop(int number, int signal) {
    VoterProcess& voter = *voters_.at(number);
    if (signal != SIGKILL) {
      EXPECT_TRUE(until([&] { return started_.contains(number) || !errors_.empty(); }));
    }
    const int code = voter.signalAndWait(signal);
    EXPECT_EQ(code, signal == SIGKILL ? -SIGKILL : 0) << "voter " << number;
    EXPECT_TRUE(until([&] { return voter.isOutputClosed(); }));
    voters_.erase(number);
    states_.erase(number);
  }
  // Number of the running voter that leads; 0: none.
  int leader() {
    for (auto& [number, voter] : voters_) voter->send("state");
    runFor(milliseconds(5));
    for (const auto& [number, state] : states_)
      if (voters_.contains(number) && state.starts_with("leads")) return number;
    return 0;
  }
  int awaitLeader() {
    int found = 0;
    EXPECT_TRUE(until([&] { return !errors_.empty() || (found = leader()) != 0; }));
    return found;
  }
  bool isPaused(int number) {
    voters_.at(number)->send("state");
    runFor(milliseconds(5));
    return states_[number].ends_with("paused");
  }
  void commit(int count) {
    const std::size_t wanted = committed_.size() + static_cast<std::size_t>(count);
    EXPECT_TRUE(until([&] {
      if (committed_.size() < wanted) {
        propose(static_cast<int>(wanted - committed_.size()));
        runFor(milliseconds(20));
      }
      return committed_.size() >= wanted || !errors_.empty();
    }));
  }
  bool hasAllCommitted(int number) {
    voters_.at(number)->send("entries");
    runFor(milliseconds(10));
    const std::set<std::string>& found = entries_[number];
    return std::includes(found.begin(), found.end(), committed_.begin(), committed_.end());
  }
  // Expects that every voter applies all committed entries, and that none has reported an error.
  void expectNothingLost() {
    for (int number = 1; number <= kVoters; ++number)
      EXPECT_TRUE(until([&] { return !errors_.empty() || hasAllCommitted(number); })) << "voter " << number;
    EXPECT_EQ(errors_, std::vector<std::string>());
  }
  // The same within kMaxCatchUpTime: a leader must not wait long for the answer to a snapshot.
  void expectNothingLostSoon() {
    const auto begin = steady_clock::now();
    expectNothingLost();
    EXPECT_LT(steady_clock::now() - begin, kMaxCatchUpTime);
  }
  // The number of rounds and the seed can be set by environment variables, for longer manual runs.
  static int numberFrom(const char* variable, int defaultValue) {
    const char* value = std::getenv(variable);
    return value ? std::atoi(value) : defaultValue;
  }
};

// Guards against a folder that can't be read at the next start, and against lost acknowledged entries, after
// a voter was killed at a random time.
TEST_F(VoterProcessesTest, VotersKilledAtRandomTimesRestartWithoutLoss) {
  random_.seed(static_cast<std::uint64_t>(numberFrom("VOTERS_SEED", 1)));
  const int rounds = numberFrom("VOTERS_ROUNDS", 40);
  startAll();
  for (int round = 0; round < rounds && errors_.empty() && !HasFailure(); ++round) {
    proposeAtRandomTimes();
    const int number = draw(1, kVoters);
    stop(number, draw(0, 3) > 0 ? SIGKILL : SIGTERM);
    proposeAtRandomTimes();
    start(number);
  }
  commit(1);
  EXPECT_GT(committed_.size(), static_cast<std::size_t>(rounds));
  expectNothingLost();
}

// Guards against a folder that can't be read, and against a voter that does not catch up, after it was killed
// while a snapshot was being installed.
TEST_F(VoterProcessesTest, AVoterKilledDuringASnapshotInstallationCatchesUp) {
  random_.seed(static_cast<std::uint64_t>(numberFrom("VOTERS_SEED", 1)));
  startAll();
  awaitLeader();
  for (int round = 0; round < 8; ++round) {
    stop(1, SIGTERM);
    commit(40);
    start(1);
    runFor(milliseconds(draw(0, 40)));
    stop(1, SIGKILL);
    start(1);
    expectNothingLostSoon();
  }
}

class BrokenDiskTest : public VoterProcessesTest, public ::testing::WithParamInterface<DiskFault> {
 protected:
  void breakDiskOf(int number) {
    voters_.at(number)->send("break " + std::to_string(static_cast<int>(GetParam())));
  }
  void expectPausedWhileDiskIsBroken(int number) {
    breakDiskOf(number);
    propose(4);
    commit(24);  // by the other voters, enough for a snapshot
    EXPECT_TRUE(until([&] { return isPaused(number); }));
    EXPECT_TRUE(until([&] { return leader() != 0; }));
    EXPECT_NE(leader(), number);
    voters_.at(number)->send("heal");
    EXPECT_TRUE(until([&] { return !isPaused(number); }));
    expectNothingLost();
  }
};

// Guards against a coordinator that, while its disk fails, ends, acknowledges entries that it has not
// written, or continues to lead.
TEST_P(BrokenDiskTest, AVoterIsPausedWhileItsDiskFails) {
  startAll();
  for (int round = 0; round < 6 && !HasFailure(); ++round) {
    const int leading = awaitLeader();
    commit(8);
    expectPausedWhileDiskIsBroken(round % 2 == 0 ? leading : leading % kVoters + 1);
  }
}

// Guards against a voter that can't be stopped while its disk fails, or that has lost entries after its next
// start.
TEST_P(BrokenDiskTest, AVoterCanBeStoppedWhileItsDiskFails) {
  startAll();
  for (int round = 0; round < 4 && !HasFailure(); ++round) {
    const int leading = awaitLeader();
    const int broken = round % 2 == 0 ? leading : leading % kVoters + 1;
    propose(8);
    breakDiskOf(broken);
    propose(8);
    runFor(milliseconds(10 * round));
    stop(broken, round < 2 ? SIGTERM : SIGKILL);
    commit(4);
    start(broken);
    expectNothingLost();
  }
}

// Guards against a majority that can't write but commits entries.
TEST_P(BrokenDiskTest, WithAllDisksBrokenNothingIsCommittedAndNoVoterEnds) {
  startAll();
  awaitLeader();
  commit(8);
  for (int number = 1; number <= kVoters; ++number) breakDiskOf(number);
  runFor(milliseconds(50));  // for writes and proposals in progress
  const std::size_t before = committed_.size();
  propose(20);
  runFor(milliseconds(400));
  EXPECT_EQ(committed_.size(), before);
  EXPECT_EQ(leader(), 0);
  for (int number = 1; number <= kVoters; ++number) voters_.at(number)->send("heal");
  commit(8);
  expectNothingLost();
}

INSTANTIATE_TEST_SUITE_P(EachFault, BrokenDiskTest,
                         ::testing::Values(DiskFault::noSpace, DiskFault::ioError, DiskFault::shortWrite));

// Guards against a voter that crashes, or appends entries under wrong indexes, when it is far behind and the
// snapshot settings are those of the coordinator. It restarts with an older copy of its folder, and with an
// empty one, both before and after the leader's first snapshot.
TEST_F(VoterProcessesTest, AVoterFarBehindCatchesUpWithTheCoordinatorsSettings) {
  snapshots_ = {1024, 256};
  startAll();
  awaitLeader();
  commit(40);
  stop(1, SIGTERM);
  files::copy(folderOf(1), folder_ + "older", files::copy_options::recursive);
  for (const int count : {300, 500, 400, 900}) {
    start(1);
    expectNothingLostSoon();
    stop(1, SIGTERM);
    commit(count);
    files::remove_all(folderOf(1));
    files::copy(folder_ + "older", folderOf(1), files::copy_options::recursive);
    start(1);
    expectNothingLostSoon();
    stop(1, SIGTERM);
    files::remove_all(folderOf(1));
    start(1);
    expectNothingLostSoon();
    stop(1, SIGTERM);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) return 2;
  cairnjunction::testing::voterProgram = argv[1];
  return RUN_ALL_TESTS();
}
