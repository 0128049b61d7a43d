// One run of an experiment.
#include "lab/run.hpp"

#include <signal.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet/boot_clock.hpp"
#include "fleet/event_names.hpp"
#include "lab/ledgers.hpp"
#include "standins/gateway_config.hpp"

namespace cairnjunction::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kReady{30'000};
constexpr standins::GatewayClasses kClasses{{400, 400, 400}};

std::string text(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

bool isEvent(const json& line, fleet::Event event) {
  return line.at("event").get_ref<const std::string&>() == fleet::nameOf(event);
}

std::int64_t bootMs() { return fleet::bootTime().time_since_epoch().count(); }

}  // namespace

Run::Run(boost::asio::io_context& io, const Experiment& experiment, const RunOptions& options)
    : io_(io), experiment_(experiment), options_(options), nextPort_(options.portBase) {
  std::filesystem::create_directories(options.folder);
  if (!std::filesystem::is_empty(options.folder)) throw CouldNotRun(options.folder + ": not empty");
  faults_.open(options.folder + "/faults.jsonl");
  hosts_.open(options.folder + "/hosts.jsonl");
}

Run::~Run() {
  for (auto& [name, node] : nodes_)
    if (node.process) node.process->signal(SIGCONT);
}

// --- Ports and links --------------------------------------------------------------------------------------

std::uint16_t Run::port() {
  for (; nextPort_ < 32000; ++nextPort_) {
    error_code ec;
    tcp::acceptor probe(io_);
    probe.open(tcp::v4());
    probe.set_option(tcp::acceptor::reuse_address(true));  // TIME_WAIT counts as free
    probe.bind({boost::asio::ip::make_address("127.0.0.1"), nextPort_}, ec);
    if (!ec) return nextPort_++;
  }
  throw CouldNotRun("no free port is left");
}

Proxy* Run::link(std::uint16_t target, std::uint16_t& at) {
  at = port();
  proxies_.push_back(std::make_unique<Proxy>(io_, at, target));
  return proxies_.back().get();
}

// --- Processes --------------------------------------------------------------------------------------------

void Run::writeFiles() {
  const std::string& dir = options_.folder;
  discoveryPort_ = port();
  for (int i = 0; i < experiment_.workers; ++i) {
    const std::uint16_t at = port();
    if (i == 0) workerPort_ = at;
    else if (at != workerPort_ + i) throw CouldNotRun("the workers need ports one after the other");
  }
  for (int i = 0; i < experiment_.workers; ++i) {
    std::uint16_t at = 0;
    Node& node = nodes_["w" + std::to_string(i)];
    node.name = "w" + std::to_string(i);
    node.in.push_back(link(static_cast<std::uint16_t>(workerPort_ + i), at));
    workerLinks_.push_back(at);
  }
  struct KeeperPorts {
    std::uint16_t address, raft;
  };
  std::vector<KeeperPorts> keepers;
  for (int i = 0; i < experiment_.keepers && experiment_.fleet; ++i) keepers.push_back({port(), port()});
  const auto fleetFile = [&](const std::string& extra, const std::function<KeeperPorts(std::size_t)>& seen) {
    std::string t = "fleet = \"lab\"\nmembers = " + std::to_string(experiment_.gateways) +
                    "\nbeat_ms = " + std::to_string(experiment_.beatMs) +
                    "\nalone_after_ms = " + std::to_string(experiment_.aloneMs) +
                    "\nsettle_ms = " + std::to_string(experiment_.settleMs) +
                    "\nelection_ms = " + std::to_string(experiment_.electionMs) + "\n";
    for (std::size_t k = 0; k < keepers.size(); ++k) {
      const KeeperPorts at = seen(k);
      t += "[[keeper]]\nnumber = " + std::to_string(k + 1) + "\naddress = \"" + text(at.address) +
           "\"\nraft = \"" + text(at.raft) + "\"\n";
    }
    const std::string lease = "\nlease_ms = " + std::to_string(experiment_.leaseMs) + "\n";
    t += "[[duty]]\nname = \"list\"" + lease + "heirs = \"list-standby\"\n";
    t += "[[duty]]\nname = \"list-standby\"" + lease + "apart_from = \"list\"\n";
    if (experiment_.probing)
      t +=
          "[[duty]]\nname = \"probe\"" + lease + "shards = " + std::to_string(experiment_.probeShards) + "\n";
    return t + extra;
  };
  for (std::size_t k = 0; k < keepers.size(); ++k) {
    const std::string name = "k" + std::to_string(k + 1);
    Node& node = nodes_[name];
    node.name = name;
    node.port = keepers[k].address;
    const std::string file = fleetFile("", [&](std::size_t other) {
      if (other == k) return keepers[k];
      KeeperPorts at{};
      Proxy* address = link(keepers[other].address, at.address);
      Proxy* raft = link(keepers[other].raft, at.raft);
      for (Proxy* p : {address, raft}) {
        node.out.push_back(p);
        nodes_["k" + std::to_string(other + 1)].in.push_back(p);
      }
      return at;
    });
    std::ofstream(dir + "/" + name + ".toml") << file;
    std::filesystem::create_directory(dir + "/" + name);
    node.words = {dir + "/" + name + ".toml",
                  "--number",
                  std::to_string(k + 1),
                  "--dir",
                  dir + "/" + name,
                  "--log",
                  dir + "/" + name + ".jsonl",
                  "--snapshot-every",
                  "128"};
  }
  for (int g = 0; g < experiment_.gateways; ++g) {
    const std::string name = "n" + std::to_string(g);
    Node& node = nodes_[name];
    node.name = name;
    node.port = port();
    node.door = port();
    std::uint16_t discovery = 0;
    node.out.push_back(link(discoveryPort_, discovery));
    json config = standins::gatewayConfig(name, text(node.port), text(discovery), kClasses);
    config["mgmt"] = text(node.door);
    std::ofstream(dir + "/" + name + ".config") << config.dump(1);
    node.words = {"--config", dir + "/" + name + ".config"};
    if (!experiment_.fleet) continue;
    std::string extra = "[member]\nlog = \"" + dir + "/" + name + ".jsonl\"\n";
    if (experiment_.disks) {
      std::filesystem::create_directory(dir + "/" + name);
      extra += "disk = \"" + dir + "/" + name + "\"\n";
    }
    std::ofstream(dir + "/" + name + ".toml") << fleetFile(extra, [&](std::size_t k) {
      KeeperPorts at{0, keepers[k].raft};
      Proxy* p = link(keepers[k].address, at.address);
      fleetLinks_.push_back(p);
      node.keepers.push_back(p);
      node.out.push_back(p);
      nodes_["k" + std::to_string(k + 1)].in.push_back(p);
      return at;
    });
    node.words.insert(node.words.end(), {"--fleet", dir + "/" + name + ".toml"});
  }
}

void Run::start(Node& node, const std::string& program) {
  const std::string clock = options_.folder + "/" + node.name + ".clock";
  std::ofstream(clock, std::ios::binary).write("\0\0\0\0\0\0\0\0", 8);
  node.process = std::make_unique<Process>(
      options_.programs + "/" + program, node.words, options_.folder + "/" + node.name + ".out", false,
      std::vector<std::string>{"LD_PRELOAD=" + options_.programs + "/libcairnjunction-clock.so",
                               "LAB_CLOCK=" + clock,
                               // The clock comes before ASan's runtime, which ASan would reject.
                               "ASAN_OPTIONS=verify_asan_link_order=0"});
}

void Run::restart(Node& node) {
  if (over_) return;
  node.process.reset();
  start(node, node.name.front() == 'k' ? "cairnjunction-coordinator" : "cairnjunction");
}

bool Run::until(milliseconds most, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io_.restart();
    io_.run_for(milliseconds(20));
  }
  return true;
}

