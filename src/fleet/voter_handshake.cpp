#include "fleet/voter_handshake.hpp"

#include <utility>

namespace cairnjunction::fleet {

VoterHandshake::VoterHandshake(boost::asio::io_context& io, Settings settings, int number,
                               consensus::VoterIdentity& identity, EventLog& log,
                               std::function<void(const Result&)> onResult)
    : io_(io),
      settings_(std::move(settings)),
      number_(number),
      identity_(identity),
      log_(log),
      onResult_(std::move(onResult)) {
  for (const CoordinatorAddress& coordinator : settings_.coordinators)
    if (coordinator.number != number_) sendRequest(coordinator.number);
  reportIfMajority();
}

VoterHandshake::~VoterHandshake() {
  for (const auto& [peer, link] : links_)
    if (link) link->abandon();
}

void VoterHandshake::sendRequest(int peer) {
  const Link::Limits limits;
  links_[peer] = Link::dial(
      io_, settings_.coordinator(peer)->address, limits,
      {[this, peer] {
         links_[peer]->send(VoterHandshakeRequest{kProtocol, settings_.fleet, number_, identity_.own()});
       },
       lifetime_.guard([this, peer](const Message& message) { onMessage(peer, message); }),
       lifetime_.guard([this, peer](LinkEnd, const std::string&) {
         if (!acceptedBy_.contains(peer)) scheduleRetry(peer);
       })});
}

void VoterHandshake::scheduleRetry(int peer) {
  auto& timer = retryTimers_[peer];
  timer = std::make_unique<boost::asio::steady_timer>(io_, kRetryDelay);
  timer->async_wait(lifetime_.guard([this, peer](boost::system::error_code cancelled) {
    if (!cancelled) sendRequest(peer);
  }));
}

void VoterHandshake::onMessage(int peer, const Message& message) {
  if (const auto* response = std::get_if<VoterHandshakeResponse>(&message))
    return onResponse(peer, *response);
  if (const auto* rejected = std::get_if<JoinRejected>(&message))
    log_.write(Event::handshakeRejected, {{"by", peer}, {"why", rejected->reason}});
}

void VoterHandshake::onResponse(int peer, const VoterHandshakeResponse& response) {
  std::string reason;
  try {
    reason = rejectionReason(peer, response);
  } catch (const consensus::LogError& error) {  // the peer's mark can't be stored now: retried later
    return log_.write(Event::handshakeRejected, {{"by", number_}, {"why", error.what()}});
  }
  if (reason.empty()) {
    acceptedBy_.insert(peer);
    return reportIfMajority();
  }
  log_.write(Event::handshakeRejected, {{"by", peer}, {"why", reason}});
  reportResult({Result::Outcome::rejected, reason});
}

std::string VoterHandshake::rejectionReason(int peer, const VoterHandshakeResponse& response) {
  if (!response.rejection.empty()) return response.rejection;
  if (response.number != peer)
    return "at keeper " + std::to_string(peer) + "'s address is keeper " + std::to_string(response.number);
  return consensus::rejectionText(identity_.checkPeer(peer, response.mark));
}

void VoterHandshake::reportIfMajority() {
  const std::size_t agreeing = acceptedBy_.size() + 1;  // including this coordinator
  if (agreeing > settings_.coordinators.size() / 2) reportResult({Result::Outcome::admitted, {}});
}

void VoterHandshake::reportResult(const Result& result) {
  if (onResult_) std::exchange(onResult_, nullptr)(result);
}

}  // namespace cairnjunction::fleet
