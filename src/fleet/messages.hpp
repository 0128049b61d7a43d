// The messages between members and coordinators, and among coordinators. frame.hpp encodes them.
// A member dials the leader and sends JoinRequest; the response is JoinResponse, NotLeader or JoinRejected.
// Once joined, leases are renewed by Heartbeat and HeartbeatResponse, and the leader forwards Commands of
// lease holders to all other members. A coordinator exchanges VoterHandshakeRequest and
// VoterHandshakeResponse with each other coordinator before it votes.
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

// Protocol version; both sides of a link must have the same.
inline constexpr int kProtocol = 1;

// The fencing mark of each key, as receivers store them.
using FencingMarks = std::map<lease::LeaseKey, lease::FencingGate::FencingMark>;

// Member to coordinator: the first message on each link.
struct JoinRequest {
  int protocol = kProtocol;
  std::string fleet;     // the fleet's name in the member's fleet file
  lease::Member member;  // name and incarnation of the process
  std::string zone;      // may be empty
  bool eligible = true;  // whether it may be granted leases
};

// Coordinator to another coordinator, before it votes: the first message on the link.
struct VoterHandshakeRequest {
  int protocol = kProtocol;
  std::string fleet;
  int number = 0;             // of the sender in the fleet file
  consensus::VoterMark mark;  // identifies the sender's disk
};

// The response to VoterHandshakeRequest.
struct VoterHandshakeResponse {
  int number = 0;             // of the responding coordinator
  consensus::VoterMark mark;  // identifies its disk
  std::string rejection;      // why the requester must not vote; empty if it may
};

// Leader to member, after the member's `MemberJoined` was applied from the log.
struct JoinResponse {
  int coordinator = 0;        // number of the leader
  std::uint32_t members = 0;  // connected members, including the receiver
  // The latest epoch granted for each key and the last sequence that its holder reported, less one: that last
  // command is still accepted. The holders are empty. A member rejects commands that don't exceed these
  // marks.
  FencingMarks marks;
};

// Coordinator to member, at any time: this coordinator does not lead. It is the last message on the link.
struct NotLeader {
  int leader = 0;  // number of the leader; 0 if unknown
};

// Coordinator to member or to coordinator, at any time: the peer is rejected. It is the last message on the
// link.
struct JoinRejected {
  std::string reason;  // human-readable
};

// Member to leader, every heartbeat interval and right after a grant. Asks to renew the leases in `held`.
struct Heartbeat {
  lease::BootTime sentAt{};  // the member's boot clock, read before sending; returned in LeaseGrant
  std::vector<lease::LeasesRenewed::HeldKey> held;
};

// A granted or renewed lease in a HeartbeatResponse.
struct LeaseGrant {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  lease::Sequence sequence = 0;       // of the last command that the holder reported
  lease::BootTime heartbeatSentAt{};  // Heartbeat::sentAt of the heartbeat that the lease is measured from
  lease::Duration leaseDuration{};
};

// A lease that the receiver no longer holds.
struct LostLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  bool operator==(const LostLease&) const = default;
};

// Leader to member: the response to a Heartbeat, or a new grant.
struct HeartbeatResponse {
  std::uint32_t members = 0;  // connected members
  std::vector<LeaseGrant> granted;
  std::vector<LostLease> lost;
};

// Lease holder to leader: the sender has stopped acting under this epoch.
struct ReleaseLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
  bool failed = false;  // the sender can't do the task; it is granted the lease again only after a backoff
};

// Leader to lease holder: release the lease, so that another member can be granted it.
struct TransferLease {
  lease::LeaseKey key;
  lease::Epoch epoch = 0;
};

// Lease holder to leader, which forwards it unchanged to all other members.
struct Command {
  lease::FencingToken token;
  bool retained = false;  // the last retained command of a key is also sent to members that join later
  std::string body;       // interpreted by the task
};

// Member to leader: the sender leaves and holds no lease any more. Leader to member: acknowledges that the
// leave was applied from the log.
struct Leave {};

// A message's index in this list is its kind on the wire: append only.
using Message =
    std::variant<JoinRequest, VoterHandshakeRequest, VoterHandshakeResponse, JoinResponse, NotLeader,
                 JoinRejected, Heartbeat, HeartbeatResponse, ReleaseLease, TransferLease, Command, Leave>;

}  // namespace cairnjunction::fleet
