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
      current_ && std::tie(version.epoch, version.version) < std::tie(current_->epoch, current_->version);
  if (older) return false;
  current_ = version;
  return true;
}

void EndpointListFilter::onOwnList(const std::string& source, std::int64_t version) {
  const std::uint64_t epoch = current_ ? current_->epoch : 0;
  const bool numberingRestarted = current_ && version < current_->version;
  const bool newEpoch = std::exchange(sourceChanged_, false) || numberingRestarted;
  current_ = EndpointListVersion{source, newEpoch ? epoch + 1 : epoch, version};
}

void EndpointListFilter::onSourceChange(const std::string& from, const std::string& to) {
  if (from == to) return;
  std::erase(formerSources_, to);
  formerSources_.push_back(from);
  if (formerSources_.size() > kMaxFormerSources) formerSources_.erase(formerSources_.begin());
  sourceChanged_ = current_.has_value();
}

}  // namespace cairnjunction::fleet
