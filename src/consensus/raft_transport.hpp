// The library's TCP connections between the voters. The log's configuration must be the same at each voter,
// so it has placeholder addresses; each voter connects to the others at the addresses of its own settings.
#pragma once

#include <map>
#include <string>

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

// Derives from the library's transport, because that is what the library passes to the callbacks. The member
// `data` of it belongs to the library.
class RaftTransport : public raft_uv_transport {
 public:
  RaftTransport() : raft_uv_transport{} {}

  // Call this first. open() and listenAt() return the library's result code; 0 is success.
  int open(uv_loop_t* loop) { return raft_uv_tcp_init(this, loop); }
  // `address`: IPv4 address:port at which the other voters reach this one.
  int listenAt(const std::string& address) { return raft_uv_tcp_set_bind_address(this, address.c_str()); }
  // `addresses`: address:port of each voter, by number. The map must outlive the transport.
  void setVoterAddresses(const std::map<int, std::string>& addresses);
  // Call this once, after the library has closed, or if it could not be opened.
  void release() {
    if (impl) raft_uv_tcp_close(this);
  }

  // The address that stands for a voter in the log's configuration.
  static std::string placeholder(int number) { return "127.0.0.1:" + std::to_string(number); }

 private:
  using Connect = int (*)(raft_uv_transport*, raft_uv_connect*, raft_id, const char*, raft_uv_connect_cb);

  static int connectToVoter(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                            const char* placeholder, raft_uv_connect_cb done);

  Connect libraryConnect_ = nullptr;
  const std::map<int, std::string>* addresses_ = nullptr;
};

}  // namespace cairnjunction::consensus
