// Wire encoding of messages. A frame is its payload's length in four bytes, big-endian, followed by the
// payload: a MessagePack array of the message's kind and its values. The length is checked before the payload
// is buffered, and the whole payload before it is used.
#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet/messages.hpp"

namespace cairnjunction::fleet {

// Maximum payload size in bytes. An endpoint list of 10,000 entries takes 2 MB.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;
// Maximum size in bytes of a command's body; the rest of the frame is for its token.
inline constexpr std::size_t kMaxCommandBodyBytes = kMaxFrameBytes - (16 << 10);
// Size in bytes of the length field before each payload.
inline constexpr std::size_t kFrameLengthBytes = 4;

// A frame or message is invalid. The text says what was found and what was expected.
struct BadFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An encoded frame including its length field, shared by all links that send it.
using SharedFrame = std::shared_ptr<const std::string>;

// Throws BadFrame if the payload has more than kMaxFrameBytes.
SharedFrame encode(const Message& message);
// `payload` is a frame without its length field. Throws BadFrame if it is not exactly one valid message.
Message decode(std::string_view payload);

}  // namespace cairnjunction::fleet
