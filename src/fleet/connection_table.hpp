// Who is connected to a coordinator: all links that were accepted, and by name those members that it admits
// or has admitted.
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

// One accepted link, of a member or of another coordinator.
struct PeerConnection {
  std::shared_ptr<Link> link;
  lease::Member member;   // no name: no JoinRequest has come
  std::string zone;       // by the JoinRequest
  bool eligible = false;  // may be granted leases; false again once it leaves
  bool joined = false;    // its JoinResponse was sent
  bool ended = false;     // the link has ended; kept only by callbacks that still run
  // Heartbeat::sentAt of its last heartbeat (the member's clock). A lease counts from it, so a member is
  // granted nothing before its first heartbeat.
  std::optional<lease::BootTime> lastHeartbeat;

  bool canBeGranted() const { return joined && eligible && lastHeartbeat; }
};
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

class ConnectionTable {
 public:
  // Each member has one link, and during a change of leader two for a moment.
  static constexpr std::size_t kMaxConnections = 4096;

  bool isFull() const { return all_.size() >= kMaxConnections; }
  void add(const PeerConnectionPtr& connection) { all_.insert(connection); }
  // Under its member's name, which replaces a former connection of that name.
  void addMember(const PeerConnectionPtr& connection) { members_[connection->member.name] = connection; }
  // The link has ended. True: it was the connection under its member's name.
  bool remove(const PeerConnectionPtr& connection);

  // Null: there is none under this name.
  PeerConnectionPtr findMember(const std::string& name) const;
  // Null: this process is not connected, or has not joined yet.
  PeerConnectionPtr findJoined(const lease::Member& member) const;
  // Joined or about to join.
  const std::map<std::string, PeerConnectionPtr>& members() const { return members_; }
  // Copies, since sending may end a link, which removes it.
  std::vector<PeerConnectionPtr> all() const { return {all_.begin(), all_.end()}; }
  std::vector<PeerConnectionPtr> joined() const;

  // The count that members are told of.
  std::uint32_t memberCount() const { return static_cast<std::uint32_t>(members_.size()); }

  // Sends to all, and ends their links once it is written.
  void finishAll(const Message& last, LinkEnd end) const;
  // Ends all links without a call to their callbacks.
  void abandonAll() const;

 private:
  std::set<PeerConnectionPtr> all_;                   // whose link has not ended; at most kMaxConnections
  std::map<std::string, PeerConnectionPtr> members_;  // by member's name; each is in all_
};

}  // namespace cairnjunction::fleet
