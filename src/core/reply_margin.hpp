// The time that is kept free between a final answer and the end of the client's time, in all protocols.
#pragma once

#include <chrono>

namespace cairnjunction {

// Covers the answer's way to the client and delays of a busy machine.
inline constexpr std::chrono::milliseconds kReplyMargin{10};

}  // namespace cairnjunction
