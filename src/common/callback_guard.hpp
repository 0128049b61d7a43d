// Guards callbacks of an event loop against the destruction of the object that they use.
#pragma once

#include <memory>
#include <utility>

namespace cairnjunction {

// A member of that object. The functions that it guards do nothing once it is destroyed. Declare it as the
// last member, so that it is destroyed before the members that the functions use. Not thread-safe.
class CallbackGuard {
 public:
  // Wraps `function` so that a call does nothing if the guard was destroyed.
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
