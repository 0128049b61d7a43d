// The times that all protocols reserve around the client timeout.
#pragma once

#include <chrono>

namespace cairnjunction {

// Covers the transmission of the answer to the client and scheduling delays of a busy machine.
inline constexpr std::chrono::milliseconds kReplyMargin{10};
// The process may be held up for so long between reading its clock and writing.
inline constexpr std::chrono::milliseconds kHoldUpAllowance{150};
// Behind the client's time, for a final answer that is under way: half a second at most, held up or not.
inline constexpr std::chrono::milliseconds kLateReplyAllowance{300};

}  // namespace cairnjunction
