// Bytes in the library's buffers.
#include "consensus/raft_buffer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstring>
#include <string>

namespace cairnjunction::consensus {
namespace {

// Entries of all lengths around a multiple of eight are proposed.
// Each buffer has a multiple of eight bytes, and the entry comes out of it as it went in.
TEST(RaftBuffer, IsPaddedAndGivesItsBytesBack) {
  for (std::size_t length = 0; length <= 33; ++length) {
    const std::string bytes(length, '\x7f');
    const raft_buffer buffer = toRaftBuffer(bytes);
    EXPECT_EQ(buffer.len % 8, 0U);
    EXPECT_GE(buffer.len, bytes.size() + 8);
    EXPECT_EQ(fromRaftBuffer(buffer), bytes);
    raft_free(buffer.base);
  }
}

// The log has an entry that is too short for a length, or whose length is past its end.
// It comes out empty, and nothing behind the buffer is read.
TEST(RaftBuffer, WhatItDidNotMakeComesOutEmpty) {
  std::array<char, 16> bytes{};
  EXPECT_EQ(fromRaftBuffer({bytes.data(), 7}), "");
  const std::uint64_t tooLong = 9;
  std::memcpy(bytes.data(), &tooLong, sizeof tooLong);
  EXPECT_EQ(fromRaftBuffer({bytes.data(), bytes.size()}), "");
}

}  // namespace
}  // namespace cairnjunction::consensus
