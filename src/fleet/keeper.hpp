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

#include "agreement/identity.hpp"
#include "agreement/log.hpp"
#include "fleet/journal.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"
#include "lifetime.hpp"

namespace cairnjunction::fleet {

// The registry on the log.
class RegistryMachine final : public agreement::Machine {
 public:
  void apply(std::string_view entry) override;
  std::string snapshot() const override { return registry_.snapshot(); }
  void restore(std::string_view bytes) override { registry_.restore(bytes); }

  const duty::Registry& registry() const { return registry_; }
  const duty::Outcome& last() const { return last_; }  // of the entry that was applied just now

 private:
  duty::Registry registry_;
  duty::Outcome last_;
};

class Keeper {
 public:
  // Connections that may stand; each member has one, and in a change of keepers two for a moment.
  static constexpr std::size_t kLinksMost = 4096;
  // Bytes of orders kept for members that join later, over all duties.
  static constexpr std::size_t kKeptMost = 16 << 20;

  // Listens at once. Throws boost::system::system_error.
  Keeper(boost::asio::io_context& io, const Settings& settings, int number, agreement::Identity& identity,
         RegistryMachine& machine, Journal& journal);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  // From now on it serves members, when it leads. The log outlives it, or it is given none again.
  void serve(agreement::Log& log);
  // Sends members to whoever leads next.
  void stop();

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  bool leads() const { return log_ && log_->leads(); }
  // What operators ask; `handOver` says whether its owner was asked for it.
  nlohmann::json status() const;
  nlohmann::json duties() const;
  bool handOver(const duty::Key& key);

 private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;
  struct Kept {
    duty::OrderId id;
    Bytes frame;
  };

  void accept();
  void heard(const SessionPtr& session, const Message& message);
  void ended(const SessionPtr& session, LinkEnd end, const std::string& why);
  void turnAway(const SessionPtr& session, const std::string& why);
  void on(const SessionPtr& session, const Hello& hello);
  void on(const SessionPtr& session, const KeeperHello& hello);
  void on(const SessionPtr& session, const Beat& beat);
  void on(const SessionPtr& session, const GiveBack& back);
  void on(const SessionPtr& session, const Order& order);
  void on(const SessionPtr& session, const Leave& leave);
  void welcome(const SessionPtr& session);
  void leadChanged();
  void turn();
  void grantWhatIsFree();
  void spread();
  void propose(duty::Change change, std::function<void(const duty::Outcome&)> done);
  duty::Time logNow() const;
  SessionPtr sessionOf(const duty::Member& member) const;

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;
  agreement::Identity& identity_;
  RegistryMachine& machine_;
  Journal& journal_;
  agreement::Log* log_ = nullptr;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer turnTimer_, acceptAgain_;
  std::set<SessionPtr> sessions_;
  std::map<std::string, SessionPtr> members_;  // joined, by name
  std::set<duty::Key> granting_;               // on their way to the log
  std::map<duty::Key, Kept> kept_;
  std::size_t keptBytes_ = 0;
  bool leading_ = false, stopping_ = false;
  duty::Time base_{}, baseAt_{}, spreadAt_{};  // the log's time when it began to lead, and its clock then
  std::uint64_t orders_ = 0, turnedAway_ = 0;
  Lifetime lifetime_;
};

}  // namespace cairnjunction::fleet
