// The messages between members and coordinators. How they are written on the wire: frame.hpp.
//
// A member dials the coordinator that leads and sends JoinRequest; the answer is JoinResponse, NotLeader or
// JoinRejected. From then on Heartbeat and HeartbeatResponse carry the renewal of leases, and Commands of
// lease holders are forwarded by the leader to all other members. Coordinators exchange VoterHandshakeRequest
// and VoterHandshakeResponse before one of them votes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "consensus/voter_identity.hpp"
#include "lease/fencing_gate.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::fleet {

// Version of the messages; both sides of a link must have the same.
inline constexpr int kProtocol = 1;

// The fencing mark of each key, as receivers and their files keep them.
using FencingMarks = std::map<lease::LeaseKey, lease::FencingGate::FencingMark>;

// Member to coordinator, first on each link.
struct JoinRequest {
  int protocol = kProtocol;
  std::string fleet;     // the fleet's name by the member's fleet file
  lease::Member member;  // name and incarnation of the process
  std::string zone;      // may be empty
  bool eligible = true;  // whether it may be granted leases
};

// Coordinator to each other coordinator, first on the link, before it votes.
struct VoterHandshakeRequest {
  int protocol = kProtocol;
  std::string fleet;
  int number = 0;             // of the sender, by the fleet file
  consensus::VoterMark mark;  // of the sender's disk
};

// The answer to VoterHandshakeRequest.
struct VoterHandshakeResponse {
  int number = 0;             // of the coordinator that answers
  consensus::VoterMark mark;  // of its disk
  std::string rejection;      // empty: the sender may vote; otherwise why it must not
};

// Leader to member, once the member's `MemberJoined` is applied from the log.
struct JoinResponse {
  int coordinator = 0;        // number of the leader
  std::uint32_t members = 0;  // members that are connected, this one among them
  // Every epoch granted so far, each with the last sequence that its holder reported; without holders. A
  // member rejects commands below these.
  FencingMarks marks;
};

// Coordinator to member, at any time: this coordinator does not lead. The link ends after it.
struct NotLeader {
  int leader = 0;  // number of the coordinator that leads; 0: not known
};

// Coordinator to member or to coordinator, at any time: the peer does not belong here. The link ends after
// it.
struct JoinRejected {
  std::string reason;  // for people
};

// Member to leader, once each heartbeat interval, and sooner after a grant. Renews what the member holds.
struct Heartbeat {
  lease::BootTime sentAt{};  // by the member's clock, read before this was written; it comes back
  std::vector<lease::LeasesRenewed::Held> held;
};

// One lease in a HeartbeatResponse.
struct LeaseGrant {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  lease::Sequence sequence = 0;  // of the last command that the holder reported
  lease::BootTime askedAt{};     // Heartbeat::sentAt that it answers: the lease counts from there
  lease::Duration leaseDuration{};
};

// One lease that the receiver holds no longer.
struct LostLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  bool operator==(const LostLease&) const = default;
};

// Leader to member: the answer to a Heartbeat, or a new grant.
struct HeartbeatResponse {
  std::uint32_t members = 0;  // members that are connected
  std::vector<LeaseGrant> granted;
  std::vector<LostLease> lost;
};

// Lease holder to leader: it has stopped acting under this epoch.
struct ReleaseLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  bool failed = false;  // it can't do the task; it is granted again only after a backoff
};

// Leader to lease holder: it is to release the lease soon, so that another member is granted it.
struct TransferLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
};

// Lease holder to leader, and forwarded as it is by the leader to all other members.
struct Command {
  lease::FencingToken token;
  bool retained = false;  // the last one of its key is sent to members that join later
  std::string body;       // the meaning is the task's
};

// Member to leader: it stops, and holds nothing any more. Leader to member: that is on the log now.
struct Leave {};

// The place in this list is the kind on the wire: append only.
using Message =
    std::variant<JoinRequest, VoterHandshakeRequest, VoterHandshakeResponse, JoinResponse, NotLeader,
                 JoinRejected, Heartbeat, HeartbeatResponse, ReleaseLease, TransferLease, Command, Leave>;

}  // namespace cairnjunction::fleet
