// A share of the process's descriptors, of which several upstreams have one each.
#pragma once

namespace cairnjunction {

class DescriptorQuota {
 public:
  virtual bool acquire() = 0;  // takes one; false: there is none left for this upstream
  virtual void release() = 0;  // gives one back that was acquired

 protected:
  ~DescriptorQuota() = default;
};

}  // namespace cairnjunction
