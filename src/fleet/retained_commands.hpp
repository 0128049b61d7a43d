// The last retained command of each key, which the leader sends to members that join later. Bounded.
#pragma once

#include <cstddef>
#include <map>

#include "fleet/frame.hpp"

namespace cairnjunction::fleet {

class RetainedCommands {
 public:
  // Bytes of frames, over all keys.
  static constexpr std::size_t kMaxBytes = 16 << 20;
  static constexpr std::size_t kMaxKeys = lease::kKeysMost;

  struct Entry {
    lease::FencingToken token;
    SharedFrame frame;  // the command as it came; never null
  };

  // Stores a command and its frame, unless a later one of its key is stored, or there is no room; then
  // nothing changes.
  void store(const lease::FencingToken& token, SharedFrame frame);
  void clear();

  const std::map<lease::LeaseKey, Entry>& entries() const { return entries_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::map<lease::LeaseKey, Entry> entries_;  // at most kMaxKeys
  std::size_t bytes_ = 0;                     // the sum of their frames, at most kMaxBytes
};

}  // namespace cairnjunction::fleet