bool Run::listening(std::uint16_t at) {
  tcp::socket socket(io_);
  error_code ec;
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), at}, ec);
  return !ec;
}

void Run::startAll() {
  writeFiles();
  const std::string& dir = options_.folder;
  discovery_ = std::make_unique<Process>(options_.programs + "/cairnjunction-discovery",
                                         std::vector<std::string>{"--listen", text(discoveryPort_)},
                                         dir + "/discovery.out", true);
  workers_ = std::make_unique<Process>(
      options_.programs + "/cairnjunction-worker",
      std::vector<std::string>{"--port", std::to_string(workerPort_), "--count",
                               std::to_string(experiment_.workers), "--work-least", "2", "--work-most", "8",
                               "--slots", "16", "--seed", std::to_string(options_.seed), "--ledger",
                               dir + "/workers.txt"},
      dir + "/workers.out");
  for (int i = 0; i < experiment_.workers; ++i) change({0, i, "SERVING"});
  for (auto& [name, node] : nodes_)
    if (name.front() == 'k') start(node, "cairnjunction-coordinator");
  if (experiment_.fleet && !until(kReady, [&] { return !leader().empty(); }))
    throw CouldNotRun("the keepers chose no leader (see k1.jsonl and k1.out)");
  for (auto& [name, node] : nodes_)
    if (name.front() == 'n') start(node, "cairnjunction");
  const bool ready = until(kReady, [&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](auto& entry) {
      if (entry.second.process && !entry.second.process->running())
        throw CouldNotRun(entry.first + " ended at its start (see its .out)");
      return entry.first.front() != 'n' || listening(entry.second.port);
    });
  });
  if (!ready) throw CouldNotRun("not all gateways listen");
  // Every task has a lease holder, and all members the endpoint list, before load and faults begin.
  const auto told = [&](auto& entry) {
    const auto lines = journalOf(entry.first);
    return entry.first.front() != 'n' || std::any_of(lines.begin(), lines.end(), [](const json& line) {
             return isEvent(line, fleet::Event::listAccepted) || isEvent(line, fleet::Event::listReceived);
           });
  };
  if (experiment_.fleet && !until(kReady, [&] {
        return !ownerOf("list").empty() && std::all_of(nodes_.begin(), nodes_.end(), told);
      }))
    throw CouldNotRun("not all gateways were told a list");
}

