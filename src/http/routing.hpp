// What the HTTP front needs of the program to go by routes: the router, and what stands behind its pools.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/engine.hpp"
#include "route/router.hpp"

namespace cairnjunction {

class HttpRouting {
 public:
  // What an admitted call holds until it is over.
  struct Hold {
    std::size_t pool = 0;
    std::uint64_t bytes = 0;
    std::vector<route::Decision::Counted> connections;
  };

  virtual const route::Router& router() const = 0;
  virtual Engine* engineOf(std::string_view pool) = 0;  // null: there is none
  // Counts a call of so many bytes against the bounds of its pool and its route: 0, with `hold` set, or the
  // status to turn it down with.
  virtual int admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) = 0;
  virtual void over(const Hold& hold) = 0;

 protected:
  ~HttpRouting() = default;
};

}  // namespace cairnjunction
