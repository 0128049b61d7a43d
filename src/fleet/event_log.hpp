// Structured lines of members and keepers: one JSON object each, through spdlog. Written at changes, never
// for a request, a beat or a pulse; bounded in number a second.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "lease/lease.hpp"

namespace spdlog {
class logger;
}

namespace cairnjunction::fleet {

nlohmann::json fieldsOf(const lease::LeaseKey& key);  // duty and shard, as they stand in lines

class EventLog {
 public:
  // Of what may come at a peer's pace; what is left out is counted in the next line that is written.
  static constexpr int kLinesASecond = 200;

  // `file` empty: standard error. Throws std::runtime_error if it can't be opened. `self` stands in each line
  // as "member" or "keeper".
  EventLog(const std::string& file, const char* role, std::string self);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void line(std::string_view event, nlohmann::json fields = nlohmann::json::object());
  void order(std::string_view event, const lease::FencingToken& id,
             nlohmann::json fields = nlohmann::json::object());

 private:
  std::shared_ptr<spdlog::logger> log_;
  const char* role_;
  std::string self_;
  std::int64_t second_ = 0;
  int lines_ = 0;
  std::uint64_t leftOut_ = 0;
};

}  // namespace cairnjunction::fleet
