// Decides which endpoint lists a member applies: a list that is older than the current one is rejected,
// whoever sent it. It complements the fencing gate, which rejects commands of former lease holders. No I/O,
// no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cairnjunction::fleet {

// Identifies a list and how recent it is. Members may reach the same discovery service at different
// addresses, so lists of different sources are compared by epoch and version alone.
struct EndpointListVersion {
  std::string source;        // address of discovery, as configured at the member that polled it
  std::uint64_t epoch = 0;   // incremented when discovery restarts its numbering or is replaced
  std::int64_t version = 0;  // number that discovery gave the list; comparable within the epoch
  bool operator==(const EndpointListVersion&) const = default;
};

class EndpointListFilter {
 public:
  // Number of former sources that are remembered after changes of configuration.
  static constexpr std::size_t kMaxFormerSources = 8;

  // A list from the lease holder. Returns false, and changes nothing, if it is older than the current one or
  // comes from a former source.
  bool accept(const EndpointListVersion& version);
  // A list from this member's own call of discovery. It is always accepted: a lower version means that
  // discovery has restarted its numbering, and begins an epoch.
  void onOwnList(const std::string& source, std::int64_t version);
  // The configured address of discovery has changed.
  void onSourceChange(const std::string& from, const std::string& to);

  // Version of the current list, the last accepted one; empty before the first.
  const std::optional<EndpointListVersion>& currentVersion() const { return current_; }

 private:
  // Oldest first, at most kMaxFormerSources; excludes the current one.
  std::vector<std::string> formerSources_;
  std::optional<EndpointListVersion> current_;
  bool sourceChanged_ = false;  // since the last own list; the next own list begins an epoch
};

}  // namespace cairnjunction::fleet
