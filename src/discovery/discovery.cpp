#include "discovery/discovery.hpp"

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
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  Kind kind = Kind::list;
  std::uint64_t turn = 0;  // of the call; a timer of an earlier one that is already due is told by it

  Call(Discovery& d, tcp::endpoint s) : owner(&d), server(std::move(s)), socket(d.io_), timer(d.io_) {}

  void giveUp() {
    owner = nullptr;
    timer.cancel();
    error_code ignored;
    socket.close(ignored);
  }

  void start(Kind k, std::chrono::milliseconds limit) {
    kind = k;
    parser.emplace();
    parser->body_limit(kListLimit);
    // Danger: discovery that falls silent would hold the watch for good.
    timer.expires_after(limit);
    timer.async_wait([self = shared_from_this(), mine = ++turn](error_code ec) {
      if (!ec && self->owner && mine == self->turn) self->finish(std::nullopt);
    });
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
    error_code ignored;
    if (!list || !parser->get().keep_alive()) socket.close(ignored);
    owner->ended(shared_from_this(), list);
  }
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint server, Callbacks callbacks, Waits waits)
    : io_(io), server_(std::move(server)), callbacks_(std::move(callbacks)), waits_(waits) {}

Discovery::~Discovery() { stop(); }

void Discovery::stop() {
  for (CallPtr* call : {&call_, &newCall_})
    if (const CallPtr over = std::exchange(*call, nullptr)) over->giveUp();
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
  if (const CallPtr over = std::exchange(newCall_, nullptr)) over->giveUp();
  begin(newCall_, *next_, Kind::list, std::chrono::milliseconds(0));
}

// The first call of a watch does not wait, so that the module hears at once that it is on; the next ones,
// each sent as soon as the last is answered, do.
void Discovery::call(Kind kind) {
  begin(call_, server_, kind, kind == Kind::next ? waits_.watch : std::chrono::milliseconds(1));
}

void Discovery::begin(CallPtr& call, const tcp::endpoint& server, Kind kind, std::chrono::milliseconds wait) {
  if (!call || !call->socket.is_open()) call = std::make_shared<Call>(*this, server);
  std::string target = kPath;
  if (kind != Kind::list)
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  call->request = {http::verb::get, target, 11};
  call->request.set(http::field::host, server.address().to_string() + ":" + std::to_string(server.port()));
  call->start(kind, wait + waits_.answer);
}

void Discovery::endedNew(const std::optional<HostList>& list) {
  if (!list || !list->full) {  // the hosts that we hold stay, and the old watch while it lasts
    if (const CallPtr over = std::exchange(newCall_, nullptr)) over->giveUp();
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

void Discovery::ended(const CallPtr& ending, const std::optional<HostList>& list) {
  if (ending == newCall_) return endedNew(list);
  const Kind kind = ending->kind;
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
