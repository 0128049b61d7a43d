// Settings of JSON-RPC, read from a file of their own (docs/operators/jsonrpc.md lists them).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "jsonrpc/frame.hpp"
#include "jsonrpc/session_table.hpp"

namespace cairnjunction::jsonrpc {

struct BadSettings : std::runtime_error {  // one line: what was found and what was expected
  using std::runtime_error::runtime_error;
};

struct MethodSettings {
  std::string name, className;
  std::optional<double> worth;   // priority weight; absent: the class's
  policy::Duration deadline{};   // client timeout; 0: the class's
  std::string deadlineAt;        // JSON pointer into params: the client's timeout in ms; empty: none
  std::string keyAt;             // JSON pointer into params: the idempotency key; empty: none
  std::string objectAt;          // JSON pointer into params: the key of classes serialized by key
  std::string target;            // path at HTTP workers; empty: "/" and the class's name
  std::uint32_t classIndex = 0;  // set by resolve()
  policy::Idempotency effect = policy::Idempotency::unsafe;
};

struct FrontendLimits {
  std::size_t connections = 640;
  std::size_t frameBytes = 512 << 10;  // one text
  std::size_t paramsBytes = 64 << 10;  // of one call; like an HTTP body
  std::size_t batch = 1000;            // entries
  std::size_t openOfOne = 256;         // calls of a connection; at this number it is not read
  std::size_t open = 16384;            // calls of all connections; above it new ones are rejected
  std::size_t unsentOfOne =
      256 << 10;  // response bytes that a client has not read; above it the connection is not read
  std::size_t bytes = 24 << 20;             // of texts and responses, of all connections
  std::size_t badMost = 16;                 // invalid texts before the connection is closed
  std::chrono::milliseconds slow{2500};     // from a text's first byte to its last
  std::chrono::milliseconds stalled{5000};  // for a client to read pending responses
  std::chrono::milliseconds idle{900000};   // with no call open
};

struct UpstreamSettings {
  bool jsonRpc = false;        // false: workers speak HTTP
  std::uint32_t streams = 32;  // calls on one connection at a time
  Form form = Form::lines;
};

struct Settings {
  std::optional<boost::asio::ip::tcp::endpoint> listen;  // none: no frontend
  std::vector<MethodSettings> methods;
  FrontendLimits limits;
  SessionTable::Limits sessions;
  UpstreamSettings workers;
};

// Throws BadSettings.
Settings parseSettings(const nlohmann::json& json);
Settings readSettings(const std::string& path);

// Sets each method's class by its name in the load balancer's settings. A method with a priority weight of
// its own gets a copy of its class with that weight. Throws BadSettings if the class does not exist.
void resolve(Settings& settings, policy::Settings& module);

}  // namespace cairnjunction::jsonrpc
