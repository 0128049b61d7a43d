// The log files of earlier versions, which used the consensus library's own disk format. They are imported
// once, when a coordinator of this version first starts on a folder that has them.
#pragma once

#include <optional>
#include <string>

#include "consensus/log_store.hpp"

namespace cairnjunction::consensus {

// Whether `folder` has log files of an earlier version. Throws std::filesystem::filesystem_error if the
// folder can't be read.
bool hasFormerLogFiles(const std::string& folder);
// Writes `former`, the log read from these files, to a new store in one transaction. Returns the error, after
// which nothing is written.
std::optional<StoreError> importFormerLog(LogStore& store, const StoredLog& former);
// Removes the log files of an earlier version; does nothing if there are none. Throws LogError.
void removeFormerLogFiles(const std::string& folder);

}  // namespace cairnjunction::consensus
