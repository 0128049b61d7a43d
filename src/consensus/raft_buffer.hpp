// Encodes entries and snapshots for the library's buffers: their length in bytes, their bytes, and zeros up
// to a multiple of eight bytes.
//
// The library pads data to eight bytes when it stores it. It copies received entries as if the proposer had
// padded them, and would read past the end of an entry whose length is not a multiple of eight.
#pragma once

#include <string_view>

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

// Returns a buffer from the library's allocator; the caller owns it and frees it with raft_free. Throws
// std::bad_alloc.
raft_buffer toRaftBuffer(std::string_view bytes);

// Returns the bytes that toRaftBuffer encoded, valid as long as the buffer is. Returns an empty view for a
// buffer with any other layout, which the state machine must handle.
std::string_view fromRaftBuffer(const raft_buffer& buffer);

}  // namespace cairnjunction::consensus
