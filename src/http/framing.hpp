// Strict reading of a message's head, before the parser sees it. Where two readers could differ on where a
// message ends, what one takes for a body is a request to the other; so any doubt makes the head bad.
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

  // `received` is all that has come since the message's first byte; goes on where the last call stopped.
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
