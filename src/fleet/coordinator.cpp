#include "fleet/coordinator.hpp"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "fleet/coordinator_status.hpp"

namespace cairnjunction::fleet {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

namespace {

// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

template <class T, class... Others>
constexpr bool isOneOf = (std::is_same_v<T, Others> || ...);

}  // namespace

Coordinator::Coordinator(boost::asio::io_context& io, const Settings& settings, int number,
                         consensus::VoterIdentity& identity, const LeaseStateMachine& machine,
                         EventLog& events)
    : io_(io),
      settings_(settings),
      number_(number),
      identity_(identity),
      events_(events),
      acceptor_(io, settings.coordinator(number)->address),
      acceptTimer_(io),
      log_(machine),
      renewal_(settings, log_, connections_),
      granting_(io, settings, log_, connections_, events) {
  accept();
}

Coordinator::~Coordinator() { connections_.abandonAll(); }

void Coordinator::startServing(consensus::ReplicatedLog& log) {
  log_.attach(log);
  log.onLeadershipChange(lifetime_.guard([this] { onLeadershipChange(); }));
  log.onPauseChange(lifetime_.guard([this] { onPauseChange(); }));
}

void Coordinator::stop() {
  stopping_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  granting_.stop();
  log_.detach();
  connections_.finishAll(NotLeader{}, LinkEnd::stopped);
}

void Coordinator::onPauseChange() {
  const std::optional<std::string> reason = log_.pauseReason();
  if (!reason) return events_.write(Event::votingResumed, {{"pauses", votingPauses_}});
  events_.write(Event::votingPaused, {{"reason", *reason}, {"pauses", ++votingPauses_}});
}

void Coordinator::onLeadershipChange() {
  if (stopping_ || isLeader() == actingAsLeader_) return;
  actingAsLeader_ = isLeader();
  events_.write(actingAsLeader_ ? Event::leadershipAcquired : Event::leadershipLost,
                {{"leader", log_.leader()}});
  if (actingAsLeader_) {
    log_.onLeadershipAcquired();
    return granting_.start();
  }
  granting_.stop();
  retainedCommands_.clear();
  connections_.finishAll(NotLeader{}, LinkEnd::notLeader);
}

// --- Connections

void Coordinator::accept() {
  acceptor_.async_accept(lifetime_.guard([this](error_code error, tcp::socket socket) {
    if (stopping_) return;
    if (error) return scheduleAccept();
    if (!connections_.isFull()) addConnection(std::move(socket));
    accept();
  }));
}

void Coordinator::scheduleAccept() {
  acceptTimer_.expires_after(kAcceptRetryDelay);
  acceptTimer_.async_wait(lifetime_.guard([this](error_code cancelled) {
    if (!cancelled) accept();
  }));
}

void Coordinator::addConnection(tcp::socket socket) {
  const auto connection = std::make_shared<PeerConnection>();
  // Weak, because the connection owns the link, which owns the callbacks.
  const std::weak_ptr<PeerConnection> weak = connection;
  Link::Limits limits;
  limits.receiveTimeout = settings_.isolatedAfter;
  connection->link = Link::accepted(io_, std::move(socket), limits,
                                    {nullptr, lifetime_.guard([this, weak](const Message& message) {
                                       if (const PeerConnectionPtr peer = weak.lock())
                                         onMessage(peer, message);
                                     }),
                                     lifetime_.guard([this, weak](LinkEnd end, const std::string& detail) {
                                       if (const PeerConnectionPtr peer = weak.lock())
                                         onLinkEnd(peer, end, detail);
                                     })});
  connections_.add(connection);
}

void Coordinator::onMessage(const PeerConnectionPtr& connection, const Message& message) {
  std::visit(
      [&](const auto& typed) {
        using T = std::decay_t<decltype(typed)>;
        if constexpr (isOneOf<T, JoinRequest, VoterHandshakeRequest>) {
          handle(connection, typed);
        } else if constexpr (isOneOf<T, Heartbeat, ReleaseLease, Command, Leave>) {
          // A peer that has not joined sent it before the rejection arrived there; it is ignored.
          if (connection->joined) handle(connection, typed);
        } else {
          reject(connection, "a keeper's word from a member");
        }
      },
      message);
}

void Coordinator::onLinkEnd(const PeerConnectionPtr& connection, LinkEnd end, const std::string& detail) {
  if (connections_.remove(connection))
    return events_.write(Event::memberLinkEnded,
                         {{"name", connection->member.name}, {"end", nameOf(end)}, {"why", detail}});
  if (end != LinkEnd::badFrame) return;
  ++rejectedPeers_;
  events_.write(Event::joinRejected, {{"name", connection->member.name}, {"why", detail}});
}

void Coordinator::reject(const PeerConnectionPtr& connection, const std::string& reason) {
  ++rejectedPeers_;
  events_.write(Event::joinRejected, {{"name", connection->member.name}, {"why", reason}});
  connection->link->send(JoinRejected{reason});
  connection->link->finish(LinkEnd::stopped);
}

// --- Handshakes and joining

void Coordinator::handle(const PeerConnectionPtr& connection, const VoterHandshakeRequest& request) {
  const bool isPeer = request.protocol == kProtocol && request.fleet == settings_.fleet &&
                      request.number != number_ && settings_.coordinator(request.number) != nullptr;
  if (!isPeer)
    return reject(connection, "keeper " + std::to_string(request.number) + " of fleet '" + request.fleet +
                                  "', protocol " + std::to_string(request.protocol) + ": not one of ours");
  std::string rejection;
  try {
    rejection = consensus::rejectionText(identity_.checkPeer(request.number, request.mark));
  } catch (const consensus::LogError& error) {  // the peer's mark can't be stored now: the peer retries
    return reject(connection, error.what());
  }
  events_.write(rejection.empty() ? Event::voterAccepted : Event::voterRejected,
                {{"number", request.number}, {"starts", request.mark.startCount}, {"why", rejection}});
  connection->link->send(VoterHandshakeResponse{number_, identity_.own(), rejection});
  connection->link->finish(LinkEnd::stopped);
}

std::string Coordinator::rejectionReason(const JoinRequest& request) const {
  if (request.protocol != kProtocol)
    return "protocol " + std::to_string(request.protocol) + ", this keeper speaks " +
           std::to_string(kProtocol);
  if (request.fleet != settings_.fleet)
    return "a member of fleet '" + request.fleet + "', this is '" + settings_.fleet + "'";
  return {};
}

void Coordinator::handle(const PeerConnectionPtr& connection, const JoinRequest& request) {
  if (!connection->member.name.empty()) return reject(connection, "it greeted twice");
  connection->member = request.member;
  connection->zone = request.zone;
  connection->eligible = request.eligible;
  const std::string rejection = rejectionReason(request);
  if (!rejection.empty()) return reject(connection, rejection);
  if (!isLeader()) {
    connection->link->send(NotLeader{log_.leader()});
    return connection->link->finish(LinkEnd::notLeader);
  }
  if (const PeerConnectionPtr known = connections_.findMember(request.member.name)) {
    if (known->member != request.member)
      return reject(connection, "the name '" + request.member.name + "' is in use by another process");
    known->link->close(LinkEnd::notLeader);  // the same process has dialled again
  }
  connections_.addMember(connection);
  log_.propose(lease::MemberJoined{request.member, request.zone},
               lifetime_.guard([this, connection](const lease::ApplyResult& result) {
                 if (connection->ended) return;
                 if (result.rejection != lease::RejectionReason::none)
                   return reject(connection, std::string(lease::nameOf(result.rejection)));
                 sendJoinResponse(connection);
               }));
}

// Called after the member's MemberJoined was applied, so the marks include every epoch granted before.
void Coordinator::sendJoinResponse(const PeerConnectionPtr& connection) {
  connection->joined = true;
  JoinResponse response{number_, connections_.memberCount(), {}};
  // The last command that each lease holder reported may not have reached this member, so it must still be
  // accepted.
  for (const auto& [key, record] : log_.table().records())
    response.marks[key] =
        lease::FencingGate::FencingMark{record.epoch, record.sequence, {}}.withoutLastCommand();
  connection->link->send(response);
  for (const auto& [key, entry] : retainedCommands_.entries()) connection->link->send(entry.frame);
  events_.write(Event::memberJoined, {{"name", connection->member.name},
                                      {"incarnation", connection->member.incarnation},
                                      {"zone", connection->zone}});
}

// --- Leases and commands

void Coordinator::handle(const PeerConnectionPtr& connection, const Heartbeat& heartbeat) {
  renewal_.onHeartbeat(connection, heartbeat);
}

void Coordinator::handle(const PeerConnectionPtr& connection, const ReleaseLease& release) {
  log_.propose(
      lease::LeaseReleased{release.key, release.epoch, connection->member, release.failed},
      lifetime_.guard([this, connection, release](const lease::ApplyResult& result) {
        if (result.rejection != lease::RejectionReason::none) return;
        json fields = fieldsOf(release.key);
        fields.update(
            {{"name", connection->member.name}, {"epoch", release.epoch}, {"failed", release.failed}});
        events_.write(Event::leaseReleased, std::move(fields));
        granting_.grantFreeLeases();
      }));
}

void Coordinator::handle(const PeerConnectionPtr& connection, const Leave& /*leave*/) {
  connection->eligible = false;
  log_.propose(lease::MemberLeft{connection->member},
               lifetime_.guard([this, connection](const lease::ApplyResult&) {
                 events_.write(Event::memberLeft, {{"name", connection->member.name}});
                 // The link stays open: the member still serves for a while and receives commands.
                 if (!connection->ended) connection->link->send(Leave{});
                 granting_.grantFreeLeases();
               }));
}

// Commands are forwarded without a check for staleness: only each receiver's fencing gate decides whether a
// command is too old.
void Coordinator::handle(const PeerConnectionPtr& connection, const Command& command) {
  if (command.token.holder != connection->member)
    return reject(connection, "an order under another member's name");
  ++forwardedCommands_;
  const SharedFrame frame = encode(command);
  if (command.retained) retainedCommands_.store(command.token, frame);
  for (const PeerConnectionPtr& receiver : connections_.joined())
    if (receiver != connection) receiver->link->send(frame);
}

// --- Operators

json Coordinator::status() const {
  return statusJson({settings_.fleet, number_, forwardedCommands_, rejectedPeers_, votingPauses_}, log_,
                    connections_);
}

json Coordinator::leases() const { return leasesJson(log_); }

}  // namespace cairnjunction::fleet
