// The log on C raft.
#include "consensus/raft_log.hpp"

// Its headers include libuv's, which is C++ as well as C, and are themselves C only.
#include <uv.h>
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}

#include <boost/asio/post.hpp>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "common/callback_guard.hpp"
#include "consensus/uv_pump.hpp"

namespace cairnjunction::consensus {
namespace {

// Of a stop: so long the other keepers have to take over the lead.
constexpr std::chrono::milliseconds kHandOver{500};

// Danger: the library pads what it stores to eight bytes, and copies entries that it received as if they had
// been padded by whoever proposed them: with others it reads past their ends. So each has its length before
// it, and zeros behind it.
constexpr std::size_t kAlign = 8;

raft_buffer padded(std::string_view bytes) {
  const std::uint64_t size = bytes.size();
  const std::size_t whole = (sizeof size + bytes.size() + kAlign - 1) / kAlign * kAlign;
  raft_buffer buffer{raft_calloc(1, whole), whole};
  if (!buffer.base) throw std::bad_alloc();
  std::memcpy(buffer.base, &size, sizeof size);
  std::memcpy(static_cast<char*>(buffer.base) + sizeof size, bytes.data(), bytes.size());
  return buffer;
}

// Empty for what padded() did not make; the machine judges what it is given.
std::string_view unpadded(const raft_buffer& buffer) {
  std::uint64_t size = 0;
  if (buffer.len < sizeof size) return {};
  std::memcpy(&size, buffer.base, sizeof size);
  if (size > buffer.len - sizeof size) return {};
  return {static_cast<const char*>(buffer.base) + sizeof size, static_cast<std::size_t>(size)};
}

// The first entry of the log names all keepers with an address, and must be the same at each; where each
// reaches the others is its own matter, so this one only has an address's form.
std::string nameOnTheLog(int number) { return "127.0.0.1:" + std::to_string(number); }

struct Proposal {
  struct raft_apply request {};
  ReplicatedLog::Done done;
};

// The library takes the transport's `data` for itself.
struct Transport : raft_uv_transport {
  int (*connectAt)(raft_uv_transport*, raft_uv_connect*, raft_id, const char*, raft_uv_connect_cb) = nullptr;
  const std::map<int, std::string>* keepers = nullptr;
};

}  // namespace

struct RaftLog::State {
  boost::asio::io_context& io;
  StateMachine& machine;
  const RaftOptions options;
  UvPump pump;
  Transport transport{};
  raft_io disk{};
  raft_fsm fsm{};
  raft raft_{};
  struct raft_barrier barrier {};
  struct raft_transfer transfer {};
  std::function<void()> changed, stopped;
  boost::asio::steady_timer handOver;
  bool leading = false;   // by the library,
  bool caughtUp = false;  // and the machine has applied all before
  bool asked = false;     // for the barrier
  bool stopping = false, closing = false, closed = false;
  std::string broken;  // the machine could not take a snapshot
  CallbackGuard lifetime;

  State(boost::asio::io_context& loop, const RaftOptions& o, StateMachine& m)
      : io(loop), machine(m), options(o), pump(loop, [this] { watch(); }), handOver(loop) {
    try {
      start();
    } catch (...) {
      if (!closed) close();
      pump.finish();
      throw;
    }
  }

  ~State() {
    if (!closing) close();
    pump.finish();
    raft_uv_close(&disk);
    raft_uv_tcp_close(&transport);
  }

  [[noreturn]] void failed(const char* what, int code) {
    throw LogError(options.folder + ": " + what + ": " + raft_strerror(code) +
                   (*raft_errmsg(&raft_) ? std::string(": ") + raft_errmsg(&raft_) : std::string()));
  }

