// The structured log of members and coordinators: one JSON object per line. Lines are written on state
// changes, never per request or heartbeat, and at a bounded rate.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "fleet/event_names.hpp"
#include "lease/lease.hpp"

namespace spdlog {
class logger;
}

namespace cairnjunction::fleet {

// A lease key as JSON fields, as written to the event log and to responses of the admin socket.
nlohmann::json fieldsOf(const lease::LeaseKey& key);

class EventLog {
 public:
  // Limits how much logging a peer can cause. Further lines are dropped, and the next line that is written
  // has their count.
  static constexpr int kMaxLinesPerSecond = 200;

  // The kind of process that writes; it selects the JSON key for the writer's name.
  enum class Role : std::uint8_t { member, coordinator };

  // Writes to `file`, or to standard error if it is empty. `self` is the writer's name. Throws
  // std::runtime_error if the file can't be opened.
  EventLog(const std::string& file, Role role, std::string self);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes `fields`, a JSON object, with the time since boot in milliseconds, the event and the writer added.
  void write(Event event, nlohmann::json fields = nlohmann::json::object());
  // Like write(), with the fields of a command's fencing token added.
  void writeCommand(Event event, const lease::FencingToken& token,
                    nlohmann::json fields = nlohmann::json::object());

 private:
  std::shared_ptr<spdlog::logger> log_;
  const Role role_;
  const std::string self_;
  std::int64_t currentSecond_ = 0;  // second since boot in which the last line was logged
  int linesThisSecond_ = 0;         // in currentSecond_, including dropped lines
  std::uint64_t droppedLines_ = 0;  // since the last written line
};

}  // namespace cairnjunction::fleet
