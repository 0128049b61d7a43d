// Log entries and snapshots of the lease table as bytes (MessagePack). What is read is bounded, and checked
// whole before any of it is used.
#pragma once

#include <string>
#include <string_view>

#include "lease/lease_table_state.hpp"
#include "lease/log_entry.hpp"

namespace cairnjunction::lease {

std::string encode(const LogEntry& entry);
// Throws std::invalid_argument on what encode didn't write.
LogEntry decode(std::string_view bytes);

std::string encodeSnapshot(const LeaseTableState& state);
// Throws std::invalid_argument on what encodeSnapshot didn't write, or on more than a table may hold.
LeaseTableState decodeSnapshot(std::string_view bytes);

}  // namespace cairnjunction::lease