// --- Targets of faults ------------------------------------------------------------------------------------

std::vector<json> Run::journalOf(const std::string& name) const {
  return readJournal(options_.folder + "/" + name + ".jsonl");
}

// The lease holder by the members' own lines: the one that began the highest epoch and has not ended it.
std::string Run::ownerOf(const std::string& duty) const {
  std::string owner;
  std::uint64_t highest = 0;
  for (const auto& [name, node] : nodes_) {
    if (name.front() != 'n') continue;
    std::map<std::uint64_t, std::uint64_t> begun;  // by shard
    for (const json& line : journalOf(name)) {
      if (line.value("duty", "") != duty) continue;
      if (isEvent(line, fleet::Event::leaseAcquired)) begun[line["shard"]] = line["epoch"];
      if (isEvent(line, fleet::Event::leaseEnded)) begun.erase(line["shard"].get<std::uint64_t>());
    }
    for (const auto& [shard, epoch] : begun)
      if (epoch > highest) owner = name, highest = epoch;
  }
  return owner;
}

std::string Run::leader() const {
  std::string leader;
  std::int64_t last = -1;
  for (const auto& [name, node] : nodes_) {
    if (name.front() != 'k') continue;
    for (const json& line : journalOf(name)) {
      if (isEvent(line, fleet::Event::leadershipAcquired) && line["boot_ms"].get<std::int64_t>() > last)
        leader = name, last = line["boot_ms"];
      if (isEvent(line, fleet::Event::leadershipLost) && leader == name) leader.clear();
    }
  }
  return leader;
}

std::vector<Run::Node*> Run::whom(const std::string& words) {
  std::vector<Node*> found;
  const auto add = [&](const std::string& name) {
    const auto it = nodes_.find(name);
    if (it != nodes_.end()) found.push_back(&it->second);
  };
  const std::size_t colon = words.find(':');
  const std::string kind = words.substr(0, colon),
                    rest = colon == std::string::npos ? "" : words.substr(colon + 1);
  if (kind == "owner") add(ownerOf(rest));
  else if (kind == "leader") add(leader());
  else if (kind == "gateway") add("n" + rest);
  else if (kind == "worker") add("w" + rest);
  else if (kind == "keeper") add("k" + rest);
  else if (kind == "keepers" || kind == "majority") {
    const int n = kind == "keepers" ? experiment_.keepers : experiment_.keepers / 2 + 1;
    for (int i = 1; i <= n; ++i) add("k" + std::to_string(i));
  } else if (kind == "gateways") {  // the first share of them, in per cent
    for (int i = 0; i < experiment_.gateways * std::stoi(rest) / 100; ++i) add("n" + std::to_string(i));
  } else {
    throw CouldNotRun("a fault on '" + words + "': nobody is called that");
  }
  return found;
}

// --- Faults --------------------------------------------------------------------------------------------

void Run::at(std::int64_t ms, std::function<void()> what) {
  timers_.push_back(std::make_unique<boost::asio::steady_timer>(io_, began_ + milliseconds(ms)));
  timers_.back()->async_wait([what = std::move(what)](error_code ec) {
    if (!ec) what();
  });
}

void Run::inject(const Fault& fault) {
  for (Node* node : whom(fault.whom)) {
    const std::int64_t now = bootMs();
    faults_ << json{{"kind", nameOf(fault.kind)},
                    {"whom", fault.whom},
                    {"process", node->name},
                    {"begin_ms", now},
                    {"end_ms", now + fault.forMs}}
                   .dump()
            << '\n'
            << std::flush;
    begin(fault, *node);
    at(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began_).count() +
           fault.forMs,
       [this, fault, node] { end(fault, *node); });
  }
}

