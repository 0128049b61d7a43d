// Receives commands: each must pass the fencing gate and is applied only after the gate's mark is durable.
// The marks are written on a separate thread, because the event loop serves calls and must not block on the
// disk.
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
    std::function<void(const Command&)> onCommand;  // to be applied now
    // The mark of an accepted command could not be written. The command is not applied and its mark is rolled
    // back, so the command must be sent again.
    std::function<void()> onDiskFailure;
  };

  // `folder` is where the marks are stored; if it is empty they are not stored. Throws std::runtime_error if
  // stored marks can't be read.
  CommandReceiver(boost::asio::io_context& io, const std::string& folder, EventLog& log, Callbacks callbacks);
  ~CommandReceiver();  // blocks until pending writes are finished
  CommandReceiver(const CommandReceiver&) = delete;
  CommandReceiver& operator=(const CommandReceiver&) = delete;

  // Raises the fencing marks to those in the leader's JoinResponse. Until this is called or stored marks were
  // read, every command is rejected.
  void raiseMarks(const FencingMarks& marks) { gate_.raiseMarks(marks); }
  // Handles a command from a link: applies it, or logs why the fencing gate rejects it.
  void receive(const Command& command);
  // Passes one of this member's own commands through the gate before it is sent. Returns false if the gate
  // rejects it; it must not be sent then.
  [[nodiscard]] bool admitOwnCommand(const lease::FencingToken& token);
  // Applies an own command that admitOwnCommand() accepted and that was sent.
  void applyOwnCommand(const Command& command) { applyWhenDurable(command); }

  // Number of keys whose marks were read from the disk at startup.
  std::size_t storedMarkCount() const { return storedMarkCount_; }
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
  FencingMarks durableMarks_;  // the gate's marks that are on the disk
  std::size_t storedMarkCount_ = 0;
  bool logNextDiskFailure_ = true;  // false from a failed write until the next successful one
  // By key: the last epoch for which a rejection was logged, so that each epoch is logged once.
  std::map<lease::LeaseKey, lease::Epoch> loggedRejectionEpochs_;
  std::unique_ptr<boost::asio::thread_pool> diskThread_;  // one thread; null if marks are not stored
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet
