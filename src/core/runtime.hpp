// The interface through which the engine uses its process: clock, timer, discovery and log.
#pragma once

#include <string>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

class Runtime {
 public:
  virtual policy::Timestamp now() const = 0;  // monotonic
  // Requests a call of Engine::wake at this time; replaces the time requested before.
  virtual void wakeAt(policy::Timestamp at) = 0;
  virtual void pollEndpoints() = 0;  // polls the endpoint list, as scheduled
  // Polls the endpoint list outside the schedule, since it contradicts the observed state of the endpoints.
  // Engine::resyncFailed is to be called if discovery does not answer.
  virtual void requestResync() = 0;
  virtual void log(const std::string& line) = 0;

 protected:
  ~Runtime() = default;
};

}  // namespace cairnjunction
