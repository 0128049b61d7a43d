// What the engine needs of the program around it.
#pragma once

#include <string>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

class Runtime {
 public:
  virtual policy::Timestamp now() const = 0;  // never goes back
  // Asks for a call of Engine::wake at that time, in place of the time asked for before.
  virtual void wakeAt(policy::Timestamp at) = 0;
  virtual void pollEndpoints() = 0;  // the endpoint list is due to be polled
  // The endpoint list contradicts what is seen of the endpoints: a poll beside the planned ones.
  virtual void requestResync() = 0;
  virtual void log(const std::string& line) = 0;

 protected:
  ~Runtime() = default;
};

}  // namespace cairnjunction
