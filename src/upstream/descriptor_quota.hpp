// A part of the descriptors that several upstreams share.
#pragma once

namespace cairnjunction {

class DescriptorQuota {
 public:
  virtual bool acquire() = 0;  // one; false: there is none left for this upstream
  virtual void release() = 0;  // one back

 protected:
  ~DescriptorQuota() = default;
};

}  // namespace cairnjunction
