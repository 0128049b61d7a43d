// The structured log of members and coordinators: one JSON object a line, written when something changes and
// never for a request or a heartbeat. Bounded in lines a second.
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

// The fields of a lease key, as they stand in log lines and in answers of the admin socket.
nlohmann::json fieldsOf(const lease::LeaseKey& key);

class EventLog {
 public:
  // Bounds what a peer can cause; lines beyond it are dropped, and counted in the next line that is written.
  static constexpr int kMaxLinesPerSecond = 200;

  // Who writes; its name stands in each line under the key of its role.
  enum class Role : std::uint8_t { member, coordinator };

  // `file` empty: standard error. Throws std::runtime_error if it can't be opened.
  EventLog(const std::string& file, Role role, std::string self);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Adds the time since boot, the event and the writer to `fields`, an object.
  void write(Event event, nlohmann::json fields = nlohmann::json::object());
  // The same with the fields of a command's token.
  void writeCommand(Event event, const lease::FencingToken& token,
                    nlohmann::json fields = nlohmann::json::object());

 private:
  std::shared_ptr<spdlog::logger> log_;
  const Role role_;
  const std::string self_;
  std::int64_t second_ = 0;         // since boot, of the last line
  int linesThisSecond_ = 0;         // within second_, dropped ones among them
  std::uint64_t droppedLines_ = 0;  // since the last line that was written
};

}  // namespace cairnjunction::fleet
