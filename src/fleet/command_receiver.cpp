#include "fleet/command_receiver.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace cairnjunction::fleet {

using lease::FencingResult;

CommandReceiver::CommandReceiver(boost::asio::io_context& io, const std::string& folder, EventLog& log,
                                 Callbacks callbacks)
    : io_(io), log_(log), callbacks_(std::move(callbacks)), file_(folder) {
  // Without stored marks the gate accepts nothing until raiseMarks() is called with the leader's marks.
  if (const std::optional<FencingMarks> stored = file_.read()) {
    for (const auto& [key, mark] : *stored) durableMarks_[key] = mark.withoutLastCommand();
    gate_.raiseMarks(durableMarks_);
    storedMarkCount_ = durableMarks_.size();
  }
  if (file_.isEnabled()) diskThread_ = std::make_unique<boost::asio::thread_pool>(1);
}

CommandReceiver::~CommandReceiver() {
  if (diskThread_) diskThread_->join();
}

bool CommandReceiver::admitOwnCommand(const lease::FencingToken& token) {
  return gate_.admit(token) == FencingResult::accepted;
}

void CommandReceiver::receive(const Command& command) {
  const FencingResult result = gate_.admit(command.token);
  if (result == FencingResult::accepted) return applyWhenDurable(command);
  logRejection(command, result);
}

// If a command were applied and its mark lost in a crash, an older command could be accepted after the
// restart. So the mark is durable before the command is applied, or the command is not applied.
void CommandReceiver::applyWhenDurable(const Command& command) {
  if (!diskThread_) return apply(command);
  auto done = lifetime_.guard(
      [this](FencingFile::WriteResult result, const FencingMarks& marks, const Command& written) {
        if (result == FencingFile::WriteResult::failed) return onDiskFailure(written);
        durableMarks_ = marks;
        logNextDiskFailure_ = true;
        apply(written);
      });
  boost::asio::post(*diskThread_, [&io = io_, file = file_, marks = gate_.marks(), command,
                                   done = std::move(done)]() mutable {
    const FencingFile::WriteResult result = file.write(marks);
    boost::asio::post(io, [result, marks = std::move(marks), command = std::move(command),
                           done = std::move(done)]() mutable { done(result, marks, command); });
  });
}

void CommandReceiver::apply(const Command& command) {
  log_.writeCommand(Event::commandApplied, command.token);
  callbacks_.onCommand(command);
}

void CommandReceiver::onDiskFailure(const Command& command) {
  if (std::exchange(logNextDiskFailure_, false))
    log_.writeCommand(Event::commandNotApplied, command.token, {{"why", "the disk failed"}});
  gate_.rollBack(durableMarks_);
  callbacks_.onDiskFailure();
}

void CommandReceiver::logRejection(const Command& command, FencingResult result) {
  const lease::FencingToken& token = command.token;
  const auto mark = gate_.marks().find(token.key);
  const bool known = mark != gate_.marks().end();
  // The last command of a key is sent again whenever this member joins, so it is not logged.
  if (known && mark->second.epoch == token.epoch && mark->second.sequence == token.sequence) return;
  const bool hasCapacity = loggedRejectionEpochs_.contains(token.key) ||
                           loggedRejectionEpochs_.size() < lease::FencingGate::kMaxKeys;
  if (!hasCapacity || std::exchange(loggedRejectionEpochs_[token.key], token.epoch) == token.epoch) return;
  log_.writeCommand(Event::commandRejected, token,
                    {{"why", lease::nameOf(result)}, {"seen_epoch", known ? mark->second.epoch : 0}});
}

}  // namespace cairnjunction::fleet
