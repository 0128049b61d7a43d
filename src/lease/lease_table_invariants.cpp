// Checks the invariants of the lease table.
#include "lease/lease_table_invariants.hpp"

#include "lease/log_entry.hpp"

namespace cairnjunction::lease {
namespace {

// Collects the messages of the expectations that do not hold.
class Violations {
 public:
  // Sets the prefix of the next messages: a key, a member or "table".
  void setSubject(std::string subject) { subject_ = std::move(subject); }
  void expect(bool holds, const char* invariant) {
    if (!holds) messages_.push_back(subject_ + ": " + invariant);
  }
  std::vector<std::string> messages() && { return std::move(messages_); }

 private:
  std::string subject_;
  std::vector<std::string> messages_;
};

std::string textOf(const LeaseKey& key) { return key.task + "/" + std::to_string(key.shard); }

bool isValidName(const std::string& name) { return !name.empty() && name.size() <= kMaxNameBytes; }

void expectRecord(Violations& violations, const LeaseRecord& record, LogTime logTime) {
  violations.expect(record.epoch > 0, "a key that was never granted has no record");
  violations.expect(record.grantedAt <= logTime, "a lease is granted at the time of an entry");
  if (record.holder.name.empty()) {
    violations.expect(record.holder.incarnation == 0, "without a holder there is no incarnation");
    violations.expect(record.expiresAt == LogTime{}, "without a holder there is no lease to end");
    violations.expect(record.reason != LeaseChangeReason::vacant, "a lease that ended has a reason");
  } else {
    violations.expect(record.holder.incarnation != 0, "a holder has an incarnation");
    violations.expect(record.grantedAt < record.expiresAt, "a lease ends after it was granted");
    violations.expect(record.expiresAt <= logTime + kMaxLeaseDuration,
                      "a lease ends within the maximum duration");
  }
}

void expectNextRecord(Violations& violations, const LeaseRecord& before, const LeaseRecord& after,
                      LogTime logTime) {
  const bool granted = after.epoch != before.epoch;
  if (granted) {
    violations.expect(after.epoch == before.epoch + 1, "the epoch grows by one with a grant");
    violations.expect(!before.isHeldAt(logTime),
                      "a key is granted after its lease has ended or was released");
    violations.expect(!after.holder.name.empty(), "a grant has a holder");
    violations.expect(after.grantedAt == logTime, "a lease is granted at the time of its entry");
    return;
  }
  violations.expect(after.grantedAt == before.grantedAt,
                    "within an epoch the time of the grant does not change");
  violations.expect(after.sequence >= before.sequence, "within an epoch the sequence does not decrease");
  if (after.holder.name.empty()) return;
  violations.expect(after.holder == before.holder, "an epoch has one holder");
  violations.expect(after.expiresAt >= before.expiresAt, "a renewal does not shorten a lease");
  violations.expect(after.expiresAt == before.expiresAt || before.isHeldAt(logTime),
                    "a lease is not renewed after its end");
}

}  // namespace

std::vector<std::string> LeaseTableInvariants::violationsIn(const LeaseTableState& state) {
  Violations violations;
  violations.setSubject("table");
  violations.expect(state.records.size() <= kMaxKeys, "the number of keys is within its limit");
  violations.expect(state.members.size() <= kMaxMembers, "the number of members is within its limit");
  violations.expect(state.failures.all().size() <= FailureHistories::kMaxHistories,
                    "the number of failure histories is within its limit");
  for (const auto& [key, record] : state.records) {
    violations.setSubject(textOf(key));
    violations.expect(isValidName(key.task), "a task has a valid name");
    expectRecord(violations, record, state.logTime);
  }
  for (const auto& [name, incarnation] : state.members) {
    violations.setSubject("member " + name);
    violations.expect(isValidName(name), "a member has a valid name");
    violations.expect(incarnation != 0, "a member has an incarnation");
  }
  for (const auto& [memberTask, history] : state.failures.all()) {
    violations.setSubject("failures of " + memberTask.first + " at " + memberTask.second);
    violations.expect(history.consecutiveFailures > 0, "a failure history has a failure");
    violations.expect(history.backoffUntil <= state.logTime + FailureHistories::kMaxBackoff,
                      "a backoff ends within the maximum backoff");
  }
  return std::move(violations).messages();
}

std::vector<std::string> LeaseTableInvariants::violationsBetween(const LeaseTableState& before,
                                                                 const LeaseTableState& after) {
  Violations violations;
  violations.setSubject("table");
  violations.expect(after.logTime >= before.logTime, "the log's time does not decrease");
  for (const auto& [key, record] : before.records) {
    violations.setSubject(textOf(key));
    const auto next = after.records.find(key);
    violations.expect(next != after.records.end(), "a record is not erased");
    if (next != after.records.end()) expectNextRecord(violations, record, next->second, after.logTime);
  }
  for (const auto& [key, record] : after.records) {
    if (before.records.contains(key)) continue;
    violations.setSubject(textOf(key));
    expectNextRecord(violations, LeaseRecord{}, record, after.logTime);
  }
  return std::move(violations).messages();
}

}  // namespace cairnjunction::lease
