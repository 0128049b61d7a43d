#include "fleet/frame.hpp"

#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "fleet/message_validation.hpp"

namespace cairnjunction::fleet {
namespace {

using lease::Epoch;
using lease::LeaseKey;
using lease::Sequence;

// Limits of what is decoded: entries of one array or map, and depth of nesting.
constexpr std::size_t kMaxContainerEntries = 4096;
constexpr std::size_t kMaxDepth = 6;
const msgpack::unpack_limit kUnpackLimit(kMaxContainerEntries, kMaxContainerEntries, kMaxFrameBytes,
                                         kMaxFrameBytes, 0, kMaxDepth);

// Conversion of each message to a tuple of plain values (`toRow`) and back (`setFromRow`). The order of the
// values is the order on the wire. Times and durations are in milliseconds.
// Task, shard, epoch, sequence.
using KeyRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence>;
// Task, shard, epoch, sequence, when the heartbeat was sent, lease duration.
using GrantRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence, std::int64_t, std::int64_t>;
// Task, shard, epoch.
using KeyEpochRow = std::tuple<std::string, std::uint32_t, Epoch>;
using JoinRequestRow = std::tuple<int, std::string, std::string, lease::Incarnation, std::string, bool>;
using VoterHandshakeRequestRow = std::tuple<int, std::string, int, std::uint64_t, std::uint64_t>;
using VoterHandshakeResponseRow = std::tuple<int, std::uint64_t, std::uint64_t, std::string>;
using JoinResponseRow = std::tuple<int, std::uint32_t, std::vector<KeyRow>>;
using HeartbeatRow = std::tuple<std::int64_t, std::vector<KeyRow>>;
using HeartbeatResponseRow = std::tuple<std::uint32_t, std::vector<GrantRow>, std::vector<KeyEpochRow>>;
using ReleaseLeaseRow = std::tuple<std::string, std::uint32_t, Epoch, bool>;
using CommandRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence, std::string, lease::Incarnation,
                              bool, std::string>;

JoinRequestRow toRow(const JoinRequest& message) {
  return {message.protocol,           message.fleet, message.member.name,
          message.member.incarnation, message.zone,  message.eligible};
}
void setFromRow(JoinRequest& message, JoinRequestRow row) {
  std::tie(message.protocol, message.fleet, message.member.name, message.member.incarnation, message.zone,
           message.eligible) = std::move(row);
}

VoterHandshakeRequestRow toRow(const VoterHandshakeRequest& message) {
  return {message.protocol, message.fleet, message.number, message.mark.incarnation, message.mark.startCount};
}
void setFromRow(VoterHandshakeRequest& message, VoterHandshakeRequestRow row) {
  std::tie(message.protocol, message.fleet, message.number, message.mark.incarnation,
           message.mark.startCount) = std::move(row);
}

VoterHandshakeResponseRow toRow(const VoterHandshakeResponse& message) {
  return {message.number, message.mark.incarnation, message.mark.startCount, message.rejection};
}
void setFromRow(VoterHandshakeResponse& message, VoterHandshakeResponseRow row) {
  std::tie(message.number, message.mark.incarnation, message.mark.startCount, message.rejection) =
      std::move(row);
}

JoinResponseRow toRow(const JoinResponse& message) {
  std::vector<KeyRow> marks;
  marks.reserve(message.marks.size());
  for (const auto& [key, mark] : message.marks)
    marks.emplace_back(key.task, key.shard, mark.epoch, mark.sequence);
  return {message.coordinator, message.members, std::move(marks)};
}
void setFromRow(JoinResponse& message, JoinResponseRow row) {
  std::vector<KeyRow> marks;
  std::tie(message.coordinator, message.members, marks) = std::move(row);
  for (auto& [task, shard, epoch, sequence] : marks)
    message.marks[{std::move(task), shard}] = {epoch, sequence, {}};
}

std::tuple<int> toRow(const NotLeader& message) { return {message.leader}; }
void setFromRow(NotLeader& message, std::tuple<int> row) { std::tie(message.leader) = row; }

std::tuple<std::string> toRow(const JoinRejected& message) { return {message.reason}; }
void setFromRow(JoinRejected& message, std::tuple<std::string> row) {
  std::tie(message.reason) = std::move(row);
}

HeartbeatRow toRow(const Heartbeat& message) {
  std::vector<KeyRow> held;
  held.reserve(message.held.size());
  for (const auto& lease : message.held)
    held.emplace_back(lease.key.task, lease.key.shard, lease.epoch, lease.sequence);
  return {message.sentAt.time_since_epoch().count(), std::move(held)};
}
void setFromRow(Heartbeat& message, HeartbeatRow row) {
  std::int64_t sentAt = 0;
  std::vector<KeyRow> held;
  std::tie(sentAt, held) = std::move(row);
  message.sentAt = lease::BootTime(lease::Duration(sentAt));
  for (auto& [task, shard, epoch, sequence] : held)
    message.held.push_back({{std::move(task), shard}, epoch, sequence});
}

HeartbeatResponseRow toRow(const HeartbeatResponse& message) {
  std::vector<GrantRow> granted;
  granted.reserve(message.granted.size());
  for (const LeaseGrant& grant : message.granted)
    granted.emplace_back(grant.key.task, grant.key.shard, grant.epoch, grant.sequence,
                         grant.heartbeatSentAt.time_since_epoch().count(), grant.leaseDuration.count());
  std::vector<KeyEpochRow> lost;
  lost.reserve(message.lost.size());
  for (const LostLease& lease : message.lost) lost.emplace_back(lease.key.task, lease.key.shard, lease.epoch);
  return {message.members, std::move(granted), std::move(lost)};
}
void setFromRow(HeartbeatResponse& message, HeartbeatResponseRow row) {
  std::vector<GrantRow> granted;
  std::vector<KeyEpochRow> lost;
  std::tie(message.members, granted, lost) = std::move(row);
  for (auto& [task, shard, epoch, sequence, heartbeatSentAt, leaseDuration] : granted)
    message.granted.push_back({{std::move(task), shard},
                               epoch,
                               sequence,
                               lease::BootTime(lease::Duration(heartbeatSentAt)),
                               lease::Duration(leaseDuration)});
  for (auto& [task, shard, epoch] : lost)
    message.lost.push_back(LostLease{LeaseKey{std::move(task), shard}, epoch});
}

ReleaseLeaseRow toRow(const ReleaseLease& message) {
  return {message.key.task, message.key.shard, message.epoch, message.failed};
}
void setFromRow(ReleaseLease& message, ReleaseLeaseRow row) {
  std::tie(message.key.task, message.key.shard, message.epoch, message.failed) = std::move(row);
}

KeyEpochRow toRow(const TransferLease& message) {
  return {message.key.task, message.key.shard, message.epoch};
}
void setFromRow(TransferLease& message, KeyEpochRow row) {
  std::tie(message.key.task, message.key.shard, message.epoch) = std::move(row);
}

CommandRow toRow(const Command& message) {
  const lease::FencingToken& token = message.token;
  return {token.key.task,    token.key.shard,          token.epoch,      token.sequence,
          token.holder.name, token.holder.incarnation, message.retained, message.body};
}
void setFromRow(Command& message, CommandRow row) {
  lease::FencingToken& token = message.token;
  std::tie(token.key.task, token.key.shard, token.epoch, token.sequence, token.holder.name,
           token.holder.incarnation, message.retained, message.body) = std::move(row);
}

std::tuple<> toRow(const Leave& /*message*/) { return {}; }
void setFromRow(Leave& /*message*/, std::tuple<> /*row*/) {}

template <class T>
using RowFor = decltype(toRow(std::declval<T>()));

template <std::size_t Kind = 0>
Message decodeKind(std::size_t kind, const msgpack::object& values) {
  if constexpr (Kind < std::variant_size_v<Message>) {
    if (kind != Kind) return decodeKind<Kind + 1>(kind, values);
    using T = std::variant_alternative_t<Kind, Message>;
    constexpr std::size_t expected = std::tuple_size_v<RowFor<T>>;
    // The library converts a shorter array to a tuple without an error and leaves the other values at their
    // defaults.
    if (values.type != msgpack::type::ARRAY)
      throw BadFrame("a message of kind " + std::to_string(kind) + " whose values are no array");
    if (values.via.array.size != expected)
      throw BadFrame("a message of kind " + std::to_string(kind) + " with " +
                     std::to_string(values.via.array.size) + " values, expected " + std::to_string(expected));
    T message;
    setFromRow(message, values.as<RowFor<T>>());
    return message;
  } else {
    throw BadFrame("a message of unknown kind " + std::to_string(kind));
  }
}

void writeLength(std::string& frame, std::size_t size) {
  for (std::size_t byte = 0; byte < kFrameLengthBytes; ++byte)
    frame[byte] = static_cast<char>(size >> (8 * (kFrameLengthBytes - 1 - byte)));
}

}  // namespace

SharedFrame encode(const Message& message) {
  msgpack::sbuffer buffer;
  buffer.write("\0\0\0\0", kFrameLengthBytes);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint32_t>(message.index()));
  std::visit([&packer](const auto& typed) { packer.pack(toRow(typed)); }, message);
  const std::size_t size = buffer.size() - kFrameLengthBytes;
  if (size > kMaxFrameBytes)
    throw BadFrame("a frame of " + std::to_string(size) + " bytes, expected at most " +
                   std::to_string(kMaxFrameBytes));
  auto frame = std::make_shared<std::string>(buffer.data(), buffer.size());
  writeLength(*frame, size);
  return frame;
}

Message decode(std::string_view payload) {
  try {
    std::size_t end = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size(), end, nullptr, nullptr, kUnpackLimit);
    const msgpack::object& object = handle.get();
    if (end != payload.size() || object.type != msgpack::type::ARRAY || object.via.array.size != 2)
      throw BadFrame("a frame that is no pair of kind and values");
    Message message = decodeKind(object.via.array.ptr[0].as<std::uint32_t>(), object.via.array.ptr[1]);
    validate(message);
    return message;
  } catch (const msgpack::unpack_error& bad) {
    throw BadFrame(std::string("a frame that is not valid MessagePack: ") + bad.what());
  } catch (const msgpack::type_error& bad) {
    throw BadFrame(std::string("a value of an unexpected type: ") + bad.what());
  }
}

}  // namespace cairnjunction::fleet
