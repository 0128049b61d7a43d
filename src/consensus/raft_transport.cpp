#include "consensus/raft_transport.hpp"

#include <utility>

namespace cairnjunction::consensus {

void RaftTransport::setVoterAddresses(const std::map<int, std::string>& addresses) {
  addresses_ = &addresses;
  libraryConnect_ = std::exchange(connect, &RaftTransport::connectToVoter);
}

int RaftTransport::connectToVoter(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                                  const char* placeholder, raft_uv_connect_cb done) {
  const RaftTransport& self = *static_cast<RaftTransport*>(transport);
  const auto configured = self.addresses_->find(static_cast<int>(id));
  const char* address = configured == self.addresses_->end() ? placeholder : configured->second.c_str();
  return self.libraryConnect_(transport, request, id, address, done);
}

}  // namespace cairnjunction::consensus
