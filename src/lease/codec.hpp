// Encodes log entries and snapshots of the lease table as MessagePack, and decodes them. Decoding bounds the
// sizes of its input, and returns a value only if the whole input is valid.
#pragma once

#include <string>
#include <string_view>

#include "lease/lease_table_state.hpp"
#include "lease/log_entry.hpp"

namespace cairnjunction::lease {

std::string encode(const LogEntry& entry);
// Throws std::invalid_argument if the bytes do not have the format of an entry. LeaseTable::apply() checks
// the ranges of its values.
LogEntry decode(std::string_view bytes);

std::string encodeSnapshot(const LeaseTableState& state);
// Throws std::invalid_argument if the bytes do not have the format of a snapshot, or exceed the limits of the
// lease table. Other invariants are not checked.
LeaseTableState decodeSnapshot(std::string_view bytes);

}  // namespace cairnjunction::lease
