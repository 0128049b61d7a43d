// Encoding and decoding of the library's buffers.
#include "consensus/raft_buffer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstring>
#include <string>

namespace cairnjunction::consensus {
namespace {

// For entries of 0 to 33 bytes, each buffer's length is a multiple of eight, and the entry is decoded
// unchanged.
TEST(RaftBuffer, IsPaddedAndDecodedUnchanged) {
  for (std::size_t length = 0; length <= 33; ++length) {
    const std::string bytes(length, '\x7f');
    const raft_buffer buffer = toRaftBuffer(bytes);
    EXPECT_EQ(buffer.len % 8, 0U);
    EXPECT_GE(buffer.len, bytes.size() + 8);
    EXPECT_EQ(fromRaftBuffer(buffer), bytes);
    raft_free(buffer.base);
  }
}

// A buffer is too short for the length field, or its length field is greater than the rest of the buffer: it
// is decoded as empty, and nothing past its end is read.
TEST(RaftBuffer, ABufferWithAnInvalidLengthIsDecodedAsEmpty) {
  std::array<char, 16> bytes{};
  EXPECT_EQ(fromRaftBuffer({bytes.data(), 7}), "");
  const std::uint64_t tooLong = 9;
  std::memcpy(bytes.data(), &tooLong, sizeof tooLong);
  EXPECT_EQ(fromRaftBuffer({bytes.data(), bytes.size()}), "");
}

}  // namespace
}  // namespace cairnjunction::consensus
