// The keepers' side of the links: greets other keepers before any of them votes, and, on the one that leads,
// knows the members, renews and grants their duties through the log, and passes orders on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "common/callback_guard.hpp"
#include "consensus/replicated_log.hpp"
#include "consensus/voter_identity.hpp"
#include "fleet/event_log.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

// The registry on the log.
class LeaseStateMachine final : public consensus::StateMachine {
 public:
  void apply(std::string_view entry) override;
  std::string snapshot() const override { return registry_.snapshot(); }
  void restore(std::string_view bytes) override { registry_.restore(bytes); }

  const lease::LeaseTable& registry() const { return registry_; }
  const lease::ApplyResult& last() const { return last_; }  // of the entry that was applied just now

 private:
  lease::LeaseTable registry_;
  lease::ApplyResult last_;
};

class Coordinator {
 public:
  // Connections that may stand; each member has one, and in a change of keepers two for a moment.
  static constexpr std::size_t kLinksMost = 4096;
  // Bytes of orders kept for members that join later, over all duties.
  static constexpr std::size_t kKeptMost = 16 << 20;

  // Listens at once. Throws boost::system::system_error.
  Coordinator(boost::asio::io_context& io, const Settings& settings, int number,
              consensus::VoterIdentity& identity, LeaseStateMachine& machine, EventLog& journal);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  // From now on it serves members, when it leads. The log outlives it, or it is given none again.
  void serve(consensus::ReplicatedLog& log);
  // Sends members to whoever leads next.
  void stop();

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  bool isLeader() const { return log_ && log_->isLeader(); }
  // What operators ask; `handOver` says whether its owner was asked for it.
  nlohmann::json status() const;
  nlohmann::json leases() const;
  bool transfer(const lease::LeaseKey& key);

 private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;
  struct Kept {
    lease::FencingToken id;
    Bytes frame;
  };

  void accept();
  void heard(const SessionPtr& session, const Message& message);
  void ended(const SessionPtr& session, LinkEnd end, const std::string& why);
  void turnAway(const SessionPtr& session, const std::string& why);
  void on(const SessionPtr& session, const JoinRequest& hello);
  void on(const SessionPtr& session, const VoterHandshakeRequest& hello);
  void on(const SessionPtr& session, const Heartbeat& beat);
  void on(const SessionPtr& session, const ReleaseLease& back);
  void on(const SessionPtr& session, const Command& order);
  void on(const SessionPtr& session, const Leave& leave);
  void welcome(const SessionPtr& session);
  void leadChanged();
  void turn();
  void grantWhatIsFree();
  void spread();
  void propose(lease::Change change, std::function<void(const lease::ApplyResult&)> done);
  lease::LogTime logNow() const;
  SessionPtr sessionOf(const lease::Member& member) const;

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;
  consensus::VoterIdentity& identity_;
  LeaseStateMachine& machine_;
  EventLog& journal_;
  consensus::ReplicatedLog* log_ = nullptr;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer turnTimer_, acceptAgain_;
  std::set<SessionPtr> sessions_;
  std::map<std::string, SessionPtr> members_;  // joined, by name
  std::set<lease::LeaseKey> granting_;         // on their way to the log
  std::map<lease::LeaseKey, Kept> kept_;
  std::size_t keptBytes_ = 0;
  bool leading_ = false, stopping_ = false;
  lease::LogTime base_{};      // when it began to lead,
  lease::BootTime baseAt_{};   // and its clock then
  lease::LogTime spreadAt_{};  // no key is moved before
  std::uint64_t orders_ = 0, turnedAway_ = 0;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet
