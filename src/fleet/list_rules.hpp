// Which list of hosts a member acts on, and when it asks discovery by itself. Decides only: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "duty/duty.hpp"

namespace cairnjunction::fleet {

// A list is named by where it comes from and its number there; numbers of two sources say nothing of each
// other.
struct ListMark {
  std::string source;
  std::int64_t version = 0;
  bool anew = false;  // discovery began to count anew: its number went down, by its own word
  bool operator==(const ListMark&) const = default;
};

// Beside the fence, which keeps out old owners: no list undoes what a newer one of its source has told,
// whoever sends it. Of two sources the one that this member was configured with goes before.
class ListGate {
 public:
  void configure(std::string source) { source_ = std::move(source); }
  bool take(const ListMark& mark) {
    if (held_) {
      const bool same = mark.source == held_->source;
      if (same && mark.version < held_->version && !mark.anew) return false;
      if (!same && held_->source == source_) return false;
    }
    held_ = mark;
    return true;
  }
  const std::optional<ListMark>& held() const { return held_; }

 private:
  std::string source_;
  std::optional<ListMark> held_;
};

// Whoever owns the list, or stands by, asks. Everybody else does once it is alone, after a wait that spreads
// them.
class OwnAsking {
 public:
  // Of calls that discovery takes in a second; by it the members that are alone are spread.
  static constexpr double kCallsASecond = 1;
  // With no list a gateway can't serve: these come ten times as fast, as they all did before there was a
  // fleet.
  static constexpr double kHurry = 10;

  void onDuty(bool owner) { owner_ = owner; }
  // `draw`: from 0 to 1, another one at each member.
  void onAlone(bool alone, duty::Time now, std::uint32_t members, bool hasList, double draw) {
    if (!alone) return at_.reset();
    const double seconds = draw * members / kCallsASecond / (hasList ? 1 : kHurry);
    at_ = now + duty::Time(static_cast<std::int64_t>(seconds * 1000));
  }
  bool asks(duty::Time now) const { return owner_ || (at_ && now >= *at_); }
  std::optional<duty::Time> at() const { return owner_ ? std::nullopt : at_; }  // it begins to ask then

 private:
  bool owner_ = false;
  std::optional<duty::Time> at_;
};

}  // namespace cairnjunction::fleet
