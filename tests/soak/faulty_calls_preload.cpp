// Preloaded into a gateway: a share of the named system calls on sockets fails, or is short, as Linux
// documents it. FAULTY_CALLS has entries "call=fault:share", separated by commas; call is read, write,
// accept, socket or connect, fault an errno's number or "short". FAULTY_CALLS_SEED seeds what is drawn.
#include <dlfcn.h>
#include <errno.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

namespace {

constexpr int kShort = -1;

struct Fault {
  std::string call;
  int error = 0;  // kShort: the call does less than asked
  double share = 0;
};

std::vector<Fault> readFaults() {
  std::vector<Fault> faults;
  const char* text = std::getenv("FAULTY_CALLS");
  std::string rest = text == nullptr ? "" : text;
  while (!rest.empty()) {
    const std::string entry = rest.substr(0, rest.find(','));
    rest.erase(0, entry.size() + 1);
    const std::size_t equals = entry.find('='), colon = entry.find(':');
    const std::string fault = entry.substr(equals + 1, colon - equals - 1);
    faults.push_back({entry.substr(0, equals), fault == "short" ? kShort : std::atoi(fault.c_str()),
                      std::atof(entry.c_str() + colon + 1)});
  }
  return faults;
}

// The error that the call fails with now, kShort, or 0.
int draw(const char* call) {
  static const std::vector<Fault> faults = readFaults();
  static std::mt19937_64 random(
      std::strtoull(std::getenv("FAULTY_CALLS_SEED") ? std::getenv("FAULTY_CALLS_SEED") : "1", nullptr, 10));
  for (const Fault& fault : faults)
    if (fault.call == call && std::uniform_real_distribution<double>(0, 1)(random) < fault.share)
      return fault.error;
  return 0;
}

template <class Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool fails(const char* call, bool& isShort) {
  const int error = draw(call);
  isShort = error == kShort;
  if (error > 0) errno = error;
  return error > 0;
}

std::size_t part(std::size_t size, bool isShort) { return isShort && size > 1 ? size / 2 : size; }

}  // namespace

extern "C" {

ssize_t recv(int socket, void* buffer, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, void*, size_t, int)>("recv");
  bool isShort = false;
  if (fails("read", isShort)) return -1;
  return real(socket, buffer, part(size, isShort), flags);
}

ssize_t send(int socket, const void* buffer, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, int)>("send");
  bool isShort = false;
  if (fails("write", isShort)) return -1;
  return real(socket, buffer, part(size, isShort), flags);
}

ssize_t recvmsg(int socket, msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  bool isShort = false;
  if (fails("read", isShort)) return -1;
  if (!isShort || message->msg_iovlen == 0) return real(socket, message, flags);
  iovec first = message->msg_iov[0];
  first.iov_len = part(first.iov_len, true);
  msghdr shorter = *message;
  shorter.msg_iov = &first;
  shorter.msg_iovlen = 1;
  return real(socket, &shorter, flags);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  bool isShort = false;
  if (fails("write", isShort)) return -1;
  if (!isShort || message->msg_iovlen == 0) return real(socket, message, flags);
  iovec first = message->msg_iov[0];
  first.iov_len = part(first.iov_len, true);
  msghdr shorter = *message;
  shorter.msg_iov = &first;
  shorter.msg_iovlen = 1;
  return real(socket, &shorter, flags);
}

int accept(int socket, sockaddr* address, socklen_t* size) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  bool isShort = false;
  return fails("accept", isShort) ? -1 : real(socket, address, size);
}

int accept4(int socket, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  bool isShort = false;
  return fails("accept", isShort) ? -1 : real(socket, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<int (*)(int, int, int)>("socket");
  bool isShort = false;
  return fails("socket", isShort) ? -1 : real(domain, type, protocol);
}

int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  bool isShort = false;
  return fails("connect", isShort) ? -1 : real(socket, address, size);
}

}  // extern "C"
