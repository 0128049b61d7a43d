// How much earlier than the client's time is up a final answer leaves, in all protocols.
#pragma once

#include <chrono>

namespace cairnjunction {

// For its way there and for a busy machine.
inline constexpr std::chrono::milliseconds kAnswerMargin{10};

}  // namespace cairnjunction
