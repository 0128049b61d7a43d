// The example of the README, kept the same by .ci/run.
#include <cairnjunction/load_balancer.hpp>
#include <cstdio>

int main() {
  using namespace std::chrono_literals;
  cairnjunction::policy::Settings settings;
  settings.seed = 42;
  cairnjunction::policy::ClassSettings reads;
  reads.name = "read";
  reads.idempotency = cairnjunction::policy::Idempotency::safe;
  reads.latencyObjective = 200ms;
  reads.clientTimeout = 1s;
  settings.classes = {reads};

  const cairnjunction::policy::Timestamp start{};                 // any fixed point: the caller has the clock
  cairnjunction::policy::LoadBalancer balancer(settings, start);  // throws std::invalid_argument on nonsense
  cairnjunction::policy::EndpointInfo endpoint;
  endpoint.address = "10.0.0.1:8080";
  balancer.onEndpoints(start, cairnjunction::policy::EndpointListKind::replace, {endpoint});

  cairnjunction::policy::Request request;
  request.id = 1;
  request.classIndex = 0;
  request.timeRemaining = 1s;
  balancer.onRequest(start + 1ms, request);
  for (const cairnjunction::policy::Action& action : balancer.actions())
    if (action.kind == cairnjunction::policy::ActionKind::send)
      std::printf("send %llu to %s\n", static_cast<unsigned long long>(action.request),
                  balancer.address(action.endpoint).c_str());
  balancer.actions().clear();
}
