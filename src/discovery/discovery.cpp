#include "discovery/discovery.hpp"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kListLimit = 4 << 20;  // bytes of one list: some ten thousand hosts
constexpr const char* kPath = "/discovery/hosts";

}  // namespace

// One connection with its call; kept for the next call as long as both sides want it.
struct Discovery::Call : std::enable_shared_from_this<Discovery::Call> {
  Discovery* owner;  // null once given up
  tcp::endpoint server;
  tcp::socket socket;
  asio::steady_timer timer, promise;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  Kind kind = Kind::list;
  std::uint64_t turn = 0;  // of the call; a timer of an earlier one that is already due is told by it

  Call(Discovery& d, tcp::endpoint s)
      : owner(&d), server(std::move(s)), socket(d.io_), timer(d.io_), promise(d.io_) {}

  void giveUp() {
    owner = nullptr;
    timer.cancel();
    promise.cancel();
    error_code ignored;
    socket.close(ignored);
  }

  void start(Kind k, std::chrono::milliseconds lateAfter, std::chrono::milliseconds limit) {
    kind = k;
    parser.emplace();
    parser->body_limit(kListLimit);
    // Danger: discovery that falls silent would hold the watch for good.
    timer.expires_after(limit);
    timer.async_wait([self = shared_from_this(), mine = ++turn](error_code ec) {
      if (!ec && self->owner && mine == self->turn) self->finish(std::nullopt);
    });
    if (k == Kind::next) {
      promise.expires_after(lateAfter);
      promise.async_wait([self = shared_from_this(), mine = turn](error_code ec) {
        if (!ec && self->owner && mine == self->turn) self->owner->late(self);
      });
    }
    if (socket.is_open()) return write();
    socket.async_connect(server, [self = shared_from_this()](error_code ec) {
      if (!self->owner) return;
      if (ec) return self->finish(std::nullopt);
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void write() {
    http::async_write(socket, request, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->owner) return;
      if (ec) return self->finish(std::nullopt);
      http::async_read(self->socket, self->buffer, *self->parser,
                       [self](error_code readError, std::size_t) { self->answered(readError); });
    });
  }

  void answered(error_code ec) {
    if (!owner) return;
    std::optional<HostList> list;
    if (!ec && parser->get().result() == http::status::ok) {
      const auto json = nlohmann::json::parse(parser->get().body(), nullptr, false);
      try {
        if (!json.is_discarded()) list = parseHostList(json);
      } catch (const std::invalid_argument&) {  // garbage counts as a failed call
      }
    }
    finish(list);
  }

  void finish(const std::optional<HostList>& list) {
    ++turn;
    timer.cancel();
    promise.cancel();
    error_code ignored;
    if (!list || !parser->get().keep_alive()) socket.close(ignored);
    owner->ended(shared_from_this(), list);
  }
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint server, Callbacks callbacks, Waits waits)
    : io_(io),
      server_(std::move(server)),
      callbacks_(std::move(callbacks)),
      waits_(waits),
      wait_(waits.watch) {}

Discovery::~Discovery() { stop(); }

void Discovery::stop() {
  for (CallPtr* call : {&call_, &newCall_, &beside_}) giveUp(*call);
}

void Discovery::giveUp(CallPtr& call) {
  if (const CallPtr over = std::exchange(call, nullptr)) over->giveUp();
}

void Discovery::askBeside() {
  if (next_ || beside_ || !call_ || call_->kind != Kind::next) return;
  begin(beside_, server_, Kind::list, std::chrono::milliseconds(0));
}

void Discovery::late(const CallPtr& call) {
  if (call != call_) return;
  overdue_ = true;
  askBeside();
}

void Discovery::watch() {
  if (next_) return callNew();
  stop();
  call(version_ ? Kind::first : Kind::list);
}

void Discovery::moveTo(const tcp::endpoint& server) {
  if (server == (next_ ? *next_ : server_)) return;
  next_ = server;
  callNew();
}

void Discovery::callNew() {
  giveUp(newCall_);
  giveUp(beside_);
  begin(newCall_, *next_, Kind::list, std::chrono::milliseconds(0));
}

// The first call of a watch does not wait, so that the module hears at once that it is on; the next ones,
// each sent as soon as the last is answered, do.
void Discovery::call(Kind kind) {
  overdue_ = false;
  begin(call_, server_, kind, kind == Kind::next ? wait_ : std::chrono::milliseconds(1));
}

void Discovery::begin(CallPtr& call, const tcp::endpoint& server, Kind kind, std::chrono::milliseconds wait) {
  if (!call || !call->socket.is_open()) call = std::make_shared<Call>(*this, server);
  std::string target = kPath;
  if (kind != Kind::list)
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  call->request = {http::verb::get, target, 11};
  call->request.set(http::field::host, textOf(server));
  call->start(kind, wait + waits_.late, wait + waits_.answer);
}

void Discovery::endedNew(const std::optional<HostList>& list) {
  if (!list || !list->full) {  // the hosts that we hold stay, and the old watch while it lasts
    giveUp(newCall_);
    return callbacks_.failed();
  }
  const CallPtr old = std::exchange(call_, std::exchange(newCall_, nullptr));
  if (old) old->giveUp();
  server_ = *next_;
  next_.reset();
  version_ = list->version;  // a count of its own
  call(Kind::next);
  callbacks_.told(*list);
}

// The watch holds unless the list of the call beside it proves that it was lost.
void Discovery::endedBeside(const std::optional<HostList>& list) {
  if (!list || !list->full) {
    giveUp(beside_);
    if (call_) callbacks_.besideFailed();
    else fail();  // the watch ended meanwhile
    return;
  }
  // Danger: a list that is older than ours comes from the past; only without a watch is it all there is.
  const bool newer = !version_ || list->version > *version_;
  if (call_ && !newer && !overdue_) return giveUp(beside_);
  if (newer || overdue_) wait_ = std::max(wait_ / 2, waits_.leastWatch);
  const bool news = newer || list->version < *version_;
  giveUp(call_);
  call_ = std::exchange(beside_, nullptr);
  version_ = list->version;
  call(Kind::next);
  if (news) callbacks_.told(*list);
}

void Discovery::ended(const CallPtr& ending, const std::optional<HostList>& list) {
  if (ending == newCall_) return endedNew(list);
  if (ending == beside_) return endedBeside(list);
  const Kind kind = ending->kind;
  if (!list && beside_) return giveUp(call_);  // the call beside it is the watch's last hope
  if (list) giveUp(beside_);                   // it has kept on
  if (list && kind == Kind::next) wait_ = std::min(wait_ * 2, waits_.watch);
  if (next_ && (!list || (!list->full && list->version < version_.value_or(0)))) {
    // Danger: the module must not hear of it. It would ask again, and so give up the call to the new server.
    call_.reset();
    ending->giveUp();
    return;
  }
  if (!list) return fail();
  // Danger: discovery that was set up anew counts from the start; changes to a list that we don't hold would
  // leave hosts in ours for good.
  const bool whole = list->full;
  if (!whole && (kind == Kind::list || (version_ && list->version < *version_))) {
    version_.reset();
    return fail();
  }
  version_ = list->version;
  call(Kind::next);
  callbacks_.told(*list);
}

void Discovery::fail() {
  stop();
  callbacks_.failed();
}

}  // namespace cairnjunction
