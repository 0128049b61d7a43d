// One request that crosses the end of a gateway's shutdown: the gateway is a process of its own, is told to
// end, and is killed as early as it may be. The endpoint and the client are scripted peers on the test's
// event loop. Several runs may share one loop.
#pragma once

#include <signal.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jsonrpc/peers.hpp"
#include "lab/process.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {

enum class RunProtocol { http, jsonRpc };
enum class RequestForm {
  atOnce,     // on a connection that was used before
  slowBody,   // its last byte comes late
  pipelined,  // sent with the one before it, which is answered only when this one is due
  http10      // of HTTP/1.0, on a new connection
};
enum class RunEnd { none, served, rejected, failed, broken };

// A part of the endpoint's answer to the request of a run.
struct AnswerPart {
  std::chrono::milliseconds beforeKill;
  std::string text;  // of an endpoint over JSON-RPC: ID stands for the request's id
};

struct SignalAt {
  std::chrono::milliseconds at;  // counted from SIGTERM; below 0: before it
  int signal;
};

struct ShutdownCase {
  std::string name;
  RunProtocol client = RunProtocol::http, endpoint = RunProtocol::http;
  bool fixedPool = false;  // the endpoint is in a pool of routes and not in discovery's list
  std::string className = "write";
  std::chrono::milliseconds objective{400}, clientTimeout{3000};
  std::chrono::milliseconds takenAt{750};  // the last byte of the request, counted from SIGTERM
  RequestForm form = RequestForm::atOnce;
  int resetsBefore = 0;             // attempts that the endpoint resets, once their request is whole
  std::vector<AnswerPart> answer;   // none: it is silent
  std::vector<SignalAt> signals;    // beside SIGTERM
  double reloadedTimeFactor = 1.0;  // of the classes' times in the file that SIGHUP reads
};

class ShutdownRun {
 public:
  using Clock = std::chrono::steady_clock;

  // Starts the gateway's process; `folder` must exist.
  ShutdownRun(asio::io_context& io, const std::string& program, const std::string& folder,
              ShutdownCase planned);
  ~ShutdownRun();
  ShutdownRun(const ShutdownRun&) = delete;
  ShutdownRun& operator=(const ShutdownRun&) = delete;

  bool isReady();  // to be asked until it is: then a request has been served on the client's connection
  void stop();     // SIGTERM, and all that follows is scheduled
  bool isKilled() const { return killed_; }
  void observe();  // to be called often: notes when the answer has come
  std::chrono::milliseconds killAfter() const;

  const ShutdownCase planned;
  std::size_t attempts = 0;  // whose request the endpoint has had whole
  RunEnd end() const;
  // Whether the answer had come when the process could be killed at the earliest.
  bool isAnsweredInTime() const { return answeredAt_ && *answeredAt_ <= killAfter(); }
  // The gateway has closed the connection and no endpoint has had the request: the client may send it again.
  bool mayBeUnread() const { return attempts == 0 && end() == RunEnd::none && closedByGateway(); }
  std::size_t answerBytes() const;  // of the body, over HTTP; 0: there is no whole answer
  bool closedByGateway() const;
  std::string log() const;  // of the gateway
  std::string describe() const;

 private:
  void startEndpoint();
  void startGateway();
  nlohmann::json configuration(double timeFactor) const;
  std::string routes() const;
  std::string httpRequest(const std::string& id, const std::string& version = "1.1") const;
  const Response* httpAnswer() const;
  void warmUp();
  bool isWarm() const;
  void sendRequest();
  void sendHttpRequest();
  template <class Connection>
  void onRequest(Connection& connection, const std::string& id, bool isWarmUp);
  template <class Connection>
  void answer(Connection& connection, const std::string& id);
  void at(std::chrono::milliseconds sinceSigterm, std::function<void()> action);
  std::chrono::milliseconds sinceSigterm() const;
  void kill();

  asio::io_context& io_;
  const std::string program_, prefix_;
  FakeDiscovery discovery_;
  std::unique_ptr<Peer> httpEndpoint_;
  std::unique_ptr<Worker> rpcEndpoint_;
  std::unique_ptr<ReservedPort> httpPort_, rpcPort_;
  std::unique_ptr<lab::Process> process_;
  std::shared_ptr<Client> http_;
  std::shared_ptr<Lines> rpc_;
  std::vector<std::unique_ptr<asio::steady_timer>> timers_;
  Clock::time_point stoppedAt_;
  std::optional<std::chrono::milliseconds> answeredAt_;
  bool killed_ = false;
};

}  // namespace cairnjunction::testing
