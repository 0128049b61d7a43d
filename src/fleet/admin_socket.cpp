#include "fleet/admin_socket.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <stdexcept>
#include <utility>

#include "common/socket_io.hpp"

namespace cairnjunction::fleet {

using boost::asio::local::stream_protocol;
using boost::system::error_code;
using nlohmann::json;

namespace {

constexpr mode_t kOwnerOnlyMask = 0177;  // permission bits that are cleared

// Whether the peer process runs as root or as this process's user.
bool isPeerAllowed(stream_protocol::socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  const bool known = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0;
  return known && (peer.uid == 0 || peer.uid == ::geteuid());
}

}  // namespace

struct AdminSocket::Client {
  stream_protocol::socket socket;
  boost::asio::steady_timer timer;
  std::function<void()> onEnd;
  std::string buffer;  // the request, then the response

  Client(stream_protocol::socket accepted, std::function<void()> ended)
      : socket(std::move(accepted)), timer(socket.get_executor()), onEnd(std::move(ended)) {}
  ~Client() { onEnd(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
};

AdminSocket::AdminSocket(boost::asio::io_context& io, std::string path, Handler handler)
    : path_(std::move(path)), acceptor_(io), handler_(std::move(handler)) {
  ::unlink(path_.c_str());
  // The umask sets the mode when the file is created, so that other users can never connect.
  const mode_t formerMask = ::umask(kOwnerOnlyMask);
  error_code error;
  acceptor_.open();
  acceptor_.bind(stream_protocol::endpoint(path_), error);
  ::umask(formerMask);
  if (error) throw boost::system::system_error(error, path_);
  acceptor_.listen();
  accept();
}

AdminSocket::~AdminSocket() { ::unlink(path_.c_str()); }

void AdminSocket::accept() {
  acceptor_.async_accept(lifetime_.guard([this](error_code error, stream_protocol::socket socket) {
    if (error) return;
    accept();
    if (isPeerAllowed(socket) && clients_ < kMaxClients) serveClient(std::move(socket));
  }));
}

void AdminSocket::serveClient(stream_protocol::socket socket) {
  ++clients_;
  const auto client = std::make_shared<Client>(std::move(socket), lifetime_.guard([this] { --clients_; }));
  client->timer.expires_after(kClientTimeout);
  client->timer.async_wait([weak = std::weak_ptr<Client>(client)](error_code cancelled) {
    const auto pending = weak.lock();
    if (!cancelled && pending) pending->socket.close();
  });
  boost::asio::async_read_until(
      client->socket, boost::asio::dynamic_buffer(client->buffer, kMaxRequestBytes), '\n',
      lifetime_.guard([this, client](error_code error, std::size_t size) {
        if (error) return;
        const json request = json::parse(client->buffer.substr(0, size), nullptr, false);
        const json response =
            request.is_object() ? handler_(request) : json{{"error", "expected a JSON object"}};
        // Names of an earlier version's log may hold what JSON can't.
        client->buffer = response.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        asyncWriteAll(client->socket, boost::asio::buffer(client->buffer),
                      [client](error_code, std::size_t) {});
      }));
}

json queryAdminSocket(const std::string& path, const json& request) {
  boost::asio::io_context io;
  stream_protocol::socket socket(io);
  error_code error;
  socket.connect(stream_protocol::endpoint(path), error);
  if (error) throw std::runtime_error(path + ": " + error.message());
  boost::asio::write(socket, boost::asio::buffer(request.dump() + "\n"), error);
  std::string line;
  if (!error) boost::asio::read_until(socket, boost::asio::dynamic_buffer(line), '\n', error);
  json response = json::parse(line, nullptr, false);
  if (error || response.is_discarded())
    throw std::runtime_error(path + ": no answer" + (error ? ": " + error.message() : std::string()) +
                             " (only the coordinator's user and root may connect)");
  if (response.contains("error")) throw std::runtime_error(response["error"].get<std::string>());
  return response;
}

}  // namespace cairnjunction::fleet
