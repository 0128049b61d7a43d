// Keyed requests whose first attempt has run and whose second is turned away: the answer must be no refusal.
#include "../stand-ins-2/peers.hpp"

namespace {

using namespace review;

constexpr int kRequests = 20;
constexpr double kWork = 0.04;    // of a host, in seconds
constexpr double kHang = 0.8;     // of a host, within its answer
constexpr double kMemory = 2.0;   // for so long the hosts of a zone drop the repeat of a key
constexpr double kBackoff = 0.1;  // of a client, before it sends a refused request again

struct Run {
  std::string host, zone;
  double at;
};

// What the hosts know together: the attempts of each id, and what has run for each key.
struct Ledger {
  std::mutex mutex;
  std::map<std::string, int> attempts;
  std::map<std::string, std::vector<Run>> runs;

  int countAttempt(const std::string& id) {
    const std::lock_guard lock(mutex);
    return attempts[id]++;
  }
  // Returns false for a repeat that the zone drops.
  bool run(const Host& host, const std::string& key) {
    const std::lock_guard lock(mutex);
    std::vector<Run>& before = runs[key];
    for (const Run& each : before)
      if (each.zone == host.zone && seconds() - each.at < kMemory) return false;
    before.push_back({host.uid, host.zone, seconds()});
    return true;
  }
  std::size_t timesRun(const std::string& key) {
    const std::lock_guard lock(mutex);
    return runs[key].size();
  }
};

// The answer of a host to one request. With trouble, of a request "t...": its first attempt runs, and its
// connection is reset; the next one is turned away, and the host hangs within that answer.
bool answer(Ledger& ledger, bool trouble, Host& host, const Message& request, Socket& socket) {
  const std::string id = request.field("x-request-id"), key = request.field("idempotency-key");
  const int attempt = ledger.countAttempt(id);
  const bool troubled = trouble && id.front() == 't';
  if (troubled && attempt > 0) {
    NOTE("host %s (%s) turns %s of %s away and hangs within its answer", host.uid.c_str(), host.zone.c_str(),
         key.c_str(), id.c_str());
    socket.write("HTTP/1.1 503 Service Unavailable\r\n");
    for (double until = seconds() + kHang; seconds() < until && !host.stopping();) pauseFor(0.01);
    return socket.write(kNotRun + "Content-Length: 0\r\n\r\n");
  }
  pauseFor(kWork);
  if (!key.empty()) {
    const bool ran = ledger.run(host, key);
    NOTE("host %s (%s) %s %s of %s", host.uid.c_str(), host.zone.c_str(), ran ? "ran" : "dropped the repeat",
         key.c_str(), id.c_str());
  }
  if (troubled) {
    NOTE("the connection of %s is reset", id.c_str());
    socket.reset();
    return false;
  }
  return socket.write(answerText(200, id));
}

int play(const Case& here) {
  Ledger ledger;
  Discovery discovery;
  std::vector<std::unique_ptr<Host>> hosts;
  for (const char* const uid : {"s-b1", "s-b2", "s-b3", "s-c1", "s-c2", "s-c3"}) {
    hosts.push_back(std::make_unique<Host>(uid, uid[2] == 'b' ? "brasov" : "cluj",
                                           [&](Host& host, const Message& request, Socket& socket) {
                                             return answer(ledger, here.trouble, host, request, socket);
                                           }));
    discovery.set(*hosts.back());
  }
  GatewayFile file;
  file.listen = freePort();
  file.discovery = discovery.port();
  const std::string config = write(here.folder + "/config.json", file.text());
  Process gateway("gateway", here.run, {{"GW_CONFIG", config}}, here.folder + "/gateway.log");
  waitUp(gateway, file.listen);

  // The usual traffic beside it.
  std::atomic<bool> stop{false};
  std::thread usual([&] {
    for (int i = 0; !stop; ++i) {
      ask(file.listen, requestText(i % 2 ? "cut-plan" : "stock-out", "u" + std::to_string(i), 1200), 1200);
      pauseFor(0.02);
    }
  });
  pauseFor(2);

  std::atomic<int> broken{0}, twice{0}, answered{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      const std::string key = "k" + std::to_string(i), id = "t" + std::to_string(i);
      NOTE("client sends %s (key %s)", id.c_str(), key.c_str());
      const Reply reply = ask(file.listen, requestText("log-in", id, 1000, key, "{}"), 1000);
      const bool ran = ledger.timesRun(key) > 0;
      NOTE("client has %d for %s, which has %s", reply.status, id.c_str(), ran ? "run" : "not run");
      if (reply.status != 0) ++answered;
      if (reply.status != 503 && reply.status != 429) return;
      if (ran) ++broken;
      // A refusal says that this does no harm.
      pauseFor(kBackoff);
      const Reply again =
          ask(file.listen, requestText("log-in", "r" + std::to_string(i), 900, key, "{}"), 900);
      const std::size_t times = ledger.timesRun(key);
      NOTE("client sends the refused %s again and has %d: it has run %zu times", key.c_str(), again.status,
           times);
      if (times > 1) ++twice;
    });
    pauseFor(0.3);
  }
  for (std::thread& client : clients) client.join();
  stop = true;
  usual.join();
  if (!gateway.isRunning()) cannotRun("the gateway has ended");
  if (answered < kRequests / 2) cannotRun("too few requests were answered");
  NOTE("of %d keyed requests %d had run and were refused; %d of these ran twice", kRequests, broken.load(),
       twice.load());
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return review::runCase(argc, argv, play); }
