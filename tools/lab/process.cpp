// A process that the lab started.
#include "lab/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace cairnjunction::lab {

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output, bool withInput, const std::vector<std::string>& environment) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  std::vector<std::string> own(environment);
  std::vector<char*> env;
  for (std::string& word : own) env.push_back(word.data());
  for (char** word = environ; *word; ++word) env.push_back(*word);
  env.push_back(nullptr);
  int pipe[2] = {-1, -1};
  if (withInput && ::pipe2(pipe, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (withInput) posix_spawn_file_actions_adddup2(&actions, pipe[0], 0);
  else posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A child that inherited a listening socket of the lab would keep it open: after the lab closes its own
  // descriptor, connections would still be accepted and never served. So descriptors from 3 on are closed.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), env.data());
  posix_spawn_file_actions_destroy(&actions);
  if (withInput) ::close(pipe[0]);
  input_ = pipe[1];
  if (failed) throw std::runtime_error(program + ": " + std::strerror(failed));
}

Process::~Process() {
  if (input_ >= 0) ::close(input_);
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  wait();
}

void Process::signal(int which) const {
  if (pid_ > 0) ::kill(pid_, which);
}

bool Process::running() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = 0;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

int Process::wait() {
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, 0) == pid_)
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  pid_ = 0;
  return code_;
}

void Process::say(const std::string& line) const {
  const std::string text = line + "\n";
  if (input_ >= 0 && ::write(input_, text.data(), text.size()) < 0) return;  // it has ended
}

void Process::limitFiles(bool full) const {
  rlimit limit{};
  if (pid_ <= 0 || ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = full ? 1 : limit.rlim_max;  // only the soft limit: it may be lifted again
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

// The 14th and 15th words of its stat, behind the name in parentheses.
std::int64_t Process::cpuMs() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t name = text.rfind(')');
  if (name == std::string::npos) return 0;
  std::istringstream words(text.substr(name + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) words >> skipped;
  std::int64_t user = 0, system = 0;
  words >> user >> system;
  return (user + system) * 1000 / ::sysconf(_SC_CLK_TCK);
}

}  // namespace cairnjunction::lab