void Run::setHolds(Node& node) {
  const auto any = [&](auto which) { return std::any_of(node.held.begin(), node.held.end(), which); };
  const bool out = any([](const auto& h) { return h.out && !h.keepersOnly; });
  const bool in = any([](const auto& h) { return h.in && !h.keepersOnly; });
  const bool sent = any([](const auto& h) { return h.out; });
  // A link that is released only for a moment delivers all that it held back. So the state that follows from
  // all current faults is computed first, and then set once on each link.
  for (Proxy* p : node.out) {
    const bool toKeeper = std::count(node.keepers.begin(), node.keepers.end(), p) > 0;
    p->hold(toKeeper ? sent : out, in);
  }
  for (Proxy* p : node.in) p->hold(in, out);
}

// The process has mapped the file's first eight bytes (clock_preload.cpp).
void Run::stepClock(const Node& node, std::int64_t ms) const {
  std::fstream file(options_.folder + "/" + node.name + ".clock",
                    std::ios::in | std::ios::out | std::ios::binary);
  file.write(reinterpret_cast<const char*>(&ms), sizeof ms);
}

void Run::begin(const Fault& fault, Node& node) {
  const bool ofLinks = fault.kind == FaultKind::cut || fault.kind == FaultKind::hold ||
                       fault.kind == FaultKind::hearsNone || fault.kind == FaultKind::delay ||
                       fault.kind == FaultKind::reset || fault.kind == FaultKind::refuse;
  if (!node.process && !ofLinks)
    throw CouldNotRun("a worker's link can be cut, not " + std::string(nameOf(fault.kind)));
  switch (fault.kind) {
    case FaultKind::kill: node.process->signal(SIGKILL); break;
    case FaultKind::stop: node.process->signal(SIGSTOP); break;
    case FaultKind::term: node.process->signal(SIGTERM); break;
    case FaultKind::cut:
    case FaultKind::hold: node.held.push_back({true, true, false}); break;
    case FaultKind::hearsNone: node.held.push_back({false, true, false}); break;
    case FaultKind::holdSent: node.held.push_back({true, false, true}); break;
    case FaultKind::refuse:
      for (Proxy* p : node.in) p->refuse(true);
      break;
    case FaultKind::clockStep: stepClock(node, fault.ms); break;
    case FaultKind::delay: node.eachLink([&](Proxy& link) { link.delay(milliseconds(fault.ms)); }); break;
    case FaultKind::reset: node.eachLink([](Proxy& link) { link.reset(); }); break;
    case FaultKind::diskFull: node.process->limitFiles(true); break;
  }
  setHolds(node);
}

void Run::end(const Fault& fault, Node& node) {
  const auto release = [&node](bool out, bool in, bool keepersOnly) {
    const auto it = std::find_if(node.held.begin(), node.held.end(), [&](const auto& h) {
      return h.out == out && h.in == in && h.keepersOnly == keepersOnly;
    });
    if (it != node.held.end()) node.held.erase(it);
  };
  switch (fault.kind) {
    case FaultKind::kill:
    case FaultKind::term: restart(node); break;
    case FaultKind::stop: node.process->signal(SIGCONT); break;
    case FaultKind::cut:
      release(true, true, false);
      node.eachLink([](Proxy& link) { link.reset(); });
      break;
    case FaultKind::hold: release(true, true, false); break;
    case FaultKind::hearsNone: release(false, true, false); break;
    case FaultKind::holdSent: release(true, false, true); break;
    case FaultKind::refuse:
      for (Proxy* p : node.in) p->refuse(false);
      break;
    case FaultKind::clockStep: stepClock(node, 0); break;
    case FaultKind::delay: node.eachLink([](Proxy& link) { link.delay(milliseconds(0)); }); break;
    case FaultKind::reset: break;
    case FaultKind::diskFull:
      node.process->limitFiles(false);
      if (!node.process->running()) restart(node);  // a coordinator that can't write its log ends
      break;
  }
  setHolds(node);
}

void Run::change(const HostChange& change) {
  const std::uint16_t at = workerLinks_.at(static_cast<std::size_t>(change.worker));
  discovery_->say("w" + std::to_string(change.worker) + " " + text(at) + " brasov " + change.state);
  ++version_;
  hosts_ << json{{"ms", bootMs()},
                 {"version", version_},
                 {"port", workerPort_ + change.worker},
                 {"state", change.state}}
                .dump()
         << '\n'
         << std::flush;
}

