// A stand-in for a member of a fleet, over the frames of src/fleet/frame.cpp: it joins the leader, sends
// heartbeats, renews what it is granted, gives back all but shards of `probe`, and reports on each of its
// shards once a second. From SIGUSR1 on its reports hold an age that is a text.
//
//   member FLEET PORT...    the fleet's name, and the coordinators' ports on 127.0.0.1
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace {

enum Kind { kJoinRequest, kJoinResponse = 3, kHeartbeat = 6, kGrants, kRelease, kTransfer, kCommand };
using Key = std::pair<std::string, std::uint32_t>;  // task, shard
using KeyRow = std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint64_t>;
using GrantRow =
    std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint64_t, std::int64_t, std::int64_t>;
using KeyEpochRow = std::tuple<std::string, std::uint32_t, std::uint64_t>;

struct Lease {
  std::uint64_t epoch = 0, sequence = 0;
  std::int64_t until = 0;
};

const std::string kName = "m";
const std::uint64_t kIncarnation = 4711;

volatile sig_atomic_t nonsense = 0;

std::int64_t bootMs() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

bool writeAll(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

template <class Row>
bool send(int fd, Kind kind, const Row& row) {
  msgpack::sbuffer body;
  msgpack::packer<msgpack::sbuffer> packer(body);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint32_t>(kind));
  packer.pack(row);
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) frame += static_cast<char>(body.size() >> shift);
  return writeAll(fd, frame.append(body.data(), body.size()));
}

int dial(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

class Member {
 public:
  explicit Member(std::string fleet) : fleet_(std::move(fleet)) {}

  // Until the link ends.
  void run(int fd) {
    fd_ = fd;
    joined_ = false;
    in_.clear();
    send(fd_, kJoinRequest, std::make_tuple(1, fleet_, kName, kIncarnation, std::string("brasov"), true));
    nextBeat_ = nextReport_ = bootMs();
    while (step()) {
    }
  }

 private:
  bool step() {
    pollfd wait{fd_, POLLIN, 0};
    if (::poll(&wait, 1, 20) > 0 && !readLink()) return false;
    const std::int64_t now = bootMs();
    if (joined_ && now >= nextBeat_ && !beat(now)) return false;
    return !joined_ || now < nextReport_ || report(now);
  }

  bool readLink() {
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    in_.append(bytes, static_cast<std::size_t>(n));
    while (in_.size() >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(in_[i]);
      if (in_.size() < 4 + size) break;
      const msgpack::object_handle handle = msgpack::unpack(in_.data() + 4, size);
      in_.erase(0, 4 + size);
      const msgpack::object& frame = handle.get();
      take(frame.via.array.ptr[0].as<std::uint32_t>(), frame.via.array.ptr[1]);
    }
    return true;
  }

  void take(std::uint32_t kind, const msgpack::object& values) {
    if (kind == kJoinResponse) {
      joined_ = true;
      std::printf("joined\n");
    } else if (kind == kGrants) {
      const auto [members, granted, lost] =
          values.as<std::tuple<std::uint32_t, std::vector<GrantRow>, std::vector<KeyEpochRow>>>();
      for (const auto& [task, shard, epoch] : lost) leases_.erase({task, shard});
      for (const auto& [task, shard, epoch, sequence, sentAt, duration] : granted) {
        Lease& lease = leases_[{task, shard}];
        if (epoch > lease.epoch) {
          lease = {epoch, sequence, 0};
          nextBeat_ = bootMs();
        }
        lease.until = std::max(lease.until, sentAt + duration - duration / 100);
        if (task != "probe") release({task, shard}, true);
      }
    } else if (kind == kTransfer) {
      const auto [task, shard, epoch] = values.as<KeyEpochRow>();
      release({task, shard}, false);
    }
  }

  void release(const Key& key, bool failed) {
    const auto held = leases_.find(key);
    if (held == leases_.end()) return;
    send(fd_, kRelease, std::make_tuple(key.first, key.second, held->second.epoch, failed));
    leases_.erase(held);
  }

  bool beat(std::int64_t now) {
    nextBeat_ = now + 1000;
    std::vector<KeyRow> held;
    for (const auto& [key, lease] : leases_)
      if (lease.until > now) held.emplace_back(key.first, key.second, lease.epoch, lease.sequence);
    return send(fd_, kHeartbeat, std::make_tuple(now, held));
  }

  bool report(std::int64_t now) {
    nextReport_ = now + 1000;
    const std::string age = nonsense ? "\"300 ms\"" : "300";
    for (auto& [key, lease] : leases_) {
      if (lease.until <= now) continue;
      const std::string body = R"({"out":[],"up":[{"uid":"w1","age_ms":)" + age + "}]}";
      std::printf("report epoch=%llu shard=%u %s\n", static_cast<unsigned long long>(lease.epoch), key.second,
                  body.c_str());
      if (!send(fd_, kCommand,
                std::make_tuple(key.first, key.second, lease.epoch, ++lease.sequence, kName, kIncarnation,
                                false, body)))
        return false;
    }
    std::fflush(stdout);
    return true;
  }

  const std::string fleet_;
  int fd_ = -1;
  bool joined_ = false;
  std::string in_;
  std::map<Key, Lease> leases_;
  std::int64_t nextBeat_ = 0, nextReport_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGUSR1, [](int) { nonsense = 1; });
  Member member(argv[1]);
  for (int i = 0; i < 600; ++i) {  // a minute of dials at most
    const int fd = dial(std::atoi(argv[2 + i % (argc - 2)]));
    if (fd >= 0) {
      member.run(fd);
      ::close(fd);
    }
    ::usleep(100'000);
  }
}
