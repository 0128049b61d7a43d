// The receiver's side: the one gate that every order on behalf of the fleet passes before it has any effect.
// It keeps the highest epoch and sequence that it saw of each key and turns down what is older. Nothing
// relies on an old owner noticing that it is one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

enum class FencingResult : std::uint8_t {
  accepted,
  notReady,           // it was not told yet how far the fleet has come: nothing is taken
  staleEpoch,         // the owner that sent it is no longer the owner
  staleSequence,      // a copy, or overtaken by a later order of the same owner
  conflictingHolder,  // a second member under one epoch: must not happen, whoever is to blame
  tooManyKeys         // of more keys than are kept
};
std::string_view nameOf(FencingResult verdict);

class FencingGate {
 public:
  static constexpr std::size_t kKeysMost = 1024;  // as many as the registry has

  struct FencingMark {
    Epoch epoch = 0;
    Sequence sequence = 0;
    Member holder;  // who sent the last order; no name: known from the keepers only
    // For another process than the one that took these orders: what the last one did ended with that process,
    // so it is due once more, and none before it.
    FencingMark withoutLastCommand() const { return {epoch, sequence > 0 ? sequence - 1 : 0, holder}; }
    bool operator==(const FencingMark&) const = default;
  };

  // How far the fleet has come, from the receiver's disk or from the keepers after it joined. Orders are
  // taken from the first such word on. Marks only grow.
  void learn(const std::map<LeaseKey, FencingMark>& marks);
  FencingResult admit(const FencingToken& order);  // `taken` moves the mark: persist it before the effect

  // What was admitted since `marks` had no effect, and may come again.
  void rollBack(const std::map<LeaseKey, FencingMark>& marks) { marks_ = marks; }

  bool ready() const { return ready_; }
  const std::map<LeaseKey, FencingMark>& marks() const { return marks_; }
  std::uint64_t rejectedCount() const { return refused_; }  // all verdicts but `taken`
  bool operator==(const FencingGate&) const = default;

 private:
  bool ready_ = false;
  std::map<LeaseKey, FencingMark> marks_;
  std::uint64_t refused_ = 0;
};

}  // namespace cairnjunction::lease
