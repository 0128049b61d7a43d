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

#include "duty/fence.hpp"
#include "duty/tenure.hpp"
#include "fleet/fence_file.hpp"
#include "fleet/journal.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"
#include "lifetime.hpp"

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
    std::function<void(const duty::Key&, bool owns)> duty = [](const duty::Key&, bool) {};
    // An order of another member (or of its own, by order()) that passed the gate: its effect is due now.
    std::function<void(const Order&)> order = [](const Order&) {};
    // A keeper took it in, perhaps another one than before: it was not told the last orders.
    std::function<void()> joined = [] {};
    // Whether keepers are heard of changed: alone() says so.
    std::function<void()> alone = [] {};
  };

  // Dials at once. Throws std::runtime_error if what its fence has seen can't be read.
  Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
         Journal& journal);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Says something on behalf of the fleet: to all members, and to this one first. False: it does not own the
  // key, or is not connected; then nobody was told, this one neither. `keep`: also to those that join later.
  bool order(const duty::Key& key, std::string body, bool keep);
  bool owns(const duty::Key& key) const;
  void giveBack(const duty::Key& key, bool failed);
  // Gives back all it owns, for good, and goes on hearing orders; `done` once the keeper knows, or after
  // kLeaveMost.
  void leave(std::function<void()> done);

  bool alone() const { return alone_; }  // no keeper was heard of for the settings' time
  bool joined() const { return joined_; }
  std::uint32_t members() const {
    return members_;
  }  // as the keeper said last; at first as the settings expect
  const duty::Member& self() const { return self_; }
  const duty::Fence& fence() const { return fence_; }
  std::uint64_t refusedOrders() const { return fence_.refused(); }
  const std::string& lastEnd() const { return lastEnd_; }  // why the last link ended

 private:
  void dial();
  void dialLater(std::chrono::milliseconds most);
  void heard(const Message& message);
  void on(const Welcome& welcome);
  void on(const Pulse& pulse);
  void on(const Order& order);
  void on(const HandOver& word);
  void ended(LinkEnd end, const std::string& why);
  void beat();
  void beatAt(duty::Time at);
  void granted(const Grant& grant);
  void lost(const duty::Key& key, duty::Epoch epoch, const char* why);
  void left();
  void watchTenures();
  void heardKeeper();
  void watchAlone();
  void keepThen(Order order);
  void diskFailed(const Order& order);
  std::chrono::milliseconds drawn(std::chrono::milliseconds least, std::chrono::milliseconds most);

  boost::asio::io_context& io_;
  const Settings settings_;
  const duty::Member self_;
  Events events_;
  Journal& journal_;
  FenceFile file_;
  duty::Fence fence_;
  std::map<duty::Key, duty::Fence::Mark> durable_;  // what of it is on the disk
  std::unique_ptr<boost::asio::thread_pool> disk_;  // its one thread waits for the disk; null: no disk
  std::map<duty::Key, duty::Tenure> tenures_;
  std::map<duty::Key, duty::Epoch> active_;  // told by events_.duty, under this epoch
  std::shared_ptr<Link> link_;
  boost::asio::steady_timer dialTimer_, beatTimer_, tenureTimer_, aloneTimer_, leaveTimer_;
  std::mt19937_64 random_;
  std::size_t nextKeeper_ = 0;
  int dialling_ = 0;  // keeper's number
  int hinted_ = 0;    // who leads, by another keeper's word
  int failures_ = 0;  // links on end that did not join
  bool joined_ = false, alone_ = false, leaving_ = false;
  bool tellsDisk_ = true;                         // a failing disk is told once
  std::map<duty::Key, duty::Epoch> toldRefused_;  // a refusal is told once for each old epoch
  duty::Time heardAt_{};
  std::uint32_t members_;
  std::string lastEnd_;
  std::function<void()> left_;
  Lifetime lifetime_;
};

}  // namespace cairnjunction::fleet
