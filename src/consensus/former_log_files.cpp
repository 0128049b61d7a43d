#include "consensus/former_log_files.hpp"

#include <filesystem>
#include <regex>
#include <vector>

namespace cairnjunction::consensus {
namespace {

namespace files = std::filesystem;

// Files with term and vote, closed segments, open segments, snapshots, and metadata of snapshots.
bool isFormerLogFile(const files::path& path) {
  static const std::regex names(R"(metadata[12]|\d+-\d+|open-\d+|snapshot-\d+-\d+-\d+(\.meta)?)");
  return std::regex_match(path.filename().string(), names);
}

std::vector<files::path> formerLogFiles(const std::string& folder) {
  std::vector<files::path> found;
  for (const auto& entry : files::directory_iterator(folder))
    if (isFormerLogFile(entry.path())) found.push_back(entry.path());
  return found;
}

}  // namespace

bool hasFormerLogFiles(const std::string& folder) { return !formerLogFiles(folder).empty(); }

std::optional<StoreError> importFormerLog(LogStore& store, const StoredLog& former) {
  const LogWrite vote = SaveVote{former.vote};
  const LogWrite entries = AppendEntries{former.entries};
  std::vector<const LogWrite*> writes{&vote, &entries};
  LogWrite snapshot;
  if (former.snapshot) {
    snapshot = SaveSnapshot{*former.snapshot, 0};
    writes.push_back(&snapshot);
  }
  return store.write(writes);
}

void removeFormerLogFiles(const std::string& folder) {
  try {
    for (const files::path& path : formerLogFiles(folder)) files::remove(path);
  } catch (const files::filesystem_error& error) {
    throw LogError(error.what());
  }
}

}  // namespace cairnjunction::consensus
