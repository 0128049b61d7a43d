// Checks the values of a decoded message that the wire's types do not bound: texts, clocks and numbers that
// are stored or computed with.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fleet/messages.hpp"

namespace cairnjunction::fleet {

// Names and reasons. The coordinators' log reads no longer text, and JSON holds UTF-8 only.
inline constexpr std::size_t kMaxTextBytes = 4096;
// Of a machine's boot clock.
inline constexpr lease::Duration kMaxBootTime = std::chrono::hours(24 * 365 * 100);

// Connected members, as a leader counts them. An isolated member waits in proportion before it polls
// discovery.
inline constexpr std::uint32_t kMaxMemberCount = 10'000;

// Throws BadFrame that names the value.
void validate(const Message& message);

}  // namespace cairnjunction::fleet
