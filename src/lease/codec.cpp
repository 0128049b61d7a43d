// The encoding of log entries and snapshots. The order of the elements of each tuple is part of the stored
// format.
#include "lease/codec.hpp"

#include <msgpack.hpp>
#include <stdexcept>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace cairnjunction::lease {
namespace {

// The format version of entries and snapshots. Decoding rejects any other version.
constexpr int kFormat = 1;
// Elements of an array and of a map, bytes of a string and of a binary, extensions, depth of nesting: several
// times what the limits of the lease table allow.
const msgpack::unpack_limit kUnpackLimit(16384, 16384, 4096, 4096, 0, 8);

// Prefixes of error messages.
constexpr const char* kEntry = "command";
constexpr const char* kSnapshot = "snapshot";

// The kinds of changes as stored in the log: the indexes of the alternatives of Change.
enum class ChangeKind : std::uint8_t { memberJoined, leaseGranted, leasesRenewed, leaseReleased, memberLeft };
static_assert(std::is_same_v<std::variant_alternative_t<1, Change>, LeaseGranted> &&
              std::is_same_v<std::variant_alternative_t<3, Change>, LeaseReleased> &&
              std::variant_size_v<Change> == 5);

// Task, shard, epoch, sequence.
using KeyRow = std::tuple<std::string, std::uint32_t, Epoch, Sequence>;
// Format, log time, kind, and the fields of all kinds of changes: member's name and incarnation, zone, lease
// duration, failed, keys. Times and durations are in milliseconds.
using EntryRow = std::tuple<int, std::int64_t, std::uint8_t, std::string, Incarnation, std::string,
                            std::int64_t, bool, std::vector<KeyRow>>;
// Task, shard, epoch, holder's name and incarnation, granted at, expires at, reason, sequence. Times are in
// milliseconds.
using RecordRow = std::tuple<std::string, std::uint32_t, Epoch, std::string, Incarnation, std::int64_t,
                             std::int64_t, std::uint8_t, Sequence>;
// Member, task, consecutive failures, backoff until (milliseconds).
using FailureRow = std::tuple<std::string, std::string, std::uint32_t, std::int64_t>;
// Format, log time (milliseconds), records, members, failure histories.
using SnapshotRow = std::tuple<int, std::int64_t, std::vector<RecordRow>, std::map<std::string, Incarnation>,
                               std::vector<FailureRow>>;

std::int64_t millisecondsOf(LogTime time) { return time.time_since_epoch().count(); }
LogTime logTimeOf(std::int64_t milliseconds) { return LogTime(Duration(milliseconds)); }

template <class Value>
std::string pack(const Value& value) {
  msgpack::sbuffer out;
  msgpack::pack(out, value);
  return {out.data(), out.size()};
}

template <class Value>
Value unpack(std::string_view bytes, const std::string& what) {
  try {
    std::size_t end = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, kUnpackLimit);
    if (end != bytes.size()) throw std::invalid_argument(what + ": trailing bytes");
    return handle.get().as<Value>();
  } catch (const msgpack::unpack_error& error) {
    throw std::invalid_argument(what + ": " + error.what());
  } catch (const msgpack::type_error& error) {
    throw std::invalid_argument(what + ": " + error.what());
  }
}

void requireFormat(int format, const std::string& what) {
  if (format != kFormat)
    throw std::invalid_argument(what + ": format " + std::to_string(format) + ", expected " +
                                std::to_string(kFormat));
}

// The fields of all kinds of changes; those that a kind does not have keep their defaults.
struct ChangeFields {
  Member member;
  std::string zone;
  Duration leaseDuration{};
  bool failed = false;
  std::vector<KeyRow> keys;
};

ChangeFields fieldsOf(const MemberJoined& joined) {
  ChangeFields fields;
  fields.member = joined.member;
  fields.zone = joined.zone;
  return fields;
}

ChangeFields fieldsOf(const LeaseGranted& granted) {
  ChangeFields fields;
  fields.member = granted.member;
  fields.leaseDuration = granted.leaseDuration;
  fields.keys.emplace_back(granted.key.task, granted.key.shard, 0, 0);
  return fields;
}

ChangeFields fieldsOf(const LeasesRenewed& renewed) {
  ChangeFields fields;
  fields.member = renewed.member;
  fields.leaseDuration = renewed.leaseDuration;
  for (const LeasesRenewed::HeldKey& held : renewed.held)
    fields.keys.emplace_back(held.key.task, held.key.shard, held.epoch, held.sequence);
  return fields;
}

ChangeFields fieldsOf(const LeaseReleased& released) {
  ChangeFields fields;
  fields.member = released.member;
  fields.failed = released.failed;
  fields.keys.emplace_back(released.key.task, released.key.shard, released.epoch, 0);
  return fields;
}

ChangeFields fieldsOf(const MemberLeft& left) {
  ChangeFields fields;
  fields.member = left.member;
  return fields;
}

