// A log scanner that speaks JSON-RPC over TCP, in a named session.
//
//   scanner PORT NAME REF first
//     opens the session, sends one call of `stock-out` with the id 1, and drops the connection 100 ms later
//   scanner PORT NAME REF again RESUME
//     opens the session (RESUME: true or false) and repeats the call by its id
//
// What goes out and comes in is written line by line, with the time since the machine's boot in ms.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

long long bootMs() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1'000'000;
}

void say(int fd, const std::string& text) {
  std::printf("%lld sent %s\n", bootMs(), text.c_str());
  const std::string line = text + "\n";
  (void)::send(fd, line.data(), line.size(), MSG_NOSIGNAL);
}

// A line of the gateway, or what came in its stead.
std::string hear(int fd) {
  std::string line;
  char c = 0;
  while (line.size() < 65536) {
    const ssize_t n = ::recv(fd, &c, 1, 0);
    if (n <= 0) {
      line = "(the connection ended, or nothing came in time)";
      break;
    }
    if (c == '\n') break;
    line += c;
  }
  std::printf("%lld came %s\n", bootMs(), line.c_str());
  return line;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string name = argv[2], ref = argv[3], what = argv[4], resume = argc > 5 ? argv[5] : "false";
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{5, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(argv[1])));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return 2;
  say(fd, R"({"jsonrpc":"2.0","id":"s","method":"rpc.session","params":{"name":")" + name + R"(","resume":)" +
              resume + "}}");
  if (hear(fd).find("\"result\"") == std::string::npos) return 3;  // the session is not held
  say(fd, R"({"jsonrpc":"2.0","id":1,"method":"stock-out","params":{"ref":")" + ref + R"(","boards":40}})");
  if (what == "again") return hear(fd).find("\"result\"") != std::string::npos ? 0 : 4;
  ::usleep(100'000);
  ::close(fd);
  std::printf("%lld dropped the connection\n", bootMs());
}
