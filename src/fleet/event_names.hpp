// The names of the events in the structured log, in one place: members and coordinators write them,
// operators' pages list them (docs/operators/fleet.md), and the lab's checker reads them.
#pragma once

#include <cstdint>
#include <string_view>

namespace cairnjunction::fleet {

enum class Event : std::uint8_t {
  // Of members.
  started,            // the process began, with its incarnation
  joined,             // a leader admitted it
  linkEnded,          // its link to a coordinator ended, and how
  isolated,           // nothing came from a leader for Settings::isolatedAfter
  isolationEnded,     // a leader has answered again
  leaseAcquired,      // it holds a lease from now on, under this epoch
  leaseEnded,         // it holds it no longer, and why
  commandSent,        // as lease holder
  commandApplied,     // it passed the fencing gate, and its effect is due
  commandNotApplied,  // its mark could not be written to the disk
  commandRejected,    // by the fencing gate; once for each epoch of a key
  listReceived,       // from discovery, by a call of its own
  listAccepted,       // from the lease holder
  listRejected,       // from the lease holder; older than what it has
  listInvalid,        // from the lease holder; can't be read
  // Of coordinators.
  leadershipAcquired,
  leadershipLost,
  memberJoined,
  memberLeft,
  memberLinkEnded,
  leaseGranted,
  leaseReleased,
  votingPaused,  // its disk fails, or is far behind
  votingResumed,
  joinRejected,       // a member or coordinator that does not belong here
  voterAccepted,      // the answer to another coordinator's handshake: it may vote
  voterRejected,      // it must not
  handshakeRejected,  // this coordinator's own handshake, by another one, or its peer by this one
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
    case Event::commandApplied: return "command-applied";
    case Event::commandNotApplied: return "command-not-applied";
    case Event::commandRejected: return "command-rejected";
    case Event::listReceived: return "list-received";
    case Event::listAccepted: return "list-accepted";
    case Event::listRejected: return "list-rejected";
    case Event::listInvalid: return "list-invalid";
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
