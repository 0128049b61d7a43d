// Frames as MessagePack.
#include "fleet/frame.hpp"

#include <msgpack.hpp>

namespace cairnjunction::fleet {
namespace {

using lease::Epoch;
using lease::LeaseKey;
using lease::Member;
using lease::Sequence;

const msgpack::unpack_limit kLimit(4096, 4096, kFrameMost, kFrameMost, 0, 6);

// Each message as a tuple of plain values, and back. One line for each direction and message.
using KeyRow = std::tuple<std::string, std::uint32_t>;
using MarkRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence>;
using GrantRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence, std::int64_t, std::int64_t>;
using LostRow = std::tuple<std::string, std::uint32_t, Epoch>;

std::tuple<int, std::string, std::string, lease::Incarnation, std::string, bool> row(const JoinRequest& m) {
  return {m.protocol, m.fleet, m.member.name, m.member.incarnation, m.zone, m.willing};
}
std::tuple<int, std::string, int, std::uint64_t, std::uint64_t> row(const VoterHandshakeRequest& m) {
  return {m.protocol, m.fleet, m.number, m.mark.incarnation, m.mark.startCount};
}
std::tuple<int, std::uint64_t, std::uint64_t, std::string> row(const VoterHandshakeResponse& m) {
  return {m.number, m.mark.incarnation, m.mark.startCount, m.rejection};
}
std::tuple<int, std::uint32_t, std::vector<MarkRow>> row(const JoinResponse& m) {
  std::vector<MarkRow> marks;
  for (const auto& [key, mark] : m.marks) marks.emplace_back(key.task, key.shard, mark.epoch, mark.sequence);
  return {m.coordinator, m.members, marks};
}
std::tuple<int> row(const NotLeader& m) { return {m.leader}; }
std::tuple<std::string> row(const JoinRejected& m) { return {m.reason}; }
std::tuple<std::int64_t, std::vector<MarkRow>> row(const Heartbeat& m) {
  std::vector<MarkRow> held;
  for (const auto& h : m.held) held.emplace_back(h.key.task, h.key.shard, h.epoch, h.sequence);
  return {m.sentAt.time_since_epoch().count(), held};
}
std::tuple<std::uint32_t, std::vector<GrantRow>, std::vector<LostRow>> row(const HeartbeatResponse& m) {
  std::vector<GrantRow> granted;
  for (const LeaseGrant& g : m.granted)
    granted.emplace_back(g.key.task, g.key.shard, g.epoch, g.sequence, g.askedAt.time_since_epoch().count(),
                         g.leaseDuration.count());
  std::vector<LostRow> lost;
  for (const auto& [key, epoch] : m.lost) lost.emplace_back(key.task, key.shard, epoch);
  return {m.members, granted, lost};
}
std::tuple<std::string, std::uint32_t, Epoch, bool> row(const ReleaseLease& m) {
  return {m.key.task, m.key.shard, m.epoch, m.failed};
}
std::tuple<std::string, std::uint32_t, Epoch> row(const TransferLease& m) {
  return {m.key.task, m.key.shard, m.epoch};
}
std::tuple<std::string, std::uint32_t, Epoch, Sequence, std::string, lease::Incarnation, bool, std::string>
row(const Command& m) {
  return {m.token.key.task,    m.token.key.shard,          m.token.epoch, m.token.sequence,
          m.token.holder.name, m.token.holder.incarnation, m.retained,    m.body};
}
std::tuple<> row(const Leave&) { return {}; }

template <class T>
using RowOf = decltype(row(std::declval<T>()));

void fill(JoinRequest& m, RowOf<JoinRequest> r) {
  std::tie(m.protocol, m.fleet, m.member.name, m.member.incarnation, m.zone, m.willing) = std::move(r);
}
void fill(VoterHandshakeRequest& m, RowOf<VoterHandshakeRequest> r) {
  std::tie(m.protocol, m.fleet, m.number, m.mark.incarnation, m.mark.startCount) = std::move(r);
}
void fill(VoterHandshakeResponse& m, RowOf<VoterHandshakeResponse> r) {
  std::tie(m.number, m.mark.incarnation, m.mark.startCount, m.rejection) = std::move(r);
}
void fill(JoinResponse& m, RowOf<JoinResponse> r) {
  std::vector<MarkRow> marks;
  std::tie(m.coordinator, m.members, marks) = std::move(r);
  for (auto& [duty, shard, epoch, sequence] : marks) m.marks[{duty, shard}] = {epoch, sequence, {}};
}
void fill(NotLeader& m, RowOf<NotLeader> r) { std::tie(m.leader) = r; }
void fill(JoinRejected& m, RowOf<JoinRejected> r) { std::tie(m.reason) = std::move(r); }
void fill(Heartbeat& m, RowOf<Heartbeat> r) {
  std::vector<MarkRow> held;
  std::int64_t sentAt = 0;
  std::tie(sentAt, held) = std::move(r);
  m.sentAt = lease::BootTime(lease::Duration(sentAt));
  for (auto& [duty, shard, epoch, sequence] : held) m.held.push_back({{duty, shard}, epoch, sequence});
}
void fill(HeartbeatResponse& m, RowOf<HeartbeatResponse> r) {
  std::vector<GrantRow> granted;
  std::vector<LostRow> lost;
  std::tie(m.members, granted, lost) = std::move(r);
  for (auto& [duty, shard, epoch, sequence, askedAt, duration] : granted)
    m.granted.push_back({{duty, shard},
                         epoch,
                         sequence,
                         lease::BootTime(lease::Duration(askedAt)),
                         lease::Duration(duration)});
  for (auto& [duty, shard, epoch] : lost) m.lost.emplace_back(LeaseKey{duty, shard}, epoch);
}
void fill(ReleaseLease& m, RowOf<ReleaseLease> r) {
  std::tie(m.key.task, m.key.shard, m.epoch, m.failed) = std::move(r);
}
void fill(TransferLease& m, RowOf<TransferLease> r) {
  std::tie(m.key.task, m.key.shard, m.epoch) = std::move(r);
}
void fill(Command& m, RowOf<Command> r) {
  std::tie(m.token.key.task, m.token.key.shard, m.token.epoch, m.token.sequence, m.token.holder.name,
           m.token.holder.incarnation, m.retained, m.body) = std::move(r);
}

template <std::size_t I = 0>
Message read(std::size_t kind, const msgpack::object& values) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (kind != I) return read<I + 1>(kind, values);
    using T = std::variant_alternative_t<I, Message>;
    T message;
    // Danger: a tuple that is too short would leave values as they were.
    if (values.type != msgpack::type::ARRAY || values.via.array.size != std::tuple_size_v<RowOf<T>>)
      throw BadFrame("a message of kind " + std::to_string(kind) + " has another number of values");
    if constexpr (std::tuple_size_v < RowOf < T >>> 0) fill(message, values.as<RowOf<T>>());
    return message;
  } else {
    throw BadFrame("a message of unknown kind " + std::to_string(kind));
  }
}

}  // namespace

