// One upstream's quota of the process's file descriptors, which several upstreams share.
#pragma once

namespace cairnjunction {

class DescriptorQuota {
 public:
  virtual bool acquire() = 0;  // acquires one; false: none is available to this upstream
  virtual void release() = 0;  // releases one that was acquired

 protected:
  ~DescriptorQuota() = default;
};

}  // namespace cairnjunction
