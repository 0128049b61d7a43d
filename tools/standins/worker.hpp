// A stand-in for a worker of a stock service. It speaks HTTP/1.1 as the protocol page says and JSON-RPC as
// docs/design/jsonrpc.md does, on one port: a connection's first byte tells which. An HTTP request with the
// header X-Answer-Bytes gets an answer of that size.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "standins/ledger.hpp"

namespace cairnjunction::standins {

// HTTP answers that nobody asked for: a fault of the worker.
struct UnsolicitedAnswers {
  enum class Kind { any, served, notRun };
  double afterAnswer = 0;  // share of the answers that are sent a second time;
  double onConnect = 0;    // share of the connections on which an answer comes without a request
  std::chrono::microseconds delayLeast{0}, delayMost{0};  // behind the first answer, or the connecting
  Kind kind = Kind::any;                                  // of the answers that are repeated
};

struct WorkerOptions {
  std::uint64_t seed = 1;
  std::chrono::microseconds workLeast{0}, workMost{0};
  std::size_t slots = 64;                  // at work at a time
  std::size_t queue = 256;                 // waiting; past it calls are turned away unseen
  double fail = 0;                         // shares of the calls: run, and answered by an error;
  double turnAway = 0;                     // not run, and said so;
  double dropAfter = 0;                    // run, and the connection closed without an answer;
  double dropBefore = 0;                   // not run, and the connection closed;
  double silent = 0;                       // run, and never answered
  std::chrono::milliseconds coldTime{0};   // after its start it is slower:
  double coldShare = 1;                    // by this share of its speed at first, then evenly faster
  std::chrono::milliseconds window{2000};  // for so long a repeat of a key is not run again
  UnsolicitedAnswers unsolicited;
  bool answersWithId = false;  // HTTP: a call without a body is answered by its X-Request-Id
};

class StandInWorker {
 public:
  StandInWorker(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
                const WorkerOptions& options, Ledger& ledger);
  ~StandInWorker();
  StandInWorker(const StandInWorker&) = delete;
  StandInWorker& operator=(const StandInWorker&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  std::uint64_t accepted() const { return accepted_; }        // connections
  std::uint64_t unsolicited() const { return unsolicited_; }  // answers that nobody asked for
  std::optional<std::chrono::steady_clock::time_point> firstUnsolicited() const { return firstUnsolicited_; }

 private:
  class Connection;
  enum class End { served, failed, turnedAway, dropped, silent };
  struct Job {
    std::string method, ref, key;
    std::function<void(End)> done;
    std::shared_ptr<bool> cancelled;
  };

  void accept();
  void submit(Job job);
  void begin(Job job);
  std::chrono::microseconds workTime();
  std::chrono::microseconds unsolicitedDelay();
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  WorkerOptions options_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point born_ = std::chrono::steady_clock::now();
  std::deque<Job> waiting_;
  std::unordered_map<std::string, std::chrono::steady_clock::time_point> keys_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::size_t working_ = 0;
  std::string lastAnswer_;  // HTTP: of any connection
  std::uint64_t accepted_ = 0, unsolicited_ = 0;
  std::optional<std::chrono::steady_clock::time_point> firstUnsolicited_;
};

}  // namespace cairnjunction::standins
