// `cairnjunction fleet ...`.
#include "app/fleet_commands.hpp"

#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <ostream>
#include <stdexcept>

#include "fleet/admin_socket.hpp"

namespace cairnjunction {

using nlohmann::json;

int fleetStatus(const FleetWords& words, std::ostream& out) {
  const json answer = fleet::queryAdminSocket(words.socket, {{"ask", "status"}});
  if (words.json) {
    out << answer.dump(1) << '\n';
    return 0;
  }
  out << "fleet " << answer["fleet"].get<std::string>() << ", keeper " << answer["keeper"] << ": "
      << (answer["leads"]   ? "leads"
          : answer["votes"] ? "votes, keeper " + answer["leader"].dump() + " leads"
                            : "waits for the other keepers' word")
      << "\norders passed on " << answer["orders_passed_on"] << ", turned away " << answer["turned_away"]
      << '\n';
  for (const json& member : answer["members"])
    out << "  " << std::left << std::setw(20) << member["name"].get<std::string>() << " owns "
        << member["owns"] << (member["willing"].get<bool>() ? "" : ", takes no duties") << '\n';
  return 0;
}

int fleetDuties(const FleetWords& words, std::ostream& out) {
  const json answer = fleet::queryAdminSocket(words.socket, {{"ask", "duties"}});
  if (words.json) {
    out << answer.dump(1) << '\n';
    return 0;
  }
  out << std::left << std::setw(16) << "duty" << std::setw(8) << "shard" << std::setw(20) << "owner"
      << std::setw(8) << "epoch"
      << "left ms\n";
  for (const json& row : answer)
    out << std::left << std::setw(16) << row["duty"].get<std::string>() << std::setw(8) << row["shard"].dump()
        << std::setw(20)
        << (row["owner"].is_null() ? "(" + row.value("why", "") + ")" : row["owner"].get<std::string>())
        << std::setw(8) << row["epoch"].dump() << row["left_ms"] << '\n';
  return 0;
}

int fleetHandOver(const FleetWords& words, std::ostream& out) {
  const json answer = fleet::queryAdminSocket(
      words.socket, {{"ask", "hand-over"}, {"duty", words.duty}, {"shard", words.shard}});
  if (words.json) out << answer.dump(1) << '\n';
  else out << "its owner was asked to hand over " << words.duty << "/" << words.shard << '\n';
  return 0;
}

void becomeKeeper(const FleetWords& words) {
  const std::string program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path() / "cairnjunction-keeper";
  std::vector<std::string> copies{program};
  copies.insert(copies.end(), words.keeper.begin(), words.keeper.end());
  std::vector<char*> argv;
  for (std::string& word : copies) argv.push_back(word.data());
  argv.push_back(nullptr);
  ::execv(program.c_str(), argv.data());
  throw std::runtime_error(program + ": " + std::strerror(errno));
}

}  // namespace cairnjunction
