// A client of gateways: four connections to each, on which requests of `cut-plan` follow one another.
//
//   client SECONDS PORT...    writes a line for each request: the port, and the answer's status or how it
//   ended
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
std::atomic<int> lastId{0};

int dial(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{3, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

// The answer's status, or what came instead. The answers here have no body.
std::string exchange(int fd, const std::string& id) {
  const std::string request =
      "GET /cut-plan/7 HTTP/1.1\r\nHost: x\r\nX-Class: cut-plan\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Ms: 1200\r\n\r\n";
  if (::send(fd, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    return "not-sent";
  std::string in;
  char bytes[4096];
  while (in.find("\r\n\r\n") == std::string::npos) {
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return in.empty() ? "lost" : "cut";
    in.append(bytes, static_cast<std::size_t>(n));
  }
  return in.substr(9, 3);
}

void play(int port, Clock::time_point end) {
  int fd = -1;
  while (Clock::now() < end) {
    if (fd < 0) fd = dial(port);
    if (fd < 0) {
      std::printf("%d refused\n", port);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      continue;
    }
    const std::string id = "r" + std::to_string(::getpid()) + "-" + std::to_string(++lastId);
    const std::string came = exchange(fd, id);
    std::printf("%d %s %s\n", port, came.c_str(), id.c_str());
    if (came.size() != 3) {
      ::close(fd);
      fd = -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const auto end = Clock::now() + std::chrono::seconds(std::atoi(argv[1]));
  std::vector<std::thread> all;
  for (int i = 2; i < argc; ++i)
    for (int k = 0; k < 4; ++k) all.emplace_back(play, std::atoi(argv[i]), end);
  for (std::thread& each : all) each.join();
}
