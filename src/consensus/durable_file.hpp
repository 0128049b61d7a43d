// A small file that is replaced whole: after a crash it is the old one or the new one.
#pragma once

#include <string>

namespace cairnjunction::consensus {

// Synced, with its folder, when it returns. Empty: done. Otherwise what failed, with the path.
std::string replaceFile(const std::string& folder, const std::string& path, const std::string& text);

}  // namespace cairnjunction::consensus
