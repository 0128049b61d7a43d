// Which endpoint list a member acts on: no list undoes what a newer one has said, whoever sends it. It stands
// beside the fencing gate, which rejects former lease holders. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cairnjunction::fleet {

// How new a list is. Members may reach one discovery at several addresses, so lists of different sources are
// compared by epoch and version alone.
struct EndpointListVersion {
  std::string source;        // discovery's address, as the member that called it has it
  std::uint64_t epoch = 0;   // grows when discovery numbers its lists anew, or is another one
  std::int64_t version = 0;  // discovery's number of the list within the epoch
  bool operator==(const EndpointListVersion&) const = default;
};

class EndpointListFilter {
 public:
  // Sources remembered that a change of configuration has moved this member away from.
  static constexpr std::size_t kMaxFormerSources = 8;

  // A list of the lease holder. False: it is older than what is held, or from a former source; it is ignored.
  bool accept(const EndpointListVersion& version);
  // A list by this member's own call of discovery. Always accepted: a lower version means that discovery
  // numbers anew.
  void onOwnList(const std::string& source, std::int64_t version);
  // This member is configured with another discovery from now on.
  void onSourceChange(const std::string& from, const std::string& to);

  // Of the last list that was accepted.
  const std::optional<EndpointListVersion>& held() const { return held_; }

 private:
  std::vector<std::string> formerSources_;  // oldest first, at most kMaxFormerSources; never the present one
  std::optional<EndpointListVersion> held_;
  bool sourceChanged_ = false;  // since the last own list: the next one begins an epoch
};

}  // namespace cairnjunction::fleet
