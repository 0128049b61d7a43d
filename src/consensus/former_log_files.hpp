// The files of the consensus library's own disk, in which earlier versions kept the log. They are read once,
// when a coordinator of this version first starts on their folder.
#pragma once

#include <optional>
#include <string>

#include "consensus/log_store.hpp"

namespace cairnjunction::consensus {

bool hasFormerLogFiles(const std::string& folder);
// Writes what was read of them to a new store, all or nothing.
std::optional<StoreError> importFormerLog(LogStore& store, const StoredLog& former);
// Throws LogError.
void removeFormerLogFiles(const std::string& folder);

}  // namespace cairnjunction::consensus
