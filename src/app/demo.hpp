// `cairnjunction demo`: the gateway with stand-in workers and discovery, all in one process on loopback.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>

namespace cairnjunction {

struct DemoOptions {
  std::size_t workers = 3;
  unsigned short http = 8080, jsonRpc = 9090;  // 0: any free one
  bool jsonRpcWorkers = false;                 // else they are spoken to by HTTP
  std::string routes;  // a file of routes, the servers of whose pools are the stand-in workers; empty: none
};

// Prints the addresses to try and serves till SIGINT or SIGTERM. Returns the exit code.
int runDemo(const DemoOptions& options, std::ostream& out);

}  // namespace cairnjunction
