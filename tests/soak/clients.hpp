// Clients of a restart soak: each keeps its connection and goes on calling until the connection ends. They
// keep a ledger of what they wrote and of what came back.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cairnjunction::soak {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum class Protocol { http, jsonRpc };

enum class Style {
  steady,       // the next call when the last one is answered
  pipelined,    // several calls out at a time
  batched,      // JSON-RPC: batches with a notification among them
  notifying,    // JSON-RPC: a notification and a call in one write
  inSession,    // JSON-RPC: steady, in a named session
  halfWritten,  // half a call at the signal, the rest later
  resting       // silent until some moment behind the signal
};
constexpr int kStyles = 7;

struct CallRecord {
  std::string id;
  std::string method;
  milliseconds deadline{0};
  std::uint64_t end = 0;  // bytes that the connection had written with its last one
  Clock::time_point written;
  std::optional<Clock::time_point> answered;
  int answers = 0;
};

enum class ConnectionEnd { open, closed, reset };

struct ConnectionRecord {
  Protocol protocol = Protocol::http;
  Style style = Style::steady;
  std::uint16_t port = 0;  // the client's own
  std::uint64_t written = 0;
  ConnectionEnd end = ConnectionEnd::open;
  Clock::time_point ended;
  // The system tells of a reset once: where a write was told, the read behind it shows an ordinary end.
  bool resetOnWrite = false;
  // HTTP: an answer said that it is the last one, so nothing behind it is taken (RFC 9112, 9.6).
  bool lastAnswered = false;
  std::vector<CallRecord> calls;
};

// What all clients of a run have done.
struct ClientLedger {
  std::string prefix;       // of the ids of its calls
  std::uint64_t calls = 0;  // so far; numbers them
  std::deque<ConnectionRecord> connections;
};

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint gateway, Protocol protocol, Style style,
         std::uint64_t seed, ClientLedger& ledger);

  void start();
  // The gateway is told to stop now; no new connection is made from `reconnectUntil` on.
  void onSignal(Clock::time_point reconnectUntil);
  // The gateway has ended; what is open counts as it is.
  void stop();

 private:
  void connect();
  void read();
  void onBytes(std::size_t bytes);
  void onEnd(ConnectionEnd end);
  void onReply(const std::string& id);
  void takeHttp();
  void takeJsonRpc();
  void fill();
  void send(bool half = false);
  std::string nextText();
  std::string httpCall();
  std::string jsonRpcCall(bool asNotification);
  CallRecord& begin();
  void write(const std::string& bytes);
  void later(milliseconds delay, void (Client::*action)());
  void finishHalf();
  void wake();
  int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint gateway_;
  const Protocol protocol_;
  const Style style_;
  std::mt19937_64 random_;
  ClientLedger& ledger_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 16384> chunk_{};
  std::string received_;
  std::string unsentHalf_;
  ConnectionRecord* record_ = nullptr;
  std::map<std::string, std::size_t> open_;  // calls by id; HTTP's by their order alone
  std::deque<std::string> order_;            // ids of HTTP's open calls
  std::optional<Clock::time_point> reconnectUntil_;
  bool restingOver_ = false;
  bool stopped_ = false;
};

}  // namespace cairnjunction::soak
