// Messages on the wire: one MessagePack array of kind and values behind its length in four bytes, most
// significant first. A frame is bounded before it is kept, and checked whole before it is used.
#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet/messages.hpp"

namespace cairnjunction::fleet {

// Bytes of a frame behind its length. An endpoint list of 10,000 entries has 2 MB.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;
// Bytes of the length before each frame.
inline constexpr std::size_t kFrameLengthBytes = 4;

// What was found in place of a frame.
struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One frame with its length, shared by all the links it goes to.
using SharedFrame = std::shared_ptr<const std::string>;

// Throws BadFrame if the message has more than kMaxFrameBytes.
SharedFrame encode(const Message& message);
// `payload`: a frame without its length. Throws BadFrame.
Message decode(std::string_view payload);

}  // namespace cairnjunction::fleet
