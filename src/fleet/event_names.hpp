// The names of the events in the structured log. Members and coordinators write them, operators'
// documentation lists them (docs/operators/fleet.md), and the lab's checker reads them.
#pragma once

#include <cstdint>
#include <string_view>

namespace cairnjunction::fleet {

enum class Event : std::uint8_t {
  // Logged by members:
  started,            // the process started; the line has its incarnation
  joined,             // a leader admitted the member
  linkEnded,          // the link to a coordinator ended; the line has the LinkEnd
  isolated,           // no contact with a leader for Settings::isolatedAfter
  isolationEnded,     // a leader responds again
  leaseAcquired,      // the member holds a lease from now on; the line has the epoch
  leaseEnded,         // the member no longer holds a lease; the line has the reason
  commandSent,        // the member sent a command as lease holder
  commandTooLarge,    // a command does not fit into a frame, so it is not sent
  commandApplied,     // a command passed the fencing gate and is applied
  commandNotApplied,  // the command's fencing mark could not be written to the disk
  commandRejected,    // rejected by the fencing gate; logged once per key and epoch
  listReceived,       // endpoint list from the member's own call of discovery
  listAccepted,       // endpoint list from the lease holder
  listRejected,       // endpoint list from the lease holder that is older than the current one
  listInvalid,        // endpoint list from the lease holder that can't be parsed; logged once per epoch
  reportInvalid,      // probe report from the shard's lease holder, likewise
  // Logged by coordinators:
  leadershipAcquired,
  leadershipLost,
  memberJoined,
  memberLeft,
  memberLinkEnded,
  leaseGranted,
  leaseReleased,
  votingPaused,  // the voter's disk fails or has fallen far behind
  votingResumed,
  joinRejected,   // a member or coordinator was rejected; the line has the reason
  voterAccepted,  // another coordinator's handshake was accepted: it may vote
  voterRejected,  // another coordinator's handshake was rejected: it must not vote
  // This coordinator's handshake failed: it or the peer rejected the other, or the peer's mark could not be
  // stored.
  handshakeRejected,
  votingStarted
};

constexpr std::string_view nameOf(Event event) {
  switch (event) {
    case Event::started: return "started";
    case Event::joined: return "joined";
    case Event::linkEnded: return "link-ended";
    case Event::isolated: return "isolated";
    case Event::isolationEnded: return "isolation-ended";
    case Event::leaseAcquired: return "lease-acquired";
    case Event::leaseEnded: return "lease-ended";
    case Event::commandSent: return "command-sent";
    case Event::commandTooLarge: return "command-too-large";
    case Event::commandApplied: return "command-applied";
    case Event::commandNotApplied: return "command-not-applied";
    case Event::commandRejected: return "command-rejected";
    case Event::listReceived: return "list-received";
    case Event::listAccepted: return "list-accepted";
    case Event::listRejected: return "list-rejected";
    case Event::listInvalid: return "list-invalid";
    case Event::reportInvalid: return "report-invalid";
    case Event::leadershipAcquired: return "leadership-acquired";
    case Event::leadershipLost: return "leadership-lost";
    case Event::memberJoined: return "member-joined";
    case Event::memberLeft: return "member-left";
    case Event::memberLinkEnded: return "member-link-ended";
    case Event::leaseGranted: return "lease-granted";
    case Event::leaseReleased: return "lease-released";
    case Event::votingPaused: return "voting-paused";
    case Event::votingResumed: return "voting-resumed";
    case Event::joinRejected: return "join-rejected";
    case Event::voterAccepted: return "voter-accepted";
    case Event::voterRejected: return "voter-rejected";
    case Event::handshakeRejected: return "handshake-rejected";
    case Event::votingStarted: return "voting-started";
  }
  return "";
}

}  // namespace cairnjunction::fleet
