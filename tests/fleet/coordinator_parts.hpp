// Fixture for tests of a coordinator's components: a scripted replicated log, and members connected through
// links on loopback.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/connection_table.hpp"
#include "fleet/event_log.hpp"
#include "fleet/lease_log.hpp"
#include "fleet/settings.hpp"
#include "net_peers.hpp"
#include "temporary_folder.hpp"

namespace cairnjunction::testing {

// A replicated log that commits proposals immediately, or when the test calls commitDeferred().
class ScriptedLog final : public consensus::ReplicatedLog {
 public:
  explicit ScriptedLog(consensus::StateMachine& machine) : machine_(machine) {}

  void propose(std::string entry, Done done) override {
    if (!leading) return done(false);
    if (deferCommits)
      return deferred_.push_back(
          [this, entry = std::move(entry), done = std::move(done)] { commit(entry, done); });
    commit(entry, done);
  }
  bool isLeader() const override { return leading; }
  int leader() const override { return leading ? 1 : 2; }
  void onLeadershipChange(std::function<void()> changed) override { changed_ = std::move(changed); }
  std::optional<std::string> pauseReason() const override { return pause; }
  void onPauseChange(std::function<void()> changed) override { pauseChanged_ = std::move(changed); }
  void stop(std::function<void()> done) override { done(); }

  void setLeader(bool isNow) {
    leading = isNow;
    if (changed_) changed_();
  }
  void setPause(std::optional<std::string> reason) {
    pause = std::move(reason);
    if (pauseChanged_) pauseChanged_();
  }
  // Commits the deferred proposals.
  void commitDeferred() {
    for (const auto& entry : std::exchange(deferred_, {})) entry();
  }

  bool leading = true;
  bool deferCommits = false;  // proposals wait for commitDeferred()
  int committedCount = 0;
  std::optional<std::string> pause;

 private:
  void commit(const std::string& entry, const Done& done) {
    ++committedCount;
    machine_.apply(entry);
    done(true);
  }

  consensus::StateMachine& machine_;
  std::function<void()> changed_;
  std::function<void()> pauseChanged_;
  std::vector<std::function<void()>> deferred_;
};

class CoordinatorPartsTest : public LoopTest {
 protected:
  struct Peer {
    fleet::PeerConnectionPtr connection;  // the coordinator's side
    std::shared_ptr<fleet::Link> link;    // the member's side
    std::vector<fleet::Message> received;
    std::optional<fleet::LinkEnd> end;

    // The received messages of type T, in order.
    template <class T>
    std::vector<T> receivedOf() const {
      std::vector<T> found;
      for (const fleet::Message& message : received)
        if (const T* typed = std::get_if<T>(&message)) found.push_back(*typed);
      return found;
    }
  };

  const lease::LeaseKey list{"list", 0};
  TemporaryFolder folder{"coordinator_parts"};
  fleet::EventLog events{folder.file("log"), fleet::EventLog::Role::coordinator, "1"};
  fleet::Settings settings = makeSettings();
  fleet::LeaseStateMachine machine;
  ScriptedLog replicated{machine};
  fleet::LeaseLog log{machine};
  fleet::ConnectionTable connections;
  std::map<std::string, Peer> peers;
  tcp::acceptor acceptor{io, loopback()};

  void SetUp() override {
    log.attach(replicated);
    log.onLeadershipAcquired();
  }
  void TearDown() override {
    connections.abandonAll();
    for (const auto& [name, peer] : peers)
      if (peer.link) peer.link->abandon();
    io.restart();
    io.poll();
  }

  static fleet::Settings makeSettings() {
    fleet::Settings settings;
    settings.fleet = "yard";
    settings.leaderSettleTime = std::chrono::milliseconds(0);
    lease::TaskSpec listTask;
    listTask.task = "list";
    lease::TaskSpec probeTask;
    probeTask.task = "probe";
    probeTask.shards = 4;
    settings.tasks = {listTask, probeTask};
    return settings;
  }
  // Adds a joined member that has sent a heartbeat, with a link between both sides.
  Peer& connect(const std::string& name) {
    Peer& peer = peers[name];
    peer.connection = std::make_shared<fleet::PeerConnection>();
    peer.connection->member = {name, 1};
    peer.connection->eligible = true;
    peer.connection->joined = true;
    peer.connection->lastHeartbeat = lease::BootTime(std::chrono::milliseconds(500));
    acceptor.async_accept([this, connection = peer.connection](error_code ec, tcp::socket socket) {
      ASSERT_FALSE(ec);
      connection->link = fleet::Link::accepted(
          io, std::move(socket), {},
          {nullptr, [](const fleet::Message&) {},
           [this, connection](fleet::LinkEnd, const std::string&) { connections.remove(connection); }});
    });
    peer.link = fleet::Link::dial(
        io, acceptor.local_endpoint(), {},
        {nullptr, [&peer](const fleet::Message& message) { peer.received.push_back(message); },
         [&peer](fleet::LinkEnd end, const std::string&) { peer.end = end; }});
    EXPECT_TRUE(until([&] { return peer.connection->link && peer.link->isConnected(); }));
    connections.add(peer.connection);
    connections.addMember(peer.connection);
    log.propose(lease::MemberJoined{peer.connection->member, ""}, [](const lease::ApplyResult&) {});
    return peer;
  }
  // Name of the current lease holder; empty if there is none.
  std::string holder(const lease::LeaseKey& key) const {
    const lease::LeaseRecord* record = log.table().find(key);
    return record && record->isHeldAt(log.now()) ? record->holder.name : "";
  }
};

}  // namespace cairnjunction::testing
