// Structured lines of members and keepers.
#include "fleet/event_log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {

nlohmann::json fieldsOf(const lease::LeaseKey& key) { return {{"duty", key.task}, {"shard", key.shard}}; }

EventLog::EventLog(const std::string& file, const char* role, std::string self)
    : role_(role), self_(std::move(self)) {
  spdlog::sink_ptr sink;
  if (file.empty()) sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  else sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
  log_ = std::make_shared<spdlog::logger>("fleet", std::move(sink));
  log_->set_pattern("%v");
  log_->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

void EventLog::line(std::string_view event, nlohmann::json fields) {
  const std::int64_t now = bootTime().time_since_epoch().count();
  if (now / 1000 != second_) second_ = now / 1000, lines_ = 0;
  if (++lines_ > kLinesASecond) {
    ++leftOut_;
    return;
  }
  fields["boot_ms"] = now;
  fields["event"] = event;
  fields[role_] = self_;
  if (leftOut_ > 0) fields["lines_left_out"] = std::exchange(leftOut_, 0);
  log_->info(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::order(std::string_view event, const lease::FencingToken& id, nlohmann::json fields) {
  fields.update(fieldsOf(id.key));
  fields["epoch"] = id.epoch;
  fields["sequence"] = id.sequence;
  fields["from"] = id.holder.name;
  fields["from_incarnation"] = id.holder.incarnation;
  line(event, std::move(fields));
}

}  // namespace cairnjunction::fleet
