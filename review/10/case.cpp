// Discovery is down for some seconds, and as it returns a host begins to drain: nothing new may go to that
// host once the drain counts as told (6 s behind the return at the latest) and the grace is over.
#include <array>

#include "../stand-ins-2/peers.hpp"

namespace {

using namespace review;

constexpr int kRounds = 4;
constexpr std::size_t kGateways = 3;
constexpr double kOutage = 10;         // at least, in seconds
constexpr double kToldWithin = 6;      // behind the return of discovery
constexpr double kGrace = 0.5 + 0.05;  // and the 50 ms of the protocol page
constexpr double kWatched = 10;        // behind the return
constexpr double kLongestOutage = 20;

struct Drain {
  std::atomic<double> listedAt{0};  // discovery has it and can be reached; 0: not draining
  std::atomic<std::int64_t> version{0};
};

int play(const Case& here) {
  std::map<std::string, Drain> drains;
  std::atomic<int> late{0}, served{0};
  // One service; each gateway reaches it at an address of its own, so that it is known what each was told.
  std::array<Discovery, kGateways> discoveries;
  std::vector<std::unique_ptr<Host>> hosts;
  const auto answer = [&](Host& host, const Message& request, Socket& socket) {
    const double now = seconds();
    const std::string id = request.field("x-request-id");  // begins with the number of the gateway
    Drain& drain = drains[host.uid];
    if (drain.listedAt > 0) {
      const double written = discoveries[static_cast<std::size_t>(id.front() - '0')].writtenAt(drain.version);
      const double latest = drain.listedAt + kToldWithin;
      const double told = written > 0 ? std::min(written, latest) : latest;
      if (now > told + kGrace) {
        ++late;
        NOTE("host %s drains and gets %s: %.3f s behind the return, %.3f s after it counts as told",
             host.uid.c_str(), id.c_str(), now - drain.listedAt, now - told);
      }
    }
    pauseFor(0.03);
    ++served;
    return socket.write(answerText(200, id));
  };
  for (const char* const uid : {"s-b1", "s-b2", "s-b3", "s-b4", "s-c1", "s-c2", "s-c3", "s-c4"}) {
    drains[uid];
    hosts.push_back(std::make_unique<Host>(uid, uid[2] == 'b' ? "brasov" : "cluj", answer));
    for (Discovery& discovery : discoveries) discovery.set(*hosts.back());
  }
  std::array<int, kGateways> ports{};
  std::vector<std::unique_ptr<Process>> gateways;
  for (std::size_t i = 0; i < kGateways; ++i) {
    GatewayFile file;
    file.name = "n" + std::to_string(i);
    file.seed = "8c1f30d27a5be96" + std::to_string(i);
    file.count = kGateways;
    file.number = static_cast<int>(i);
    file.listen = ports[i] = freePort();
    file.discovery = discoveries[i].port();
    const std::string config = write(here.folder + "/" + file.name + ".json", file.text());
    gateways.push_back(std::make_unique<Process>(file.name, here.run,
                                                 std::map<std::string, std::string>{{"GW_CONFIG", config}},
                                                 here.folder + "/" + file.name + ".log"));
    waitUp(*gateways.back(), file.listen);
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < kGateways; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const std::string id = std::to_string(i) + "-" + std::to_string(n);
        ask(ports[i], requestText(n % 3 ? "stock-out" : "cut-plan", id, 1200), 1200);
        pauseFor(0.01);
      }
    });
  pauseFor(2);

  const auto failures = [&] {
    int sum = 0;
    for (const Discovery& discovery : discoveries) sum += discovery.failedCalls;
    return sum;
  };
  for (int round = 0; round < kRounds && late == 0; ++round) {
    if (here.trouble) {
      for (Discovery& discovery : discoveries) discovery.setDown(true);
      const double since = seconds();
      NOTE("discovery is down");
      while (seconds() - since < kOutage) pauseFor(0.005);
      const int before = failures();
      while (failures() == before && seconds() - since < kLongestOutage) pauseFor(0.005);
      NOTE("%d calls have failed in this and earlier outages, the last of them now", failures());
    }
    Host& host = *hosts[static_cast<std::size_t>(round)];
    host.state = "DRAINING";
    for (Discovery& discovery : discoveries) discovery.set(host);
    drains[host.uid].version = discoveries.front().version();
    for (Discovery& discovery : discoveries) discovery.setDown(false);
    drains[host.uid].listedAt = seconds();
    NOTE("%shost %s begins to drain", here.trouble ? "discovery is back, and " : "", host.uid.c_str());
    const double since = seconds();
    std::set<std::size_t> told;
    while (seconds() - since < (here.trouble ? kWatched : 3)) {
      pauseFor(0.01);
      for (std::size_t i = 0; i < kGateways; ++i) {
        const double written = discoveries[i].writtenAt(drains[host.uid].version);
        if (written > 0 && told.insert(i).second)
          NOTE("gateway n%zu is told by an answer, %.2f s behind the return", i, written - since);
      }
    }
  }
  stop = true;
  for (std::thread& client : clients) client.join();
  for (const auto& gateway : gateways)
    if (!gateway->isRunning()) cannotRun("a gateway has ended");
  if (served < 100) cannotRun("too few requests were served");
  NOTE("%d requests went to a draining host after its grace, of %d", late.load(), served.load());
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, play); }