  void start() {
    closed = closing = true;  // until there is something to close
    if (const int bad = raft_uv_tcp_init(&transport, pump.loop())) failed("links", bad);
    if (const int bad = raft_uv_tcp_set_bind_address(&transport, options.listen.c_str()))
      failed("listen", bad);
    // Each keeper may reach the others at addresses of its own, whatever the log's configuration says.
    transport.keepers = &options.voters;
    transport.connectAt = std::exchange(transport.connect, [](raft_uv_transport* t, raft_uv_connect* request,
                                                              raft_id id, const char* address,
                                                              raft_uv_connect_cb done) {
      const Transport& self = *static_cast<Transport*>(t);
      const auto own = self.keepers->find(static_cast<int>(id));
      return self.connectAt(t, request, id, own == self.keepers->end() ? address : own->second.c_str(), done);
    });
    if (const int bad = raft_uv_init(&disk, pump.loop(), options.folder.c_str(), &transport))
      failed("folder", bad);
    raft_uv_set_segment_size(&disk, options.segmentBytes);
    raft_uv_set_connect_retry_delay(&disk, 200);
    // Danger: by default the library moves what it can't read out of the way, and goes on to vote without it.
    raft_uv_set_auto_recovery(&disk, false);
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* buffer, void**) {
      self(f).machine.apply(unpadded(*buffer));
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer** buffers, unsigned* count) {
      *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      if (!*buffers) return RAFT_NOMEM;
      **buffers = padded(self(f).machine.snapshot());
      *count = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* buffer) {
      try {
        self(f).machine.restore(unpadded(*buffer));
      } catch (const std::invalid_argument& bad) {
        self(f).broken = bad.what();
        return RAFT_CORRUPT;
      }
      raft_free(buffer->base);  // ours once it is taken
      return 0;
    };
    const std::string own = nameOnTheLog(options.number);
    if (const int bad = raft_init(&raft_, &disk, &fsm, static_cast<raft_id>(options.number), own.c_str()))
      failed("not begun", bad);
    closed = closing = false;
    raft_set_election_timeout(&raft_, static_cast<unsigned>(options.electionTimeout.count()));
    raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(options.heartbeatInterval.count()));
    raft_set_snapshot_threshold(&raft_, options.snapshotThreshold);
    raft_set_snapshot_trailing(&raft_, options.snapshotTrailing);
    raft_set_pre_vote(&raft_, true);
    raft_configuration voters;
    raft_configuration_init(&voters);
    int bad = 0;
    for (const auto& [number, at] : options.voters)
      if (!bad)
        bad = raft_configuration_add(&voters, static_cast<raft_id>(number), nameOnTheLog(number).c_str(),
                                     RAFT_VOTER);
    if (!bad) bad = raft_bootstrap(&raft_, &voters);
    raft_configuration_close(&voters);
    if (bad && bad != RAFT_CANTBOOTSTRAP) failed("not set up", bad);
    bad = raft_start(&raft_);
    if (!broken.empty()) throw LogError(options.folder + ": snapshot: " + broken);
    if (bad) failed("not started", bad);
    pump.touch();
  }

  static State& self(raft_fsm* f) { return *static_cast<State*>(f->data); }

  // After each turn of the library: it does not tell when it begins or ceases to lead.
  void watch() {
    if (closing) return;
    const bool now = raft_state(&raft_) == RAFT_LEADER;
    if (now && !leading) asked = false;
    if (!now && leading) {
      leading = false;
      if (std::exchange(caughtUp, false) && changed) changed();
    }
    leading = now;
    if (leading && !asked) {
      barrier.data = this;
      asked = raft_barrier(&raft_, &barrier, [](struct raft_barrier* request, int status) {
                State& s = *static_cast<State*>(request->data);
                s.caughtUp = status == 0;
                if (s.caughtUp && s.changed) boost::asio::post(s.io, s.lifetime.guard([&s] { s.changed(); }));
              }) == 0;
      pump.touch();
    }
    if (stopping && !leading && stopped) finishStop();
  }

  void close() {
    closing = true;
    raft_.data = this;
    raft_close(&raft_, [](raft* r) {
      State& s = *static_cast<State*>(r->data);
      s.closed = true;
      if (s.stopped) boost::asio::post(s.io, std::exchange(s.stopped, nullptr));
    });
    pump.touch();
  }

  void finishStop() {
    handOver.cancel();
    close();
  }
};

RaftLog::RaftLog(boost::asio::io_context& io, const RaftOptions& options, StateMachine& machine)
    : state_(std::make_unique<State>(io, options, machine)) {}

RaftLog::~RaftLog() = default;

bool RaftLog::isLeader() const { return state_->caughtUp && !state_->stopping; }

int RaftLog::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&state_->raft_, &id, &address);
  return static_cast<int>(id);
}

void RaftLog::onLeadershipChange(std::function<void()> changed) { state_->changed = std::move(changed); }

void RaftLog::propose(std::string entry, Done done) {
  if (!isLeader() || entry.size() > kEntryMost) return done(false);
  auto proposal = std::make_unique<Proposal>();
  proposal->done = std::move(done);
  proposal->request.data = proposal.get();
  raft_buffer buffer = padded(entry);
  const int bad = raft_apply(&state_->raft_, &proposal->request, &buffer, 1,
                             [](struct raft_apply* request, int status, void*) {
                               const std::unique_ptr<Proposal> own(static_cast<Proposal*>(request->data));
                               own->done(status == 0);
                             });
  state_->pump.touch();
  if (bad) {
    raft_free(buffer.base);
    return proposal->done(false);
  }
  (void)proposal.release();  // the library holds it until its callback
}

void RaftLog::stop(std::function<void()> done) {
  State& s = *state_;
  if (s.stopping) return;
  s.stopping = true;
  s.stopped = std::move(done);
  if (std::exchange(s.caughtUp, false) && s.changed) s.changed();
  if (!s.leading || raft_transfer(&s.raft_, &s.transfer, 0, nullptr) != 0) return s.finishStop();
  s.pump.touch();
  s.handOver.expires_after(kHandOver);
  s.handOver.async_wait(s.lifetime.guard([&s](boost::system::error_code ec) {
    if (!ec && !s.closing) s.finishStop();
  }));
}

}  // namespace cairnjunction::consensus
