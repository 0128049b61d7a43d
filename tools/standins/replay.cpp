// A client that replays a burst of JSON-RPC calls and counts the answers by id.
#include "standins/replay.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace cairnjunction::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kRefused = -32001, kFailed = -32002;  // of the gateway
constexpr auto kAgain = std::chrono::milliseconds(20);

}  // namespace

struct Replay::State {
  asio::io_context& io;
  ReplayOptions options;
  std::function<void()> done;
  ReplayReport report;
  std::mt19937_64 random;
  std::size_t left = 0, playing = 0;
  Clock::time_point began;
  asio::steady_timer limit;
  std::vector<std::shared_ptr<Player>> players;
  bool over = false;

  State(asio::io_context& i, const ReplayOptions& o, std::function<void()> d)
      : io(i), options(o), done(std::move(d)), random(o.seed), limit(i) {}
  std::uint64_t below(std::uint64_t n) { return random() % n; }
  void finish();
};

// One connection after the other, with one text open at a time.
class Replay::Player : public std::enable_shared_from_this<Player> {
 public:
  Player(State& state, std::size_t number)
      : state_(&state), number_(number), socket_(state.io), timer_(state.io) {}

  void connect() {
    if (state_->over) return;
    socket_ = tcp::socket(state_->io);
    in_.clear();
    ++generation_;
    dropAtReply_ = false;
    socket_.async_connect(state_->options.to, [self = shared_from_this()](error_code ec) {
      if (self->state_->over) return;
      if (ec) return self->again();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->read(self->generation_);
      if (!self->state_->options.sessions) return self->go();
      json open = {{"jsonrpc", "2.0"},
                   {"id", "s"},
                   {"method", "rpc.session"},
                   {"params", {{"name", self->session()}, {"resume", self->opened_}}}};
      self->send(open.dump() + "\n");
    });
  }
  void stop() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }
  std::size_t open() const { return open_.size(); }

 private:
  struct Asked {
    json text;
    Clock::time_point at;
  };

  std::string session() const {
    return "replay-" + std::to_string(state_->options.seed) + "-session-" + std::to_string(number_);
  }

  void again() {
    timer_.expires_after(kAgain);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->connect();
    });
  }

  void go() {
    if (state_->over) return;
    if (!open_.empty()) {  // what was not answered before the drop
      std::vector<json> texts;
      for (const auto& [id, asked] : open_) texts.push_back(asked.text);
      state_->report.repeats += texts.size();
      return say(std::move(texts));
    }
    const auto& o = state_->options;
    const std::size_t n =
        std::min<std::size_t>(state_->left, o.batchLeast + state_->below(o.batchMost - o.batchLeast + 1));
    if (n == 0) return finished();
    state_->left -= n;
    std::vector<json> texts;
    for (std::size_t i = 0; i < n; ++i) texts.push_back(next());
    say(std::move(texts));
  }

  json next() {
    const auto& o = state_->options;
    const std::uint64_t id = ++lastId_;
    const std::uint64_t of100 = state_->below(100);
    const char* method = of100 < o.cutPlans                 ? "cut-plan"
                         : of100 < o.cutPlans + o.stockOuts ? "stock-out"
                                                            : "log-in";
    const std::string ref = std::to_string(number_) + "-" + std::to_string(id);
    json text = {
        {"jsonrpc", "2.0"}, {"id", id}, {"method", method}, {"params", {{"ref", ref}, {"key", ref}}}};
    if (!o.padding.empty()) text["params"]["padding"] = o.padding;
    ++state_->report.calls;
    open_[id] = {text, Clock::now()};
    return text;
  }

  void say(std::vector<json> texts) {
    if (texts.size() == 1) send(texts.front().dump() + "\n");
    else send(json(std::move(texts)).dump() + "\n");
    if (state_->options.drop <= 0 ||
        static_cast<double>(state_->below(1'000'000)) >= state_->options.drop * 1e6)
      return;
    if (state_->below(2)) return void(dropAtReply_ = true);
    timer_.expires_after(std::chrono::microseconds(state_->below(3000)));
    timer_.async_wait([self = shared_from_this(), mine = generation_](error_code ec) {
      if (!ec && mine == self->generation_) self->drop();
    });
  }

  void drop() {
    ++state_->report.drops;
    error_code ignored;
    if (state_->below(2)) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    lost();
  }
  void lost() {
    if (state_->over) return;
    if (!state_->options.sessions) {
      state_->report.givenUp += open_.size();
      open_.clear();
    }
    connect();
  }

  void send(std::string text) {
    const auto held = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*held),
                      [held, self = shared_from_this()](error_code, std::size_t) {});
  }

  void read(std::uint64_t mine) {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this(), mine](error_code ec,
                                                                                    std::size_t n) {
      if (self->state_->over || mine != self->generation_) return;
      if (ec) {
        ++self->state_->report.lostConnections;
        return self->lost();
      }
      if (std::exchange(self->dropAtReply_, false)) return self->drop();  // halfway through it
      self->in_.append(self->chunk_.data(), n);
      std::size_t at = 0, end;
      while ((end = self->in_.find('\n', at)) != std::string::npos) {
        const json text = json::parse(self->in_.begin() + static_cast<std::ptrdiff_t>(at),
                                      self->in_.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
        at = end + 1;
        if (!text.is_array()) self->take(text);
        else
          for (const json& each : text) self->take(each);
        if (mine != self->generation_) return;
        if (self->open_.empty()) self->go();
      }
      self->in_.erase(0, at);
      self->read(mine);
    });
  }

  void take(const json& reply) {
    ReplayReport& r = state_->report;
    const json id = reply.is_object() ? reply.value("id", json()) : json();
    if (id == "s") {
      if (!reply.contains("result")) ++r.unasked;  // a session that is lost in the run is a fault
      opened_ = true;
      if (!open_.empty()) go();
      return;
    }
    const auto known = id.is_number_unsigned() ? open_.find(id.get<std::uint64_t>()) : open_.end();
    if (known == open_.end()) {
      ++(id.is_number_unsigned() && id.get<std::uint64_t>() <= lastId_ ? r.twice : r.unasked);
      return;
    }
    r.milliseconds.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - known->second.at).count());
    open_.erase(known);
    const int code = reply.contains("error") ? reply["error"].value("code", 0) : 0;
    ++(code == 0 ? r.served : code == kRefused ? r.refused : code == kFailed ? r.failed : r.otherErrors);
  }

  void finished() {
    if (std::exchange(finished_, true)) return;
    stop();
    ++generation_;
    if (--state_->playing == 0) state_->finish();
  }

  State* state_;
  const std::size_t number_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 65536> chunk_;
  std::string in_;
  std::map<std::uint64_t, Asked> open_;
  std::uint64_t lastId_ = 0, generation_ = 0;
  bool opened_ = false, finished_ = false, dropAtReply_ = false;
};

