// Prints as many free ports of 127.0.0.1 as asked, one a line. All are held open until the last is found, so
// that no two are the same.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::vector<int> held;
  for (int i = 0; i < count; ++i) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      return 1;
    std::printf("%d\n", ntohs(address.sin_port));
    held.push_back(fd);
  }
  for (const int fd : held) ::close(fd);
}
