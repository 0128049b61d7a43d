// Which list of hosts a member acts on, and when it asks discovery by itself. Decides only: no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lease/lease.hpp"

namespace cairnjunction::fleet {

// How far a list has come: the count of discovery's that it was made under, and its number there. Discovery
// may be reached at other addresses by other members, so these say nothing; but one that a member was moved
// away from does.
struct EndpointListVersion {
  std::string source;       // discovery's address, as its caller has it
  std::uint64_t epoch = 0;  // grows when discovery begins to count anew, or is another one
  std::int64_t version = 0;
  bool operator==(const EndpointListVersion&) const = default;
};

// Beside the fence, which keeps out old owners: no list undoes what a newer one has told, whoever sends it.
class EndpointListFilter {
 public:
  static constexpr std::size_t kFormerMost = 8;  // sources that a SIGHUP has taken this member away from

  bool accept(const EndpointListVersion& mark) {
    if (std::find(former_.begin(), former_.end(), mark.source) != former_.end()) return false;
    if (held_ && std::tie(mark.epoch, mark.version) < std::tie(held_->epoch, held_->version)) return false;
    held_ = mark;
    return true;
  }
  // By a call of this member's own on discovery, whose word goes before what was held: a lower number is a
  // new count.
  void onOwnList(const std::string& source, std::int64_t version) {
    const std::uint64_t era = held_ ? held_->epoch : 0;
    const bool anew = std::exchange(moved_, false) || (held_ && version < held_->version);
    held_ = EndpointListVersion{source, era + anew, version};
  }
  void onSourceChange(const std::string& from, const std::string& to) {
    if (from == to) return;
    std::erase(former_, to);
    former_.push_back(from);
    if (former_.size() > kFormerMost) former_.erase(former_.begin());
    moved_ = held_.has_value();
  }
  const std::optional<EndpointListVersion>& held() const { return held_; }

 private:
  std::vector<std::string> former_;
  std::optional<EndpointListVersion> held_;
  bool moved_ = false;
};

// Whoever owns the list, or stands by, asks. Everybody else does once it is alone, after a wait that spreads
// them.
class FallbackPolling {
 public:
  // Of calls that discovery takes in a second; by it the members that are alone are spread.
  static constexpr double kCallsASecond = 1;
  // With no list a gateway can't serve: these come ten times as fast, as they all did before there was a
  // fleet.
  static constexpr double kHurry = 10;

  void onLeaseChange(bool owner) { owner_ = owner; }
  // `draw`: from 0 to 1, another one at each member.
  void onIsolationChange(bool alone, lease::BootTime now, std::uint32_t members, bool hasList, double draw) {
    if (!alone) return at_.reset();
    const double seconds = draw * members / kCallsASecond / (hasList ? 1 : kHurry);
    at_ = now + lease::Duration(static_cast<std::int64_t>(seconds * 1000));
  }
  // A list was no newer than what is held: nobody tells it anything.
  void onListRejected(lease::BootTime now, std::uint32_t members, double draw) {
    if (!at_) onIsolationChange(true, now, members, true, draw);
  }
  void onListAccepted(bool alone) {
    if (!alone) at_.reset();
  }
  bool shouldPoll(lease::BootTime now) const { return owner_ || (at_ && now >= *at_); }
  std::optional<lease::BootTime> pollsAt() const {
    return owner_ ? std::nullopt : at_;
  }  // it begins to ask then

 private:
  bool owner_ = false;
  std::optional<lease::BootTime> at_;
};

}  // namespace cairnjunction::fleet
