#include "fleet/connection_table.hpp"

namespace cairnjunction::fleet {

bool ConnectionTable::remove(const PeerConnectionPtr& connection) {
  connection->ended = true;
  all_.erase(connection);
  const auto it = members_.find(connection->member.name);
  if (it == members_.end() || it->second != connection) return false;
  members_.erase(it);
  return true;
}

PeerConnectionPtr ConnectionTable::findMember(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : it->second;
}

PeerConnectionPtr ConnectionTable::findJoined(const lease::Member& member) const {
  const PeerConnectionPtr connection = findMember(member.name);
  return connection && connection->joined && connection->member == member ? connection : nullptr;
}

std::vector<PeerConnectionPtr> ConnectionTable::joined() const {
  std::vector<PeerConnectionPtr> connections;
  for (const auto& [name, connection] : members_)
    if (connection->joined) connections.push_back(connection);
  return connections;
}

void ConnectionTable::finishAll(const Message& last, LinkEnd end) const {
  for (const PeerConnectionPtr& connection : all()) {
    connection->link->send(last);
    connection->link->finish(end);
  }
}

void ConnectionTable::abandonAll() const {
  for (const PeerConnectionPtr& connection : all_) connection->link->abandon();
}

}  // namespace cairnjunction::fleet
