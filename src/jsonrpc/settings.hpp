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
  std::optional<double> worth;   // else the class's
  policy::Duration deadline{};   // the longest that a client waits; 0: the class's
  std::string deadlineAt;        // JSON pointer in params: milliseconds that the client waits; empty: none
  std::string keyAt;             // the key by which workers drop repeats
  std::string objectAt;          // what the call is about, for classes that go in turn
  std::string target;            // of a worker that speaks HTTP; empty: "/" and the class's name
  std::uint32_t classIndex = 0;  // set by resolve()
  policy::Idempotency effect = policy::Idempotency::unsafe;
};

struct FrontendLimits {
  std::size_t connections = 640;
  std::size_t frameBytes = 512 << 10;  // one text
  std::size_t paramsBytes = 64 << 10;  // of one call, as of a body in HTTP
  std::size_t batch = 1000;            // entries
  std::size_t openOfOne = 256;         // calls of a connection; past it no more is read from it
  std::size_t open = 16384;            // calls of all; past it new ones are refused
  std::size_t unsentOfOne =
      256 << 10;                 // bytes of replies that a client has not taken; past it no more is read
  std::size_t bytes = 24 << 20;  // of texts and replies, of all connections
  std::size_t badMost = 16;      // texts in error until the connection is closed
  std::chrono::milliseconds slow{2500};     // a text must be whole so long after its first byte
  std::chrono::milliseconds stalled{5000};  // replies must be taken within
  std::chrono::milliseconds idle{900000};   // with no call open
};

struct UpstreamSettings {
  bool jsonRpc = false;        // else workers speak HTTP
  std::uint32_t streams = 32;  // calls on one connection at a time
  Form form = Form::lines;
};

struct Settings {
  std::optional<boost::asio::ip::tcp::endpoint> listen;  // none: no front
  std::vector<MethodSettings> methods;
  FrontendLimits limits;
  SessionTable::Limits sessions;
  UpstreamSettings workers;
};

// Throws BadSettings.
Settings parseSettings(const nlohmann::json& json);
Settings readSettings(const std::string& path);

// Gives each method its class in the module's settings; a method with a worth of its own has a class of its
// own, which is its class but for the worth. Throws BadSettings if there is no such class.
void resolve(Settings& settings, policy::Settings& module);

}  // namespace cairnjunction::jsonrpc
