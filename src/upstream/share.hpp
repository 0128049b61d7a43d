// A part of the descriptors that several upstreams share.
#pragma once

namespace cairnjunction {

class DescriptorShare {
 public:
  virtual bool take() = 0;  // one; false: there is none left for this upstream
  virtual void give() = 0;  // one back

 protected:
  ~DescriptorShare() = default;
};

}  // namespace cairnjunction
