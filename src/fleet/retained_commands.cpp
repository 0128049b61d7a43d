#include "fleet/retained_commands.hpp"

#include <tuple>
#include <utility>

namespace cairnjunction::fleet {
namespace {

bool isLater(const lease::FencingToken& token, const lease::FencingToken& other) {
  return std::tie(token.epoch, token.sequence) > std::tie(other.epoch, other.sequence);
}

}  // namespace

void RetainedCommands::store(const lease::FencingToken& token, SharedFrame frame) {
  const auto it = entries_.find(token.key);
  const bool isNew = it == entries_.end();
  if (!isNew && !isLater(token, it->second.token)) return;
  if (isNew && entries_.size() >= kMaxKeys) return;
  const std::size_t replaced = isNew ? 0 : it->second.frame->size();
  const std::size_t bytes = bytes_ - replaced + frame->size();
  if (bytes > kMaxBytes) return;
  bytes_ = bytes;
  entries_.insert_or_assign(token.key, Entry{token, std::move(frame)});
}

void RetainedCommands::clear() {
  entries_.clear();
  bytes_ = 0;
}

}  // namespace cairnjunction::fleet
