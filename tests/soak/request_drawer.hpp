// Draws the requests of the slow answers' soak: their class, deadline and plan.
#pragma once

#include <cstddef>
#include <random>

#include "soak/slow_answer_client.hpp"
#include "soak/slow_answer_run.hpp"

namespace cairnjunction::soak {

class RequestDrawer {
 public:
  // `options` must outlive the drawer.
  RequestDrawer(const SlowAnswerRunOptions& options, ClientProtocol protocol)
      : options_(options),
        jsonRpc_(protocol == ClientProtocol::jsonRpc || options.hosts == HostProtocol::jsonRpc) {}

  PlannedRequest operator()(std::mt19937_64& random) const;

 private:
  std::size_t drawBytes(std::mt19937_64& random) const;
  std::chrono::milliseconds drawLateness(std::mt19937_64& random) const;
  // `left`: of the client's time, in ms.
  static void drawHalfHead(AnswerPlan& plan, int left, std::mt19937_64& random);
  void drawAnswer(SlowWork work, PlannedRequest& request, std::mt19937_64& random) const;

  const SlowAnswerRunOptions& options_;
  const bool jsonRpc_;  // at either side: bodies are small
};

}  // namespace cairnjunction::soak
