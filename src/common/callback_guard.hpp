// For what is called later by an event loop on behalf of an object that may be gone by then.
#pragma once

#include <memory>
#include <utility>

namespace cairnjunction {

// A member of the object: functions that it guards do nothing once it is destroyed.
class CallbackGuard {
 public:
  template <class Function>
  auto guard(Function function) const {
    return [alive = std::weak_ptr<const char>(token_), f = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) f(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const char> token_ = std::make_shared<const char>();
};

}  // namespace cairnjunction
