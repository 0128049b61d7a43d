#include "fleet/endpoint_list_filter.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cairnjunction::fleet {

bool EndpointListFilter::accept(const EndpointListVersion& version) {
  const bool former =
      std::find(formerSources_.begin(), formerSources_.end(), version.source) != formerSources_.end();
  if (former) return false;
  const bool older =
      held_ && std::tie(version.epoch, version.version) < std::tie(held_->epoch, held_->version);
  if (older) return false;
  held_ = version;
  return true;
}

void EndpointListFilter::onOwnList(const std::string& source, std::int64_t version) {
  const std::uint64_t epoch = held_ ? held_->epoch : 0;
  const bool numberingRestarted = held_ && version < held_->version;
  const bool newEpoch = std::exchange(sourceChanged_, false) || numberingRestarted;
  held_ = EndpointListVersion{source, newEpoch ? epoch + 1 : epoch, version};
}

void EndpointListFilter::onSourceChange(const std::string& from, const std::string& to) {
  if (from == to) return;
  std::erase(formerSources_, to);
  formerSources_.push_back(from);
  if (formerSources_.size() > kMaxFormerSources) formerSources_.erase(formerSources_.begin());
  sourceChanged_ = held_.has_value();
}

}  // namespace cairnjunction::fleet
