#include "fleet/event_log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <utility>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

// The JSON key of the writer's name.
const char* writerKey(EventLog::Role role) { return role == EventLog::Role::member ? "member" : "keeper"; }

}  // namespace

nlohmann::json fieldsOf(const lease::LeaseKey& key) { return {{"duty", key.task}, {"shard", key.shard}}; }

EventLog::EventLog(const std::string& file, Role role, std::string self)
    : role_(role), self_(std::move(self)) {
  spdlog::sink_ptr sink;
  if (file.empty()) sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  else sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
  log_ = std::make_shared<spdlog::logger>("fleet", std::move(sink));
  log_->set_pattern("%v");
  log_->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

void EventLog::write(Event event, nlohmann::json fields) {
  const std::int64_t now = bootTime().time_since_epoch().count();
  const std::int64_t second = now / kMillisecondsPerSecond;
  if (second != currentSecond_) {
    currentSecond_ = second;
    linesThisSecond_ = 0;
  }
  if (++linesThisSecond_ > kMaxLinesPerSecond) {
    ++droppedLines_;
    return;
  }
  fields["boot_ms"] = now;
  fields["event"] = nameOf(event);
  fields[writerKey(role_)] = self_;
  if (droppedLines_ > 0) fields["lines_left_out"] = std::exchange(droppedLines_, 0);
  log_->info(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::writeCommand(Event event, const lease::FencingToken& token, nlohmann::json fields) {
  fields.update(fieldsOf(token.key));
  fields["epoch"] = token.epoch;
  fields["sequence"] = token.sequence;
  fields["from"] = token.holder.name;
  fields["from_incarnation"] = token.holder.incarnation;
  write(event, std::move(fields));
}

}  // namespace cairnjunction::fleet
