// The receiving side of commands: each passes the fencing gate, and has its effect only once the gate's mark
// is on the disk. The disk is waited for by a thread of its own, since the event loop serves calls.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/callback_guard.hpp"
#include "fleet/event_log.hpp"
#include "fleet/fencing_file.hpp"
#include "fleet/messages.hpp"
#include "lease/fencing_gate.hpp"

namespace cairnjunction::fleet {

class CommandReceiver {
 public:
  struct Callbacks {
    std::function<void(const Command&)> onCommand;  // its effect is due now
    // A command that the gate had accepted has no effect, and its mark was taken back: it must be sent again.
    std::function<void()> onDiskFailure;
  };

  // `folder`: for the marks; empty: they are not stored. Throws std::runtime_error if there are marks that
  // can't be read.
  CommandReceiver(boost::asio::io_context& io, const std::string& folder, EventLog& log, Callbacks callbacks);
  ~CommandReceiver();  // waits for the disk
  CommandReceiver(const CommandReceiver&) = delete;
  CommandReceiver& operator=(const CommandReceiver&) = delete;

  // Raises the fencing marks to those of the leader's JoinResponse.
  void learn(const FencingMarks& marks) { gate_.learn(marks); }
  // A command of another member, or of this one by another link.
  void receive(const Command& command);
  // A command of this member, before it is sent. False: the gate rejects it, and it must not be sent.
  [[nodiscard]] bool admitOwn(const lease::FencingToken& token);
  // The same command once it was sent: its effect here.
  void applyOwn(const Command& command) { applyWhenDurable(command); }

  // Keys whose marks were on the disk at the start.
  std::size_t storedMarks() const { return storedMarks_; }
  const lease::FencingGate& gate() const { return gate_; }

 private:
  void applyWhenDurable(const Command& command);
  void apply(const Command& command);
  void onDiskFailure(const Command& command);
  void logRejection(const Command& command, lease::FencingResult result);

  boost::asio::io_context& io_;
  EventLog& log_;
  Callbacks callbacks_;
  const FencingFile file_;
  lease::FencingGate gate_;
  FencingMarks durableMarks_;  // what of the gate's marks is on the disk
  std::size_t storedMarks_ = 0;
  bool logsDiskFailure_ = true;  // false between a failure and the next success
  // The last epoch of each key for which a rejection was logged.
  std::map<lease::LeaseKey, lease::Epoch> loggedRejections_;
  std::unique_ptr<boost::asio::thread_pool> diskThread_;  // one thread; null: nothing is stored
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet
