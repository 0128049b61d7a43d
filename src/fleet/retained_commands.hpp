// The last retained command of each key, which the leader sends to members that join later. Bounded in bytes
// and keys.
#pragma once

#include <cstddef>
#include <map>

#include "fleet/frame.hpp"

namespace cairnjunction::fleet {

class RetainedCommands {
 public:
  // Total size of the frames of all keys.
  static constexpr std::size_t kMaxBytes = 16 << 20;
  static constexpr std::size_t kMaxKeys = lease::kMaxKeys;

  struct Entry {
    lease::FencingToken token;
    SharedFrame frame;  // the encoded command, never null
  };

  // Stores a command in place of an earlier one of its key. Does nothing if the stored command of the key is
  // as recent, or a limit would be exceeded.
  void store(const lease::FencingToken& token, SharedFrame frame);
  void clear();

  const std::map<lease::LeaseKey, Entry>& entries() const { return entries_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::map<lease::LeaseKey, Entry> entries_;  // at most kMaxKeys
  std::size_t bytes_ = 0;                     // sum of the sizes of the frames, at most kMaxBytes
};

}  // namespace cairnjunction::fleet
