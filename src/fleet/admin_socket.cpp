// The operators' way to a keeper.
#include "fleet/admin_socket.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace cairnjunction::fleet {

using boost::asio::local::stream_protocol;
using boost::system::error_code;
using nlohmann::json;

struct AdminSocket::Caller {
  stream_protocol::socket socket;
  boost::asio::steady_timer timer;
  std::function<void()> over;  // its end, whichever way, makes room for another one
  std::string text;

  Caller(stream_protocol::socket s, std::function<void()> o)
      : socket(std::move(s)), timer(socket.get_executor()), over(std::move(o)) {}
  ~Caller() { over(); }
};

AdminSocket::AdminSocket(boost::asio::io_context& io, const std::string& path, Answer answer)
    : path_(path), acceptor_(io), answer_(std::move(answer)) {
  ::unlink(path.c_str());
  // Nobody else may connect, from the first moment on.
  const mode_t before = ::umask(0177);
  error_code ec;
  acceptor_.open();
  acceptor_.bind(stream_protocol::endpoint(path), ec);
  ::umask(before);
  if (ec) throw boost::system::system_error(ec, path);
  acceptor_.listen();
  accept();
}

AdminSocket::~AdminSocket() { ::unlink(path_.c_str()); }

void AdminSocket::accept() {
  acceptor_.async_accept(lifetime_.guard([this](error_code ec, stream_protocol::socket socket) {
    if (ec) return;
    accept();
    ucred peer{};
    socklen_t size = sizeof peer;
    const bool known = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0;
    if (!known || (peer.uid != 0 && peer.uid != ::geteuid()) || callers_ >= kCallersMost) return;
    ++callers_;
    const auto caller = std::make_shared<Caller>(std::move(socket), lifetime_.guard([this] { --callers_; }));
    caller->timer.expires_after(kPatience);
    caller->timer.async_wait([weak = std::weak_ptr<Caller>(caller)](error_code stopped) {
      const auto c = weak.lock();
      if (!stopped && c) c->socket.close();
    });
    boost::asio::async_read_until(
        caller->socket, boost::asio::dynamic_buffer(caller->text, kLineMost), '\n',
        lifetime_.guard([this, caller](error_code readError, std::size_t n) {
          if (readError) return;
          const json question = json::parse(caller->text.substr(0, n), nullptr, false);
          const json answer =
              question.is_object() ? answer_(question) : json{{"error", "expected a JSON object"}};
          caller->text = answer.dump() + "\n";
          boost::asio::async_write(caller->socket, boost::asio::buffer(caller->text),
                                   [caller](error_code, std::size_t) {});
        }));
  }));
}

json queryAdminSocket(const std::string& path, const json& question) {
  boost::asio::io_context io;
  stream_protocol::socket socket(io);
  error_code ec;
  socket.connect(stream_protocol::endpoint(path), ec);
  if (ec) throw std::runtime_error(path + ": " + ec.message());
  boost::asio::write(socket, boost::asio::buffer(question.dump() + "\n"), ec);
  std::string text;
  if (!ec) boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), '\n', ec);
  const json answer = json::parse(text, nullptr, false);
  if (ec || answer.is_discarded())
    throw std::runtime_error(path + ": no answer" + (ec ? ": " + ec.message() : std::string()) +
                             " (only the keeper's user and root are answered)");
  if (answer.contains("error")) throw std::runtime_error(answer["error"].get<std::string>());
  return answer;
}

}  // namespace cairnjunction::fleet
