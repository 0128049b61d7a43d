#include "fleet/coordinator_connection.hpp"

#include <utility>

namespace cairnjunction::fleet {

using std::chrono::milliseconds;

CoordinatorConnection::CoordinatorConnection(boost::asio::io_context& io, const Settings& settings,
                                             EventLog& log, Callbacks callbacks)
    : io_(io),
      settings_(settings),
      log_(log),
      callbacks_(std::move(callbacks)),
      dialTimer_(io),
      random_(std::random_device{}()),
      nextIndex_(random_() % settings.coordinators.size()) {}

CoordinatorConnection::~CoordinatorConnection() {
  if (link_) link_->abandon();
}

void CoordinatorConnection::start() { dial(); }

bool CoordinatorConnection::send(const Message& message) {
  if (!joined_ || !link_) return false;
  link_->send(message);
  return true;
}

void CoordinatorConnection::closeLink(const std::string& detail) {
  if (link_) link_->close(LinkEnd::stopped, detail);
}

const CoordinatorAddress& CoordinatorConnection::nextCoordinator() {
  const int hint = std::exchange(leaderHint_, 0);
  if (const CoordinatorAddress* leader = hint != 0 ? settings_.coordinator(hint) : nullptr) return *leader;
  return settings_.coordinators[nextIndex_++ % settings_.coordinators.size()];
}

void CoordinatorConnection::dial() {
  const CoordinatorAddress& coordinator = nextCoordinator();
  coordinatorNumber_ = coordinator.number;
  Link::Limits limits;
  limits.receiveTimeout = settings_.isolatedAfter;
  link_ = Link::dial(io_, coordinator.address, limits,
                     {[this] { link_->send(callbacks_.makeJoinRequest()); },
                      [this](const Message& message) { onMessage(message); },
                      [this](LinkEnd end, const std::string& detail) { onLinkEnd(end, detail); }});
}

void CoordinatorConnection::scheduleDial(milliseconds maxDelay) {
  std::uniform_int_distribution<milliseconds::rep> delay((maxDelay / 2).count(), maxDelay.count());
  dialTimer_.expires_after(milliseconds(delay(random_)));
  dialTimer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) dial();
  }));
}

void CoordinatorConnection::onMessage(const Message& message) {
  if (const auto* response = std::get_if<JoinResponse>(&message)) {
    joined_ = true;
    backoff_.onJoined();
    callbacks_.onJoin(*response);
  } else if (const auto* notLeader = std::get_if<NotLeader>(&message)) {
    if (notLeader->leader != coordinatorNumber_) leaderHint_ = notLeader->leader;
    link_->close(LinkEnd::notLeader);
  } else if (const auto* rejected = std::get_if<JoinRejected>(&message)) {
    link_->close(LinkEnd::rejected, rejected->reason);
  } else if (std::holds_alternative<HeartbeatResponse>(message) || std::holds_alternative<Command>(message) ||
             std::holds_alternative<TransferLease>(message) || std::holds_alternative<Leave>(message)) {
    callbacks_.onMessage(message);
  } else {
    link_->close(LinkEnd::badFrame, "a message that a coordinator must not send");
  }
}

void CoordinatorConnection::onLinkEnd(LinkEnd end, const std::string& detail) {
  const bool hadJoined = std::exchange(joined_, false);
  link_ = nullptr;
  const std::string endText = std::string(nameOf(end)) + (detail.empty() ? "" : ": " + detail);
  // Consecutive dials that end in the same way are logged once.
  if (hadJoined || endText != lastLinkEnd_)
    log_.write(Event::linkEnded, {{"keeper", coordinatorNumber_}, {"end", endText}});
  lastLinkEnd_ = endText;
  callbacks_.onEnd();
  scheduleDial(backoff_.onLinkEnd(end, hadJoined));
}

}  // namespace cairnjunction::fleet
