// What the HTTP frontend needs for routing: the router, the engines of its pools, and admission to them.
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
  // What an admitted call reserves until it ends.
  struct Hold {
    std::size_t pool = 0;
    std::uint64_t bytes = 0;
    std::vector<route::Decision::Counted> connections;
  };

  virtual const route::Router& router() const = 0;
  virtual Engine* engineOf(std::string_view pool) = 0;  // null: there is none
  // Admits a call of `bytes` within the bounds of its pool and route: returns 0 and sets `hold`, or the
  // status that rejects it.
  virtual int admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) = 0;
  virtual void over(const Hold& hold) = 0;

 protected:
  ~HttpRouting() = default;
};

}  // namespace cairnjunction
