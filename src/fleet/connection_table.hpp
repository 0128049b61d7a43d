// The connections of a coordinator: all accepted links, and an index by name of the members that have joined
// or are being admitted.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/link.hpp"
#include "lease/lease_assigner.hpp"

namespace cairnjunction::fleet {

// An accepted link from a member or from another coordinator.
struct PeerConnection {
  std::shared_ptr<Link> link;
  lease::Member member;   // the name is empty until a JoinRequest arrives
  std::string zone;       // from the JoinRequest
  bool eligible = false;  // may be granted leases; false again after Leave
  bool joined = false;    // JoinResponse was sent
  bool ended = false;     // the link has ended; only pending callbacks refer to it
  // Heartbeat::sentAt of the last heartbeat, by the member's boot clock. A lease's duration is measured from
  // it, so a member is granted no lease before its first heartbeat.
  std::optional<lease::BootTime> lastHeartbeat;

  bool canReceiveLeases() const { return joined && eligible && lastHeartbeat; }
};
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

class ConnectionTable {
 public:
  // Each member has one link, and briefly two while the leader changes.
  static constexpr std::size_t kMaxConnections = 4096;

  bool isFull() const { return all_.size() >= kMaxConnections; }
  void add(const PeerConnectionPtr& connection) { all_.insert(connection); }
  // Indexes the connection by its member's name and replaces an earlier connection of that name.
  void addMember(const PeerConnectionPtr& connection) { members_[connection->member.name] = connection; }
  // Removes a connection whose link has ended. Returns whether it was the one indexed by its member's name.
  bool remove(const PeerConnectionPtr& connection);

  // Returns null if no member of this name is indexed.
  PeerConnectionPtr findMember(const std::string& name) const;
  // Returns null unless this very process (name and incarnation) has joined.
  PeerConnectionPtr findJoined(const lease::Member& member) const;
  // By name: the members that have joined or are being admitted.
  const std::map<std::string, PeerConnectionPtr>& members() const { return members_; }
  // Returned as copies, because sending can end a link, which removes its connection from the table.
  std::vector<PeerConnectionPtr> all() const { return {all_.begin(), all_.end()}; }
  std::vector<PeerConnectionPtr> joined() const;

  // Number of members, as sent to the members.
  std::uint32_t memberCount() const { return static_cast<std::uint32_t>(members_.size()); }

  // Sends `last` on all links and ends each with `end` after it is written.
  void finishAll(const Message& last, LinkEnd end) const;
  // Ends all links without calling their callbacks.
  void abandonAll() const;

 private:
  std::set<PeerConnectionPtr> all_;  // with links that have not ended; at most kMaxConnections
  std::map<std::string, PeerConnectionPtr> members_;  // by member name; a subset of all_
};

}  // namespace cairnjunction::fleet
