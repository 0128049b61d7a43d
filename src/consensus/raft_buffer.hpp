// Entries and snapshots as the library stores them: their length, their bytes, and zeros up to a multiple of
// eight.
//
// The library pads what it stores to eight bytes, and copies entries that it received as if whoever proposed
// them had padded them: of another length it would read past their ends.
#pragma once

#include <string_view>

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

// Allocated by the library's allocator; whoever is given it frees it. Throws std::bad_alloc.
raft_buffer toRaftBuffer(std::string_view bytes);

// The bytes in a buffer of toRaftBuffer, as long as that lives; empty for any other one: the state machine
// decides what it makes of that.
std::string_view fromRaftBuffer(const raft_buffer& buffer);

}  // namespace cairnjunction::consensus
