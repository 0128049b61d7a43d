// The wire's names of requests, and the numbers under which the load balancer knows them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::sim {

// Lets a map with string keys be searched by a view.
struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};
template <class Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

// Keeps a name until its request is answered or left and all its attempts are settled, so that late results
// are still understood. Numbers are never used again.
class RequestIds {
 public:
  // Gives a number to a name that is not open.
  policy::RequestId open(std::string_view name);
  // nullopt if no request of this name is open.
  std::optional<policy::RequestId> find(std::string_view name) const;
  // The name of an open request.
  const std::string& nameOf(policy::RequestId id) const { return slots_[slotOf(id)].name; }

  void recordSend(policy::RequestId id) { ++slots_[slotOf(id)].attemptsInFlight; }
  void recordResult(policy::RequestId id);
  void recordEnd(policy::RequestId id) { slots_[slotOf(id)].ended = true; }
  // Forgets the name if its request has ended and no attempt is in flight.
  void dropIfOver(policy::RequestId id);

 private:
  struct Slot {
    std::string name;  // empty: free
    std::uint32_t generation = 0;
    std::uint32_t attemptsInFlight = 0;
    bool ended = false;
  };

  // A number holds the slot in its lower half and the slot's generation in its upper one.
  static std::uint32_t slotOf(policy::RequestId id) { return static_cast<std::uint32_t>(id); }
  policy::RequestId idOf(std::uint32_t slot) const {
    return (static_cast<policy::RequestId>(slots_[slot].generation) << 32U) | slot;
  }

  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  TextMap<std::uint32_t> slotByName_;
};

}  // namespace cairnjunction::sim
