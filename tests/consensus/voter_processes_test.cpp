// Three voters as processes: killed at drawn moments, with a disk that fails while they run, and far behind.
// What was committed is there in the end, and none ends unless it is told to.
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

std::string voterProgram;  // its path; set once, by main

constexpr int kVoters = 3;
constexpr std::chrono::seconds kCatchUpMost{10};

struct SnapshotSettings {
  unsigned threshold = 16;
  unsigned trailing = 4;
};

// One process; `onLine` is given each line that it says.
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
  ~VoterProcess() { end(SIGKILL); }
  VoterProcess(const VoterProcess&) = delete;
  VoterProcess& operator=(const VoterProcess&) = delete;

  void tell(const std::string& line) {
    error_code ignored;
    asio::write(input_, asio::buffer(line + "\n"), ignored);
  }
  // 0: it ended well; -SIGNAL: by a signal.
  int end(int signal) {
    if (pid_ <= 0) return 0;
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  bool isOver() const { return over_; }  // all that it said was read

 private:
  void readLine() {
    asio::async_read_until(output_, asio::dynamic_buffer(buffer_), '\n',
                           [this](error_code ec, std::size_t size) {
                             if (ec) {
                               over_ = true;
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
  bool over_ = false;
};

class VoterProcessesTest : public LoopTest {
 protected:
  const std::string folder_ = ::testing::TempDir() + "voters_" + std::to_string(::getpid()) + "/";
  SnapshotSettings snapshots_;
  std::vector<std::unique_ptr<ReservedPort>> ports_;
  std::map<int, std::unique_ptr<VoterProcess>> voters_;  // by number
  std::map<int, std::string> states_;                    // last one that each said
  std::map<int, std::set<std::string>> entries_;         // the same
  std::set<int> started_;
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
  int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  // To all that run: whoever leads takes it.
  void propose(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string text = "entry-" + std::to_string(++proposed_);
      for (auto& [number, voter] : voters_) voter->tell("propose " + text);
    }
  }
  void proposeForAWhile() {
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
    const int code = voter.end(signal);
    EXPECT_EQ(code, signal == SIGKILL ? -SIGKILL : 0) << "voter " << number;
    EXPECT_TRUE(until([&] { return voter.isOver(); }));
    voters_.erase(number);
    states_.erase(number);
  }
  // Of the voters that run; 0: none leads.
  int leader() {
    for (auto& [number, voter] : voters_) voter->tell("state");
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
    voters_.at(number)->tell("state");
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
    voters_.at(number)->tell("entries");
    runFor(milliseconds(10));
    const std::set<std::string>& found = entries_[number];
    return std::includes(found.begin(), found.end(), committed_.begin(), committed_.end());
  }
  // At each of the voters.
  void expectNothingLost() {
    for (int number = 1; number <= kVoters; ++number)
      EXPECT_TRUE(until([&] { return !errors_.empty() || hasAllCommitted(number); })) << "voter " << number;
    EXPECT_EQ(errors_, std::vector<std::string>());
  }
  // A leader may wait for an answer to a snapshot, but not for long.
  void expectNothingLostSoon() {
    const auto begin = steady_clock::now();
    expectNothingLost();
    EXPECT_LT(steady_clock::now() - begin, kCatchUpMost);
  }
  // How often, and from which seed: for longer runs by hand.
  static int numberFrom(const char* variable, int usual) {
    const char* asked = std::getenv(variable);
    return asked ? std::atoi(asked) : usual;
  }
};

// Guards against a folder that can't be read at the next start, and against acknowledged entries that are
// gone, after a voter was killed at a moment that nobody thought of.
TEST_F(VoterProcessesTest, KilledAtDrawnMomentsTheyStartAgainAndLoseNothing) {
  random_.seed(static_cast<std::uint64_t>(numberFrom("VOTERS_SEED", 1)));
  const int rounds = numberFrom("VOTERS_ROUNDS", 40);
  startAll();
  for (int round = 0; round < rounds && errors_.empty() && !HasFailure(); ++round) {
    proposeForAWhile();
    const int number = draw(1, kVoters);
    stop(number, draw(0, 3) > 0 ? SIGKILL : SIGTERM);
    proposeForAWhile();
    start(number);
  }
  commit(1);
  EXPECT_GT(committed_.size(), static_cast<std::size_t>(rounds));
  expectNothingLost();
}

// Guards against a folder that can't be read, and a voter that is left behind, where it was killed while a
// snapshot was being installed.
TEST_F(VoterProcessesTest, AVoterKilledWhileItIsSentASnapshotIsNotLeftBehind) {
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
    voters_.at(number)->tell("break " + std::to_string(static_cast<int>(GetParam())));
  }
  void playWithBrokenDisk(int number) {
    breakDiskOf(number);
    propose(4);
    commit(24);  // by the others, past a snapshot
    EXPECT_TRUE(until([&] { return isPaused(number); }));
    EXPECT_TRUE(until([&] { return leader() != 0; }));
    EXPECT_NE(leader(), number);
    voters_.at(number)->tell("heal");
    EXPECT_TRUE(until([&] { return !isPaused(number); }));
    expectNothingLost();
  }
};

// Guards against a coordinator that ends while its disk fails, acknowledges what it has not written, or goes
// on to lead.
TEST_P(BrokenDiskTest, AVoterWhoseDiskFailsIsPausedUntilItIsBack) {
  startAll();
  for (int round = 0; round < 6 && !HasFailure(); ++round) {
    const int leading = awaitLeader();
    commit(8);
    playWithBrokenDisk(round % 2 == 0 ? leading : leading % kVoters + 1);
  }
}

// Guards against a voter that can't be stopped, or comes back without what it had, where its disk fails at
// its end.
TEST_P(BrokenDiskTest, AVoterIsStoppedWhileItsDiskFails) {
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

// Guards against a majority that can't write, and thinks that it can commit.
TEST_P(BrokenDiskTest, WithAllDisksBrokenNothingIsCommittedAndNobodyEnds) {
  startAll();
  awaitLeader();
  commit(8);
  for (int number = 1; number <= kVoters; ++number) breakDiskOf(number);
  runFor(milliseconds(50));  // what was under way
  const std::size_t before = committed_.size();
  propose(20);
  runFor(milliseconds(400));
  EXPECT_EQ(committed_.size(), before);
  EXPECT_EQ(leader(), 0);
  for (int number = 1; number <= kVoters; ++number) voters_.at(number)->tell("heal");
  commit(8);
  expectNothingLost();
}

INSTANTIATE_TEST_SUITE_P(EachFault, BrokenDiskTest,
                         ::testing::Values(DiskFault::noSpace, DiskFault::ioError, DiskFault::shortWrite));

// Guards against a voter that crashes, or takes entries under wrong numbers, for what it is sent when it is
// far behind, with the settings of the program: it comes back with an older copy of its folder, and with an
// emptied one, from before and behind the leader's first snapshot.
TEST_F(VoterProcessesTest, FarBehindWithTheProgramsSettingsAVoterCatchesUp) {
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
