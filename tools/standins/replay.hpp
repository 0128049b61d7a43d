// A client that replays a burst of JSON-RPC calls in mixed batches and counts the answers by id. It drops
// connections on purpose, and in named sessions repeats what was not answered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cairnjunction::standins {

struct ReplayOptions {
  boost::asio::ip::tcp::endpoint to;
  std::size_t calls = 10'000;  // over all connections
  std::size_t connections = 50;
  std::size_t batchLeast = 1, batchMost = 20;  // entries of a text; one goes alone, not as a batch
  double drop = 0;                             // share of the texts behind which the connection is dropped
  bool sessions = false;                       // and what was not answered is repeated by its id
  std::uint64_t seed = 1;
  std::chrono::seconds most{120};  // the run ends then, whatever is missing
  std::string padding;             // further text in the params of each call
  // Of a hundred calls; the rest are log-ins.
  unsigned cutPlans = 16, stockOuts = 53;
};

struct ReplayReport {
  std::uint64_t calls = 0;  // asked
  std::uint64_t served = 0, refused = 0, failed = 0, otherErrors = 0;
  std::uint64_t twice = 0;       // answered more than once
  std::uint64_t unasked = 0;     // replies with an id that was not open
  std::uint64_t unanswered = 0;  // at the end
  std::uint64_t givenUp = 0;     // dropped without a session: no answer is owed
  std::uint64_t drops = 0, repeats = 0, lostConnections = 0;
  double seconds = 0;
  std::vector<double> milliseconds;  // of the answered calls, sorted

  std::uint64_t answered() const { return served + refused + failed + otherErrors; }
  bool exactlyOnce() const { return twice == 0 && unasked == 0 && unanswered == 0; }
  std::string text() const;  // a table
};

class Replay {
 public:
  Replay(boost::asio::io_context& io, const ReplayOptions& options, std::function<void()> done);
  ~Replay();
  void start();
  ReplayReport report() const;  // after `done`

 private:
  struct State;
  class Player;
  std::shared_ptr<State> state_;
};

}  // namespace cairnjunction::standins