Bytes encode(const Message& message) {
  msgpack::sbuffer out;
  out.write("\0\0\0\0", 4);
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint32_t>(message.index()));
  std::visit([&packer](const auto& m) { packer.pack(row(m)); }, message);
  const std::size_t size = out.size() - 4;
  if (size > kFrameMost) throw BadFrame("a frame of " + std::to_string(size) + " bytes");
  auto bytes = std::make_shared<std::string>(out.data(), out.size());
  for (int i = 0; i < 4; ++i) (*bytes)[static_cast<std::size_t>(i)] = static_cast<char>(size >> (24 - 8 * i));
  return bytes;
}

Message decode(std::string_view payload) {
  try {
    std::size_t end = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size(), end, nullptr, nullptr, kLimit);
    const msgpack::object& object = handle.get();
    if (end != payload.size() || object.type != msgpack::type::ARRAY || object.via.array.size != 2)
      throw BadFrame("a frame that is no pair of kind and values");
    return read(object.via.array.ptr[0].as<std::uint32_t>(), object.via.array.ptr[1]);
  } catch (const msgpack::unpack_error& bad) {
    throw BadFrame(std::string("a frame that can't be read: ") + bad.what());
  } catch (const msgpack::type_error& bad) {
    throw BadFrame(std::string("a value of another type: ") + bad.what());
  }
}

}  // namespace cairnjunction::fleet