// --- The run -------------------------------------------------------------------------------------------

// Sum of the fleet's figures over all gateways that respond.
std::map<std::string, std::uint64_t> Run::doorFigures() {
  std::map<std::string, std::uint64_t> sums;
  for (auto& [name, node] : nodes_) {
    if (name.front() != 'n' || !node.process->running()) continue;
    tcp::socket socket(io_);
    error_code ec;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), node.door}, ec);
    if (ec) continue;
    boost::asio::write(socket, boost::asio::buffer(std::string("vars\n")), ec);
    std::string all;
    boost::asio::read(socket, boost::asio::dynamic_buffer(all), ec);
    std::istringstream lines(all);
    for (std::string line; std::getline(lines, line);) {
      const std::size_t at = line.find("fleet."), equals = line.find('=');
      if (at != std::string::npos && equals != std::string::npos)
        sums[line.substr(at, equals - at)] += std::stoull(line.substr(equals + 1));
    }
  }
  return sums;
}

std::int64_t Run::gatewayCpuMs() const {
  std::int64_t ms = 0;
  for (const auto& [name, node] : nodes_)
    if (name.front() == 'n' && node.process) ms += node.process->cpuMs();
  return ms;
}

std::uint64_t Run::linkBytes() const {
  std::uint64_t bytes = 0;
  for (const Proxy* p : fleetLinks_) bytes += p->bytes();
  return bytes;
}

void Run::play() {
  startAll();
  std::vector<std::uint16_t> gateways;
  for (int g = 0; g < experiment_.gateways; ++g) gateways.push_back(nodes_["n" + std::to_string(g)].port);
  load_ = std::make_unique<Load>(io_, gateways, experiment_.rate, options_.seed,
                                 options_.folder + "/clients.jsonl",
                                 milliseconds(kClasses.kGiveUpMs[1] + options_.lateMs + 500));
  began_ = std::chrono::steady_clock::now();
  const std::int64_t beginMs = bootMs();
  const std::uint64_t bytesBefore = linkBytes();
  const std::int64_t cpuBefore = gatewayCpuMs();
  for (const Fault& fault : experiment_.faults) at(fault.atMs, [this, fault] { inject(fault); });
  for (const HostChange& c : experiment_.changes) at(c.atMs, [this, c] { change(c); });
  load_->start();
  until(milliseconds(experiment_.seconds * 1000), [] { return false; });
  const double bytesASecond = static_cast<double>(linkBytes() - bytesBefore) / experiment_.seconds;
  const std::int64_t cpuMs = gatewayCpuMs() - cpuBefore;
  load_->stop();
  until(milliseconds(kClasses.kGiveUpMs[1] + options_.lateMs + 2000), [&] { return load_->idle(); });
  json run = {{"experiment", experiment_.name},
              {"seed", options_.seed},
              {"begin_ms", beginMs},
              {"end_ms", bootMs()},
              {"give_up_ms", json::object()},
              {"expect_refused", experiment_.expectRefused},
              {"late_ms", options_.lateMs},
              {"alive", json::array()},
              {"measured", {{"fleet_bytes_a_second", bytesASecond}, {"gateways_cpu_ms", cpuMs}}}};
  for (std::size_t i = 0; i < 3; ++i) run["give_up_ms"][kClasses.kNames[i]] = kClasses.kGiveUpMs[i];
  for (auto& [name, node] : nodes_)
    if (name.front() == 'n' && node.process->running()) run["alive"].push_back(name);
  for (const auto& [name, sum] : doorFigures()) run["measured"][name] = sum;
  finish();
  std::ifstream out(options_.folder + "/discovery.out");
  std::string word;
  while (out >> word)
    if (word == "calls" && out >> word) run["measured"]["discovery_calls"] = std::stoull(word);
  std::ofstream(options_.folder + "/run.json") << run.dump(1) << '\n';
}

void Run::finish() {
  over_ = true;
  timers_.clear();
  for (auto& [name, node] : nodes_)
    if (node.process) {
      node.process->signal(SIGCONT);
      node.process->signal(SIGTERM);
    }
  until(milliseconds(4000), [&] {
    return std::none_of(nodes_.begin(), nodes_.end(),
                        [](auto& entry) { return entry.second.process && entry.second.process->running(); });
  });
  for (auto& [name, node] : nodes_) node.process.reset();
  for (Process* p : {discovery_.get(), workers_.get()}) {
    p->signal(SIGTERM);
    p->wait();
  }
  load_.reset();
}

}  // namespace cairnjunction::lab
