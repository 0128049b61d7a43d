// Strict check of a message's head, before it is parsed. If two readers could disagree on where a message
// ends, a client could hide a second request in a body (request smuggling); so any ambiguous head is
// rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cairnjunction {

class HeadScanner {
 public:
  enum class Kind { request, answer };
  enum class State { more, whole, bad };

  explicit HeadScanner(Kind kind) : kind_(kind) {}

  // `received`: all bytes since the message's first one. Continues where the last call stopped.
  State scan(std::string_view received);
  std::size_t fields() const { return fields_; }

 private:
  bool takeLine(std::string_view line);
  bool takeField(std::string_view line);

  Kind kind_;
  std::size_t at_ = 0, lineAt_ = 0, fields_ = 0;
  bool first_ = true, length_ = false, coded_ = false, old_ = false;
};

}  // namespace cairnjunction
