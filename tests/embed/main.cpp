// The example of the README, kept the same by .ci/run.
#include <cstdio>
#include <ochrehill/ochrehill.hpp>

int main() {
  using namespace std::chrono_literals;
  ochrehill::Settings settings;
  settings.seed = 42;
  ochrehill::ClassSettings reads;
  reads.name = "read";
  reads.effect = ochrehill::Effect::retryable;
  reads.aim = 200ms;
  reads.giveUp = 1s;
  settings.classes = {reads};

  ochrehill::Balancer balancer(settings, 0ns);  // throws std::invalid_argument on nonsense
  ochrehill::HostEntry host;
  host.address = "10.0.0.1:8080";
  balancer.onHosts(0ns, ochrehill::ListKind::replace, {host});

  ochrehill::Request request;
  request.id = 1;
  request.classIndex = 0;
  request.left = 1s;
  balancer.onRequest(1ms, request);
  for (const ochrehill::Action& action : balancer.actions())
    if (action.kind == ochrehill::ActionKind::send)
      std::printf("send %llu to %s\n", static_cast<unsigned long long>(action.request),
                  balancer.address(action.host).c_str());
  balancer.actions().clear();
}
