// The time that all protocols reserve between the final answer and the client timeout.
#pragma once

#include <chrono>

namespace cairnjunction {

// Covers the transmission of the answer to the client and scheduling delays of a busy machine.
inline constexpr std::chrono::milliseconds kReplyMargin{10};

}  // namespace cairnjunction
