// Interface that the HTTP frontend needs for routing: the router, the engines of the pools, and admission.
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
    std::size_t pool = 0;     // index of the pool
    std::uint64_t bytes = 0;  // of the request body
    std::vector<route::Decision::Counted> connections;
  };

  virtual const route::Router& router() const = 0;
  virtual Engine* engineOf(std::string_view pool) = 0;  // null: no pool has this name
  // Admits a call whose body has `bytes` if the limits of its pool and route allow it: returns 0 and sets
  // `hold`, or returns the HTTP status that rejects it.
  virtual int admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) = 0;
  // The admitted call has ended: releases its reservation.
  virtual void over(const Hold& hold) = 0;

 protected:
  ~HttpRouting() = default;
};

}  // namespace cairnjunction
