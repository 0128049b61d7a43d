// What members and keepers say to each other: one MessagePack array behind its length in four bytes (big end
// first). Bounded before it is kept, checked whole before it is used.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/voter_identity.hpp"
#include "lease/fencing_gate.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::fleet {

inline constexpr int kProtocol = 1;
// A list of 10,000 hosts has 2 MB; anything larger comes from somebody else.
inline constexpr std::size_t kFrameMost = 4 << 20;

struct JoinRequest {  // a member's first word
  int protocol = kProtocol;
  std::string fleet;
  lease::Member member;
  std::string zone;
  bool willing = true;
};
struct VoterHandshakeRequest {  // a keeper's, before it votes
  int protocol = kProtocol;
  std::string fleet;
  int number = 0;
  consensus::VoterMark mark;
};
struct VoterHandshakeResponse {
  int number = 0;
  consensus::VoterMark mark;
  std::string rejection;  // empty: it may vote
};
struct JoinResponse {  // the leader's; sent after the member's `joined` is on the log
  int coordinator = 0;
  std::uint32_t members = 0;
  std::map<lease::LeaseKey, lease::FencingGate::FencingMark> marks;  // without senders
};
struct NotLeader {  // this keeper does not lead
  int leader = 0;   // 0: it does not know who does
};
struct JoinRejected {
  std::string reason;
};
struct Heartbeat {
  lease::BootTime sentAt{};  // the member's clock before it wrote this
  std::vector<lease::LeasesRenewed::Held> held;
};
struct LeaseGrant {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  lease::Sequence sequence = 0;
  lease::BootTime askedAt{};  // the member's stamp that it answers
  lease::Duration leaseDuration{};
};
struct HeartbeatResponse {  // answers a beat, or tells of a grant
  std::uint32_t members = 0;
  std::vector<LeaseGrant> granted;
  std::vector<std::pair<lease::LeaseKey, lease::Epoch>> lost;
};
struct ReleaseLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  bool failed = false;
};
struct TransferLease {  // the owner is to give it back as soon as it can
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
};
struct Command {
  lease::FencingToken token;
  bool retained = false;  // the last one of its key is given to those that join
  std::string body;
};
struct Leave {};  // a member stops and owns nothing any more; and the keeper's word that this is on the log

using Message =
    std::variant<JoinRequest, VoterHandshakeRequest, VoterHandshakeResponse, JoinResponse, NotLeader,
                 JoinRejected, Heartbeat, HeartbeatResponse, ReleaseLease, TransferLease, Command, Leave>;

struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Bytes = std::shared_ptr<const std::string>;  // one frame, shared by all the links it goes to

Bytes encode(const Message& message);      // with its length. Throws BadFrame past kFrameMost.
Message decode(std::string_view payload);  // without. Throws BadFrame.

}  // namespace cairnjunction::fleet
