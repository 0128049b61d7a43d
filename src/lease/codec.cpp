// Commands and snapshots of the registry as bytes (MessagePack). What is read is bounded and checked whole
// before any of it is used.
#include <msgpack.hpp>
#include <stdexcept>

#include "lease/lease_table.hpp"

namespace cairnjunction::lease {
namespace {

constexpr int kFormat = 1;  // of both; a keeper of another one says so and does not guess
// Of anything that is read, in elements, bytes and depth: some times of what the bounds of the registry
// allow.
const msgpack::unpack_limit kLimit(16384, 16384, 4096, 4096, 0, 8);

using Row = std::tuple<std::string, std::uint32_t, Epoch, std::string, Incarnation, std::int64_t,
                       std::int64_t, std::uint8_t, Sequence>;
using RecordRow = std::tuple<std::string, std::string, std::uint32_t, std::int64_t>;
using Snapshot = std::tuple<int, std::int64_t, std::vector<Row>, std::map<std::string, Incarnation>,
                            std::vector<RecordRow>>;
using HeldRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence>;
// Format, time, kind, and for all kinds in one: member, zone, lease, failed, keys.
using CommandRow = std::tuple<int, std::int64_t, std::uint8_t, std::string, Incarnation, std::string,
                              std::int64_t, bool, std::vector<HeldRow>>;

template <class T>
std::string packed(const T& value) {
  msgpack::sbuffer out;
  msgpack::pack(out, value);
  return {out.data(), out.size()};
}

template <class T>
T unpacked(std::string_view bytes, const char* what) {
  try {
    std::size_t end = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, kLimit);
    if (end != bytes.size()) throw std::invalid_argument(std::string(what) + ": bytes behind its end");
    return handle.get().as<T>();
  } catch (const msgpack::unpack_error& bad) {
    throw std::invalid_argument(std::string(what) + ": " + bad.what());
  } catch (const msgpack::type_error& bad) {
    throw std::invalid_argument(std::string(what) + ": " + bad.what());
  }
}

void requireFormat(int format, const char* what) {
  if (format != kFormat)
    throw std::invalid_argument(std::string(what) + ": format " + std::to_string(format) + ", expected " +
                                std::to_string(kFormat));
}

}  // namespace

std::string encode(const LogEntry& command) {
  Member member;
  std::string zone;
  Duration lease{};
  bool failed = false;
  std::vector<HeldRow> keys;
  std::visit(
      [&](const auto& c) {
        using T = std::decay_t<decltype(c)>;
        member = c.member;
        if constexpr (std::is_same_v<T, MemberJoined>) zone = c.zone;
        if constexpr (std::is_same_v<T, LeaseGranted> || std::is_same_v<T, LeasesRenewed>)
          lease = c.leaseDuration;
        if constexpr (std::is_same_v<T, LeaseGranted>) keys.emplace_back(c.key.task, c.key.shard, 0, 0);
        if constexpr (std::is_same_v<T, LeaseReleased>) {
          failed = c.failed;
          keys.emplace_back(c.key.task, c.key.shard, c.epoch, 0);
        }
        if constexpr (std::is_same_v<T, LeasesRenewed>)
          for (const LeasesRenewed::Held& h : c.held)
            keys.emplace_back(h.key.task, h.key.shard, h.epoch, h.sequence);
      },
      command.change);
  return packed(CommandRow(kFormat, command.now.time_since_epoch().count(),
                           static_cast<std::uint8_t>(command.change.index()), member.name, member.incarnation,
                           zone, lease.count(), failed, keys));
}

LogEntry decode(std::string_view bytes) {
  constexpr const char* kWhat = "command";
  const auto [format, now, kind, name, incarnation, zone, lease, failed, keys] =
      unpacked<CommandRow>(bytes, kWhat);
  requireFormat(format, kWhat);
  const Member member{name, incarnation};
  std::vector<LeasesRenewed::Held> held;
  for (const auto& [duty, shard, epoch, sequence] : keys) held.push_back({{duty, shard}, epoch, sequence});
  if ((kind == 1 || kind == 3) && held.size() != 1)
    throw std::invalid_argument("command: kind " + std::to_string(kind) + " names no key");
  LogEntry command{LogTime(Duration(now)), {}};
  switch (kind) {
    case 0: command.change = MemberJoined{member, zone}; break;
    case 1: command.change = LeaseGranted{held[0].key, member, Duration(lease)}; break;
    case 2: command.change = LeasesRenewed{member, held, Duration(lease)}; break;
    case 3: command.change = LeaseReleased{held[0].key, held[0].epoch, member, failed}; break;
    case 4: command.change = MemberLeft{member}; break;
    default: throw std::invalid_argument("command: unknown kind " + std::to_string(kind));
  }
  return command;
}

std::string LeaseTable::snapshot() const {
  std::vector<Row> rows;
  for (const auto& [key, h] : holdings_)
    rows.emplace_back(key.task, key.shard, h.epoch, h.holder.name, h.holder.incarnation,
                      h.grantedAt.time_since_epoch().count(), h.expiresAt.time_since_epoch().count(),
                      static_cast<std::uint8_t>(h.reason), h.sequence);
  std::vector<RecordRow> records;
  for (const auto& [who, r] : records_)
    records.emplace_back(who.first, who.second, r.consecutiveFailures,
                         r.backoffUntil.time_since_epoch().count());
  return packed(Snapshot(kFormat, now_.time_since_epoch().count(), rows, members_, records));
}

void LeaseTable::restore(std::string_view bytes) {
  const auto [format, now, rows, members, records] = unpacked<Snapshot>(bytes, "snapshot");
  requireFormat(format, "snapshot");
  if (rows.size() > kKeysMost || members.size() > kMembersMost || records.size() > kRecordsMost)
    throw std::invalid_argument("snapshot: more than there is room for");
  LeaseTable next;
  next.now_ = LogTime(Duration(now));
  next.members_ = members;
  for (const auto& [duty, shard, epoch, owner, incarnation, since, until, why, sequence] : rows) {
    if (why > static_cast<std::uint8_t>(LeaseChangeReason::left))
      throw std::invalid_argument("snapshot: unknown reason");
    next.holdings_[{duty, shard}] = {epoch,
                                     {owner, incarnation},
                                     LogTime(Duration(since)),
                                     LogTime(Duration(until)),
                                     static_cast<LeaseChangeReason>(why),
                                     sequence};
  }
  for (const auto& [member, duty, failures, until] : records)
    next.records_[{member, duty}] = {failures, LogTime(Duration(until))};
  *this = std::move(next);
}

}  // namespace cairnjunction::lease
