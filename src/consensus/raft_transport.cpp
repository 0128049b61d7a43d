#include "consensus/raft_transport.hpp"

#include <utility>

namespace cairnjunction::consensus {

void RaftTransport::connectBy(const std::map<int, std::string>& addresses) {
  addresses_ = &addresses;
  libraryConnect_ = std::exchange(connect, &RaftTransport::connectToOwnAddress);
}

int RaftTransport::connectToOwnAddress(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                                       const char* placeholder, raft_uv_connect_cb done) {
  const RaftTransport& self = *static_cast<RaftTransport*>(transport);
  const auto own = self.addresses_->find(static_cast<int>(id));
  const char* address = own == self.addresses_->end() ? placeholder : own->second.c_str();
  return self.libraryConnect_(transport, request, id, address, done);
}

}  // namespace cairnjunction::consensus
