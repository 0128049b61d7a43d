// For what an event loop calls later on behalf of an object that may be gone by then.
#pragma once

#include <memory>
#include <utility>

namespace cairnjunction {

// A member of that object: functions that it guards do nothing once it is destroyed. Declared last, it is
// destroyed before what the functions use. For one thread.
class CallbackGuard {
 public:
  // `function` with a check ahead of each call.
  template <class Function>
  auto guard(Function function) const {
    return [alive = std::weak_ptr<const char>(token_),
            guarded = std::move(function)](auto&&... arguments) mutable {
      if (!alive.expired()) guarded(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const char> token_ = std::make_shared<const char>();  // lives as long as the guard
};

}  // namespace cairnjunction
