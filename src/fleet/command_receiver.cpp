#include "fleet/command_receiver.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace cairnjunction::fleet {

using lease::FencingResult;

CommandReceiver::CommandReceiver(boost::asio::io_context& io, const std::string& folder, EventLog& log,
                                 Callbacks callbacks)
    : io_(io), log_(log), callbacks_(std::move(callbacks)), file_(folder) {
  // Without a file the gate accepts nothing until the leader has said how far the fleet has come.
  if (const std::optional<FencingMarks> stored = file_.read()) {
    for (const auto& [key, mark] : *stored) durableMarks_[key] = mark.withoutLastCommand();
    gate_.learn(durableMarks_);
    storedMarks_ = durableMarks_.size();
  }
  if (file_.isEnabled()) diskThread_ = std::make_unique<boost::asio::thread_pool>(1);
}

CommandReceiver::~CommandReceiver() {
  if (diskThread_) diskThread_->join();
}

bool CommandReceiver::admitOwn(const lease::FencingToken& token) {
  return gate_.admit(token) == FencingResult::accepted;
}

void CommandReceiver::receive(const Command& command) {
  const FencingResult result = gate_.admit(command.token);
  if (result == FencingResult::accepted) return applyWhenDurable(command);
  logRejection(command, result);
}

// A command whose mark were lost in a crash after its effect could be followed by an older one. So the mark
// is on the disk before the effect, or there is no effect.
void CommandReceiver::applyWhenDurable(const Command& command) {
  if (!diskThread_) return apply(command);
  auto done = lifetime_.guard(
      [this](FencingFile::WriteResult result, const FencingMarks& marks, const Command& written) {
        if (result == FencingFile::WriteResult::failed) return onDiskFailure(written);
        durableMarks_ = marks;
        logsDiskFailure_ = true;
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
  if (std::exchange(logsDiskFailure_, false))
    log_.writeCommand(Event::commandNotApplied, command.token, {{"why", "the disk failed"}});
  gate_.rollBack(durableMarks_);
  callbacks_.onDiskFailure();
}

void CommandReceiver::logRejection(const Command& command, FencingResult result) {
  const lease::FencingToken& token = command.token;
  const auto mark = gate_.marks().find(token.key);
  const bool known = mark != gate_.marks().end();
  // The last command of a key comes again whenever this member joins anew: that is no event.
  if (known && mark->second.epoch == token.epoch && mark->second.sequence == token.sequence) return;
  const bool hasRoom =
      loggedRejections_.contains(token.key) || loggedRejections_.size() < lease::FencingGate::kKeysMost;
  if (!hasRoom || std::exchange(loggedRejections_[token.key], token.epoch) == token.epoch) return;
  log_.writeCommand(Event::commandRejected, token,
                    {{"why", lease::nameOf(result)}, {"seen_epoch", known ? mark->second.epoch : 0}});
}

}  // namespace cairnjunction::fleet
