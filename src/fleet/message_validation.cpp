#include "fleet/message_validation.hpp"

#include <simdjson.h>

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

#include "fleet/frame.hpp"

namespace cairnjunction::fleet {
namespace {

void requireText(const std::string& text, const char* what) {
  if (text.size() > kMaxTextBytes)
    throw BadFrame(std::string(what) + " of " + std::to_string(text.size()) + " bytes, expected at most " +
                   std::to_string(kMaxTextBytes));
  if (!simdjson::validate_utf8(text.data(), text.size()))
    throw BadFrame(std::string(what) + " that is not UTF-8");
}

void requireKey(const lease::LeaseKey& key) { requireText(key.task, "a task"); }

void requireBootTime(lease::BootTime time) {
  const lease::Duration sinceBoot = time.time_since_epoch();
  if (sinceBoot < lease::Duration(0) || sinceBoot > kMaxBootTime)
    throw BadFrame("a boot time of " + std::to_string(sinceBoot.count()) + " ms");
}

// A mark is stored in a file whose integers are signed.
void requireMark(const consensus::VoterMark& mark) {
  constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (mark.incarnation > kMax || mark.startCount > kMax)
    throw BadFrame("a voter's mark of " + std::to_string(mark.incarnation) + ", start " +
                   std::to_string(mark.startCount));
}

void requireMemberCount(std::uint32_t members) {
  if (members > kMaxMemberCount)
    throw BadFrame(std::to_string(members) + " members, expected at most " + std::to_string(kMaxMemberCount));
}

void requireValid(const JoinRequest& message) {
  requireText(message.fleet, "a fleet");
  requireText(message.member.name, "a member");
  requireText(message.zone, "a zone");
}

void requireValid(const VoterHandshakeRequest& message) {
  requireText(message.fleet, "a fleet");
  requireMark(message.mark);
}

void requireValid(const VoterHandshakeResponse& message) {
  requireText(message.rejection, "a reason");
  requireMark(message.mark);
}

void requireValid(const JoinResponse& message) {
  requireMemberCount(message.members);
  for (const auto& [key, mark] : message.marks) requireKey(key);
}

void requireValid(const NotLeader& /*message*/) {}

void requireValid(const JoinRejected& message) { requireText(message.reason, "a reason"); }

void requireValid(const Heartbeat& message) {
  requireBootTime(message.sentAt);
  for (const lease::LeasesRenewed::HeldKey& held : message.held) requireKey(held.key);
}

void requireValid(const LeaseGrant& grant) {
  requireKey(grant.key);
  requireBootTime(grant.heartbeatSentAt);
  if (grant.leaseDuration < lease::kMinLeaseDuration || grant.leaseDuration > lease::kMaxLeaseDuration)
    throw BadFrame("a lease of " + std::to_string(grant.leaseDuration.count()) + " ms");
}

void requireValid(const HeartbeatResponse& message) {
  requireMemberCount(message.members);
  for (const LeaseGrant& grant : message.granted) requireValid(grant);
  for (const LostLease& lost : message.lost) requireKey(lost.key);
}

void requireValid(const ReleaseLease& message) { requireKey(message.key); }

void requireValid(const TransferLease& message) { requireKey(message.key); }

// The body is the task's own, and parsed by it.
void requireValid(const Command& message) {
  requireKey(message.token.key);
  requireText(message.token.holder.name, "a member");
}

void requireValid(const Leave& /*message*/) {}

}  // namespace

void validate(const Message& message) {
  std::visit([](const auto& typed) { requireValid(typed); }, message);
}

}  // namespace cairnjunction::fleet