void Replay::State::finish() {
  if (std::exchange(over, true)) return;
  limit.cancel();
  report.seconds = std::chrono::duration<double>(Clock::now() - began).count();
  for (const auto& player : players) {
    report.unanswered += player->open();
    player->stop();
  }
  std::sort(report.milliseconds.begin(), report.milliseconds.end());
  done();
}

Replay::Replay(asio::io_context& io, const ReplayOptions& options, std::function<void()> done)
    : state_(std::make_shared<State>(io, options, std::move(done))) {}

Replay::~Replay() {
  state_->over = true;
  for (const auto& player : state_->players) player->stop();
}

void Replay::start() {
  State& s = *state_;
  s.began = Clock::now();
  s.left = s.options.calls;
  s.playing = s.options.connections;
  for (std::size_t i = 0; i < s.options.connections; ++i) {
    s.players.push_back(std::make_shared<Player>(s, i));
    s.players.back()->connect();
  }
  s.limit.expires_after(s.options.most);
  s.limit.async_wait([state = state_](error_code ec) {
    if (!ec) state->finish();
  });
}

ReplayReport Replay::report() const { return state_->report; }

std::string ReplayReport::text() const {
  const auto quantile = [&](double at) {
    return milliseconds.empty()
               ? 0.0
               : milliseconds[static_cast<std::size_t>(at * static_cast<double>(milliseconds.size() - 1))];
  };
  std::array<char, 1024> out{};
  std::snprintf(out.data(), out.size(),
                "calls %llu, answered %llu: served %llu, refused %llu, failed %llu, other errors %llu\n"
                "answered twice %llu, replies nobody asked %llu, unanswered %llu, given up by drops %llu\n"
                "drops %llu, repeats %llu, connections lost %llu\n"
                "%.1f s, %.0f calls a second, milliseconds: median %.2f, 99%% %.2f, most %.2f\n",
                static_cast<unsigned long long>(calls), static_cast<unsigned long long>(answered()),
                static_cast<unsigned long long>(served), static_cast<unsigned long long>(refused),
                static_cast<unsigned long long>(failed), static_cast<unsigned long long>(otherErrors),
                static_cast<unsigned long long>(twice), static_cast<unsigned long long>(unasked),
                static_cast<unsigned long long>(unanswered), static_cast<unsigned long long>(givenUp),
                static_cast<unsigned long long>(drops), static_cast<unsigned long long>(repeats),
                static_cast<unsigned long long>(lostConnections), seconds,
                seconds > 0 ? static_cast<double>(answered()) / seconds : 0.0, quantile(0.5), quantile(0.99),
                quantile(1));
  return out.data();
}

}  // namespace cairnjunction::standins
