// Stand-ins for the second review: hosts, discovery and clients in threads, on loopback, and processes of the
// project. They use the C library only. A record of what was sent, answered and run goes to one file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline double seconds() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void pauseFor(double time) { std::this_thread::sleep_for(std::chrono::duration<double>(time)); }
inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// --- The record ------------------------------------------------------------------------------------------

class Record {
 public:
  static Record& the() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::FILE* const file = file_ ? file_ : stdout;
    std::fprintf(file, "%9.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define NOTE(...) ::review::Record::the().line(__VA_ARGS__)

// A case that can't run: the script ends with 2.
[[noreturn]] inline void cannotRun(const std::string& why) {
  NOTE("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::fflush(nullptr);
  throw why;
}

// --- Sockets ---------------------------------------------------------------------------------------------

class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    return *this;
  }
  ~Socket() { close(); }
  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  void reset() {
    const linger now{1, 0};
    if (descriptor_ >= 0) ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  int descriptor() const { return descriptor_; }
  bool isOpen() const { return descriptor_ >= 0; }
  // Whether all was written.
  bool write(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  bool waitReadable(double time) const {
    pollfd entry{descriptor_, POLLIN, 0};
    return ::poll(&entry, 1, std::max(0, static_cast<int>(time * 1000))) > 0;
  }
  enum class Read { bytes, end, reset, nothing };
  // Appends what comes within `time`.
  Read read(std::string& into, double time) {
    if (!waitReadable(time)) return Read::nothing;
    char buffer[65536];
    const ssize_t n = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (n < 0) return Read::reset;
    if (n == 0) return Read::end;
    into.append(buffer, static_cast<std::size_t>(n));
    return Read::bytes;
  }

 private:
  int descriptor_ = -1;
};

inline sockaddr_in addressOf(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline Socket listenAt(int& port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = addressOf(port);
  if (::bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket.descriptor(), 512) != 0)
    cannotRun("a port can't be listened on");
  socklen_t size = sizeof address;
  ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

// A port that is free now, for a process of the project.
inline int freePort() {
  int port = 0;
  const Socket probe = listenAt(port);
  return port;
}

inline Socket connectTo(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = addressOf(port);
  if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return Socket();
  const int on = 1;
  ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

// --- HTTP ------------------------------------------------------------------------------------------------

struct Message {
  std::string first;                          // request line or status line
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return first.size() > 11 ? std::atoi(first.c_str() + 9) : 0; }
  std::string path() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

// Takes one whole message with a length from the front of `bytes`; empty if there is none yet.
inline std::optional<Message> takeMessage(std::string& bytes) {
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Message message;
  std::istringstream head(bytes.substr(0, end));
  std::string line;
  std::getline(head, message.first);
  if (!message.first.empty() && message.first.back() == '\r') message.first.pop_back();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  if (bytes.size() < end + 4 + length) return std::nullopt;
  message.body = bytes.substr(end + 4, length);
  bytes.erase(0, end + 4 + length);
  return message;
}

inline std::string answerText(int status, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline const std::string kNotRun = "X-Not-Run: 1\r\n";

// --- A server: a thread for each connection ----------------------------------------------------------------

class Server {
 public:
  using Serve = std::function<void(Socket&)>;  // ends with the connection

  Server(int port, Serve serve) : port_(port), serve_(std::move(serve)) { open(); }
  ~Server() { shut(); }
  int port() const { return port_; }
  std::atomic<bool> stopping{false};

  void open() {
    stopping = false;
    listener_ = listenAt(port_);
    acceptor_ = std::thread([this] {
      while (!stopping) {
        if (!listener_.waitReadable(0.02)) continue;
        const int accepted = ::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        threads_.emplace_back([this, accepted] {
          Socket socket(accepted);
          serve_(socket);
        });
      }
    });
  }
  // Ends all connections; new ones are refused.
  void shut() {
    stopping = true;
    if (acceptor_.joinable()) acceptor_.join();
    listener_.close();
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
  }

 private:
  int port_;
  Serve serve_;
  Socket listener_;
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

// --- Hosts -----------------------------------------------------------------------------------------------

// A host of the protocol page. `answer` has the whole request; it writes the answer and returns whether the
// connection stays open. A host drops repeats of a key for two seconds, if `answer` asks it to.
class Host {
 public:
  using Answer = std::function<bool(Host&, const Message&, Socket&)>;

  Host(std::string uid, std::string zone, Answer answer)
      : uid(std::move(uid)),
        zone(std::move(zone)),
        answer_(std::move(answer)),
        server_(0, [this](Socket& s) { serve(s); }) {}
  const std::string uid, zone;
  std::string state = "SERVING";
  std::int64_t bootMs = 0;
  int port() const { return server_.port(); }
  bool stopping() const { return server_.stopping; }
  void shut() { server_.shut(); }
  void open() { server_.open(); }

 private:
  void serve(Socket& socket) {
    std::string bytes;
    while (!server_.stopping) {
      const std::optional<Message> request = takeMessage(bytes);
      if (!request) {
        const Socket::Read read = socket.read(bytes, 0.05);
        if (read == Socket::Read::end || read == Socket::Read::reset) return;
        continue;
      }
      if (!answer_(*this, *request, socket)) return;
    }
  }
  Answer answer_;
  Server server_;
};

// --- Discovery ---------------------------------------------------------------------------------------------

// Discovery of the protocol page, asked: the whole list, and a watch on changes. While it is down it resets
// each call.
class Discovery {
 public:
  Discovery() : server_(0, [this](Socket& s) { serve(s); }) {}
  int port() const { return server_.port(); }

  void set(const Host& host) { set(host.uid, host.port(), host.zone, host.state, host.bootMs); }
  void set(const std::string& uid, int port, const std::string& zone, const std::string& state,
           std::int64_t bootMs) {
    const std::lock_guard lock(mutex_);
    ++version_;
    targets_[uid] = {version_, state,
                     "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(port) +
                         "\",\"az\":\"" + zone + "\",\"model\":\"std-4c\",\"pod_group\":0,\"state\":\"" +
                         state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(bootMs) + "}"};
    changed_.notify_all();
  }
  // As the file of a configuration holds it.
  std::string known() {
    const std::lock_guard lock(mutex_);
    return list(0);
  }
  std::int64_t version() {
    const std::lock_guard lock(mutex_);
    return version_;
  }
  // When an answer with this version or a later one was written first; 0: not yet.
  double writtenAt(std::int64_t version) {
    const std::lock_guard lock(mutex_);
    const auto found = writtenAt_.lower_bound(version);
    return found == writtenAt_.end() ? 0 : found->second;
  }
  void setDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  std::atomic<int> calls{0}, failedCalls{0};

 private:
  struct Target {
    std::int64_t version;
    std::string state, json;
  };
  // Of what changed after `since`; 0: the whole list.
  std::string list(std::int64_t since) const {
    std::string targets;
    for (const auto& [uid, target] : targets_) {
      if (target.version <= since || (since == 0 && target.state == "DELETED")) continue;
      targets += (targets.empty() ? "" : ",") + target.json;
    }
    return "{\"rev\":" + std::to_string(version_) + ",\"all\":" + (since == 0 ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }
  void serve(Socket& socket) {
    std::string bytes;
    while (!server_.stopping) {
      const std::optional<Message> request = takeMessage(bytes);
      if (!request) {
        const Socket::Read read = socket.read(bytes, 0.01);
        if (read == Socket::Read::end || read == Socket::Read::reset) return;
        continue;
      }
      ++calls;
      const std::string path = request->path();
      const auto sinceAt = path.find("since="), waitAt = path.find("timeout_ms=");
      const std::int64_t since =
          sinceAt == std::string::npos ? 0 : std::strtoll(path.c_str() + sinceAt + 6, nullptr, 10);
      const long wait =
          waitAt == std::string::npos ? 0 : std::strtol(path.c_str() + waitAt + 11, nullptr, 10);
      std::unique_lock lock(mutex_);
      const auto until = Clock::now() + std::chrono::milliseconds(wait);
      while (!down_ && since == version_ && Clock::now() < until && !server_.stopping)
        changed_.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(20)));
      if (down_) {
        ++failedCalls;
        return socket.reset();
      }
      const std::string body = list(since);
      writtenAt_.emplace(version_, seconds());
      lock.unlock();
      if (!socket.write(answerText(200, body, "Content-Type: application/json\r\n"))) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Target> targets_;
  std::map<std::int64_t, double> writtenAt_;  // by version, of the first answer with it
  std::int64_t version_ = 40;
  bool down_ = false;
  Server server_;
};

// --- Clients -----------------------------------------------------------------------------------------------

struct Reply {
  int status = 0;  // 0: none
  std::string body;
  double at = 0;
  Socket::Read end = Socket::Read::nothing;  // how the connection ended, if it did
};

// Reads one answer with a length.
inline Reply readReply(Socket& socket, std::string& bytes, double time) {
  const double until = seconds() + time;
  Reply reply;
  for (;;) {
    if (const auto message = takeMessage(bytes)) {
      reply.status = message->status();
      reply.body = message->body;
      reply.at = seconds();
      return reply;
    }
    if (seconds() >= until) return reply;
    const Socket::Read read = socket.read(bytes, until - seconds());
    if (read == Socket::Read::end || read == Socket::Read::reset) {
      reply.end = read;
      reply.at = seconds();
      return reply;
    }
  }
}

inline const char* nameOf(Socket::Read end) {
  switch (end) {
    case Socket::Read::bytes: return "bytes";
    case Socket::Read::end: return "closed";
    case Socket::Read::reset: return "reset";
    case Socket::Read::nothing: return "silence";
  }
  return "";
}

inline std::string requestText(const std::string& kind, const std::string& id, int deadlineMs,
                               const std::string& key = "", const std::string& body = "",
                               const std::string& more = "") {
  const bool get = kind == "cut-plan";
  std::string text = std::string(get ? "GET" : "POST") + " /" + kind + " HTTP/1.1\r\nHost: api.internal\r\n" +
                     "X-Request-Id: " + id + "\r\nX-Class: " + kind +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
  if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
  if (!get) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + more + "\r\n" + (get ? "" : body);
}

// One request on a connection of its own; waits for the answer half a second past its time.
inline Reply ask(int port, const std::string& text, int deadlineMs) {
  Socket socket = connectTo(port);
  Reply reply;
  if (!socket.isOpen() || !socket.write(text)) {
    reply.end = Socket::Read::reset;
    return reply;
  }
  std::string bytes;
  return readReply(socket, bytes, deadlineMs / 1000.0 + 0.5);
}

// --- Processes of the project
// --------------------------------------------------------------------------------

class Process {
 public:
  // `command` is started by the shell from the repository's root, as the platform does.
  Process(std::string name, const std::string& command, const std::map<std::string, std::string>& environment,
          const std::string& log)
      : name_(std::move(name)), id_(::fork()) {
    if (id_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      for (const auto& [key, value] : environment) ::setenv(key.c_str(), value.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    NOTE("started %s (%d): %s", name_.c_str(), id_, command.c_str());
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { kill(); }
  void signal(int number) const {
    NOTE("signal %d to %s", number, name_.c_str());
    if (id_ > 0) ::kill(id_, number);
  }
  bool isRunning() {
    if (id_ <= 0) return false;
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) == 0) return true;
    NOTE("%s has ended, status %d", name_.c_str(), status);
    id_ = -1;
    return false;
  }
  void kill() {
    if (!isRunning()) return;
    ::kill(id_, SIGCONT);
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = -1;
  }
  int id() const { return id_; }

 private:
  std::string name_;
  pid_t id_;
};

// --- The case ----------------------------------------------------------------------------------------------

struct Case {
  bool trouble = true;
  std::string root, folder, run;  // the repository, a temporary folder, the deploy file's `run`
};

inline Case begin(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: %s ROOT FOLDER RECORD\n", argv[0]);
    std::exit(2);
  }
  std::signal(SIGPIPE, SIG_IGN);
  Case here;
  here.root = argv[1];
  here.folder = argv[2];
  Record::the().open(argv[3]);
  const char* const trouble = std::getenv("TROUBLE");
  here.trouble = trouble == nullptr || std::string(trouble) != "0";
  const char* const run = std::getenv("DEPLOY_RUN");
  here.run = run ? run : "exec build/cairnjunction";
  if (::chdir(here.root.c_str()) != 0) std::exit(2);
  NOTE("disruption: %s", here.trouble ? "yes" : "no (TROUBLE=0)");
  return here;
}

inline std::string write(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
  return path;
}

// The classes and rules of the site, as a small deployment has them. `more` are further members.
struct GatewayFile {
  std::string name = "n1", zone = "brasov";
  int listen = 0, discovery = 0, count = 1, number = 0;
  std::string known, more, seed = "8c1f30d27a5be964";
  std::int64_t askWithinMs = 30000;
  std::string text() const {
    return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
           "\",\"discovery\":\"127.0.0.1:" + std::to_string(discovery) + "\",\"seed\":\"" + seed +
           "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," +
           (known.empty() ? "" : "\"known\":" + known + ",") + more + "\"settings\":{\"zone\":\"" + zone +
           "\",\"zones\":[\"brasov\",\"cluj\"],\"groupSize\":" + std::to_string(count) +
           ",\"myNumber\":" + std::to_string(number) +
           ",\"registryMode\":\"ask\",\"stepNs\":5000000,\"overShareWorth\":0.1,\"ceilings\":{\"cancel\":"
           "true,"
           "\"maxAttempts\":6,\"retryAfter\":false,\"maxRetryAfterNs\":1000000000,\"idleCloseNs\":"
           "60000000000,"
           "\"connectTimeoutNs\":200000000,\"probes\":false,\"peers\":false,\"parallelTries\":false},"
           "\"rules\":{\"askWithinNs\":" +
           std::to_string(askWithinMs) +
           "000000,\"coldNs\":9000000000,\"coldShare\":0.32,\"drainGraceNs\":500000000,\"fallMultiple\":3,"
           "\"fallNs\":2000000000},\"grades\":["
           "{\"name\":\"cut-plan\",\"effect\":\"retryable\",\"group\":\"all\",\"windowNs\":5000000000,"
           "\"aimNs\":600000000,\"giveUpNs\":1200000000,\"points\":12,\"lateShare\":0.0},"
           "{\"name\":\"stock-out\",\"effect\":\"fragile\",\"group\":\"all\",\"windowNs\":5000000000,"
           "\"aimNs\":400000000,\"giveUpNs\":2000000000,\"points\":1,\"lateShare\":0.0},"
           "{\"name\":\"log-in\",\"effect\":\"dedup\",\"group\":\"zone\",\"windowNs\":2000000000,"
           "\"aimNs\":400000000,\"giveUpNs\":1000000000,\"points\":1,\"lateShare\":0.0}]}}";
  }
};

// Waits for `GET /up` to be 200; otherwise the case can't run.
inline void waitUp(Process& process, int port, double time = 30) {
  const double until = seconds() + time;
  while (seconds() < until) {
    if (!process.isRunning()) cannotRun("a gateway ended at its start");
    const Reply up = ask(port, "GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n", 500);
    if (up.status == 200) return;
    pauseFor(0.05);
  }
  cannotRun("a gateway is not ready");
}

// Runs the case; its result is 1 if the rule was broken, and 0 if it held.
inline int runCase(int argc, char** argv, const std::function<int(const Case&)>& body) {
  const Case here = begin(argc, argv);
  try {
    const int result = body(here);
    NOTE("result: %s", result == 0 ? "the rule held" : result == 1 ? "THE RULE WAS BROKEN" : "could not run");
    return result;
  } catch (const std::string&) {
    return 2;
  }
}

}  // namespace review
