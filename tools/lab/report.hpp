// Reports on a run: result.json, and a Markdown page with plots of lease holders over time, faults, and calls
// served and rejected.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/checks.hpp"

namespace cairnjunction::lab {

nlohmann::json resultOf(const Ledgers& ledgers, const std::vector<Check>& checks);
// owners.svg, calls.svg and report.md. Throws std::runtime_error if they can't be written.
void writeReport(const std::string& folder, const Ledgers& ledgers, const std::vector<Check>& checks);

}  // namespace cairnjunction::lab
