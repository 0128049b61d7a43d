// A member's side: its link to the keeper that leads, what it owns and for how long, and the gate that orders
// from others pass. Nothing here is waited for by whoever uses it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "common/callback_guard.hpp"
#include "fleet/event_log.hpp"
#include "fleet/fencing_file.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"
#include "lease/fencing_gate.hpp"
#include "lease/held_lease.hpp"

namespace cairnjunction::fleet {

class Member {
 public:
  // Waits before it dials again: doubled from the first to the last, drawn from half to the whole.
  static constexpr std::chrono::milliseconds kDialFirst{50}, kDialLast{2000};
  // After a change of leader all members come at once, but for this.
  static constexpr std::chrono::milliseconds kSpread{500};
  static constexpr std::chrono::milliseconds kLeaveMost{500};  // in a stop, for the keeper's word

  struct Events {
    // It owns the key from now on, or no longer; while it owns one, order() gives names.
    std::function<void(const lease::LeaseKey&, bool owns)> onLeaseChange = [](const lease::LeaseKey&, bool) {
    };
    // An order of another member (or of its own, by order()) that passed the gate: its effect is due now.
    std::function<void(const Command&)> onCommand = [](const Command&) {};
    // A keeper took it in, perhaps another one than before: it was not told the last orders.
    std::function<void()> onJoined = [] {};
    // Whether keepers are heard of changed: alone() says so.
    std::function<void()> onIsolationChange = [] {};
  };

  // Dials at once. Throws std::runtime_error if what its fence has seen can't be read.
  Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
         EventLog& journal);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Says something on behalf of the fleet: to all members, and to this one first. False: it does not own the
  // key, or is not connected; then nobody was told, this one neither. `keep`: also to those that join later.
  bool sendCommand(const lease::LeaseKey& key, std::string body, bool keep);
  bool holds(const lease::LeaseKey& key) const;
  void release(const lease::LeaseKey& key, bool failed);
  // Gives back all it owns, for good, and goes on hearing orders; `done` once the keeper knows, or after
  // kLeaveMost.
  void leave(std::function<void()> done);

  bool isIsolated() const { return alone_; }  // no keeper was heard of for the settings' time
  bool hasJoined() const { return joined_; }
  std::uint32_t memberCount() const {
    return members_;
  }  // as the keeper said last; at first as the settings expect
  const lease::Member& self() const { return self_; }
  const lease::FencingGate& fencingGate() const { return fence_; }
  std::uint64_t rejectedCommands() const { return fence_.rejectedCount(); }
  const std::string& lastLinkEnd() const { return lastEnd_; }  // why the last link ended

 private:
  void dial();
  void dialLater(std::chrono::milliseconds most);
  void heard(const Message& message);
  void on(const JoinResponse& welcome);
  void on(const HeartbeatResponse& pulse);
  void on(const Command& order);
  void on(const TransferLease& word);
  void ended(LinkEnd end, const std::string& why);
  void beat();
  void beatAt(lease::BootTime at);
  void granted(const LeaseGrant& grant);
  void lost(const lease::LeaseKey& key, lease::Epoch epoch, const char* why);
  void left();
  void watchTenures();
  void heardKeeper();
  void watchAlone();
  void keepThen(Command order);
  void diskFailed(const Command& order);
  std::chrono::milliseconds drawn(std::chrono::milliseconds least, std::chrono::milliseconds most);

  boost::asio::io_context& io_;
  const Settings settings_;
  const lease::Member self_;
  Events events_;
  EventLog& journal_;
  FencingFile file_;
  lease::FencingGate fence_;
  std::map<lease::LeaseKey, lease::FencingGate::FencingMark> durable_;  // what of it is on the disk
  std::unique_ptr<boost::asio::thread_pool> disk_;  // its one thread waits for the disk; null: no disk
  std::map<lease::LeaseKey, lease::HeldLease> tenures_;
  std::map<lease::LeaseKey, lease::Epoch> active_;  // told by events_.duty, under this epoch
  std::shared_ptr<Link> link_;
  boost::asio::steady_timer dialTimer_, beatTimer_, tenureTimer_, aloneTimer_, leaveTimer_;
  std::mt19937_64 random_;
  std::size_t nextKeeper_ = 0;
  int dialling_ = 0;  // keeper's number
  int hinted_ = 0;    // who leads, by another keeper's word
  int failures_ = 0;  // links on end that did not join
  bool joined_ = false, alone_ = false, leaving_ = false;
  bool tellsDisk_ = true;                                // a failing disk is told once
  std::map<lease::LeaseKey, lease::Epoch> toldRefused_;  // a refusal is told once for each old epoch
  lease::BootTime heardAt_{};
  std::uint32_t members_;
  std::string lastEnd_;
  std::function<void()> left_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet
