// The receiver's side: the one gate that every order on behalf of the fleet passes before it has any effect.
// It keeps the highest epoch and sequence that it saw of each key and turns down what is older. Nothing
// relies on an old owner noticing that it is one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "duty/duty.hpp"

namespace cairnjunction::duty {

enum class Verdict : std::uint8_t {
  taken,
  unready,        // it was not told yet how far the fleet has come: nothing is taken
  olderEpoch,     // the owner that sent it is no longer the owner
  olderSequence,  // a copy, or overtaken by a later order of the same owner
  otherSender,    // a second member under one epoch: must not happen, whoever is to blame
  unknown         // of more keys than are kept
};
std::string_view nameOf(Verdict verdict);

class Fence {
 public:
  static constexpr std::size_t kKeysMost = 1024;  // as many as the registry has

  struct Mark {
    Epoch epoch = 0;
    Sequence sequence = 0;
    Member from;  // who sent the last order; no name: known from the keepers only
    // For another process than the one that took these orders: what the last one did ended with that process,
    // so it is due once more, and none before it.
    Mark beforeLast() const { return {epoch, sequence > 0 ? sequence - 1 : 0, from}; }
    bool operator==(const Mark&) const = default;
  };

  // How far the fleet has come, from the receiver's disk or from the keepers after it joined. Orders are
  // taken from the first such word on. Marks only grow.
  void learn(const std::map<Key, Mark>& marks);
  Verdict admit(const OrderId& order);  // `taken` moves the mark: persist it before the effect

  // What was admitted since `marks` had no effect, and may come again.
  void goBack(const std::map<Key, Mark>& marks) { marks_ = marks; }

  bool ready() const { return ready_; }
  const std::map<Key, Mark>& marks() const { return marks_; }
  std::uint64_t refused() const { return refused_; }  // all verdicts but `taken`
  bool operator==(const Fence&) const = default;

 private:
  bool ready_ = false;
  std::map<Key, Mark> marks_;
  std::uint64_t refused_ = 0;
};

}  // namespace cairnjunction::duty