std::vector<LeasesRenewed::HeldKey> heldKeysOf(const std::vector<KeyRow>& rows) {
  std::vector<LeasesRenewed::HeldKey> held;
  held.reserve(rows.size());
  for (const auto& [task, shard, epoch, sequence] : rows) held.push_back({{task, shard}, epoch, sequence});
  return held;
}

// The key of a change that has exactly one. Throws std::invalid_argument if there are none or several.
LeasesRenewed::HeldKey singleKeyOf(const std::vector<KeyRow>& rows, std::uint8_t kind) {
  if (rows.size() != 1)
    throw std::invalid_argument(std::string(kEntry) + ": kind " + std::to_string(kind) +
                                " does not have exactly one key");
  return heldKeysOf(rows).front();
}

Change changeOf(std::uint8_t kind, const ChangeFields& fields) {
  switch (static_cast<ChangeKind>(kind)) {
    case ChangeKind::memberJoined: return MemberJoined{fields.member, fields.zone};
    case ChangeKind::leaseGranted:
      return LeaseGranted{singleKeyOf(fields.keys, kind).key, fields.member, fields.leaseDuration};
    case ChangeKind::leasesRenewed:
      return LeasesRenewed{fields.member, heldKeysOf(fields.keys), fields.leaseDuration};
    case ChangeKind::leaseReleased: {
      const LeasesRenewed::HeldKey released = singleKeyOf(fields.keys, kind);
      return LeaseReleased{released.key, released.epoch, fields.member, fields.failed};
    }
    case ChangeKind::memberLeft: return MemberLeft{fields.member};
  }
  throw std::invalid_argument(std::string(kEntry) + ": unknown kind " + std::to_string(kind));
}

LeaseChangeReason reasonOf(std::uint8_t number) {
  if (number > static_cast<std::uint8_t>(LeaseChangeReason::left))
    throw std::invalid_argument(std::string(kSnapshot) + ": unknown reason");
  return static_cast<LeaseChangeReason>(number);
}

}  // namespace

std::string encode(const LogEntry& entry) {
  const auto kind = static_cast<std::uint8_t>(entry.change.index());
  const ChangeFields fields = std::visit([](const auto& change) { return fieldsOf(change); }, entry.change);
  return pack(EntryRow(kFormat, millisecondsOf(entry.now), kind, fields.member.name,
                       fields.member.incarnation, fields.zone, fields.leaseDuration.count(), fields.failed,
                       fields.keys));
}

LogEntry decode(std::string_view bytes) {
  const auto [format, now, kind, name, incarnation, zone, leaseDuration, failed, keys] =
      unpack<EntryRow>(bytes, kEntry);
  requireFormat(format, kEntry);
  const ChangeFields fields{{name, incarnation}, zone, Duration(leaseDuration), failed, keys};
  return {logTimeOf(now), changeOf(kind, fields)};
}

std::string encodeSnapshot(const LeaseTableState& state) {
  std::vector<RecordRow> records;
  records.reserve(state.records.size());
  for (const auto& [key, record] : state.records)
    records.emplace_back(key.task, key.shard, record.epoch, record.holder.name, record.holder.incarnation,
                         millisecondsOf(record.grantedAt), millisecondsOf(record.expiresAt),
                         static_cast<std::uint8_t>(record.reason), record.sequence);
  std::vector<FailureRow> failures;
  failures.reserve(state.failures.all().size());
  for (const auto& [memberTask, history] : state.failures.all())
    failures.emplace_back(memberTask.first, memberTask.second, history.consecutiveFailures,
                          millisecondsOf(history.backoffUntil));
  return pack(SnapshotRow(kFormat, millisecondsOf(state.logTime), records, state.members, failures));
}

LeaseTableState decodeSnapshot(std::string_view bytes) {
  const auto [format, now, records, members, failures] = unpack<SnapshotRow>(bytes, kSnapshot);
  requireFormat(format, kSnapshot);
  if (records.size() > kMaxKeys || members.size() > kMaxMembers ||
      failures.size() > FailureHistories::kMaxHistories)
    throw std::invalid_argument(std::string(kSnapshot) + ": exceeds the limits of the lease table");
  LeaseTableState state;
  state.logTime = logTimeOf(now);
  state.members = members;
  for (const auto& [task, shard, epoch, holder, incarnation, grantedAt, expiresAt, reason, sequence] :
       records)
    state.records[{task, shard}] = {
        epoch, {holder, incarnation}, logTimeOf(grantedAt), logTimeOf(expiresAt), reasonOf(reason), sequence};
  std::map<FailureHistories::MemberTask, FailureHistory> histories;
  for (const auto& [member, task, consecutiveFailures, backoffUntil] : failures)
    histories[{member, task}] = {consecutiveFailures, logTimeOf(backoffUntil)};
  state.failures = FailureHistories(std::move(histories));
  return state;
}

}  // namespace cairnjunction::lease
