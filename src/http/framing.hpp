// Strict check of the head of an HTTP/1.x message before it is parsed. If two parsers could disagree on where
// a message ends, a client could hide a second request in a body (request smuggling). So any ambiguous head
// is rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cairnjunction {

inline constexpr std::size_t kMaxHeaderFields = 100;  // of a head, and of trailers; as in other proxies

// Scans one head (start line and header fields, up to the empty line) while it arrives.
class HeadScanner {
 public:
  enum class Kind { request, answer };
  enum class State {
    more,   // the head is incomplete
    whole,  // the head is complete and well formed
    // The scanner must not be used any more after these two.
    bad,           // the head is malformed or ambiguous
    tooManyFields  // more than kMaxHeaderFields
  };

  explicit HeadScanner(Kind kind) : kind_(kind) {}

  // `received`: all bytes received since the beginning of the message. Resumes where the previous call
  // stopped. Limits the number of fields, but no length: the caller does.
  State scan(std::string_view received);
  std::size_t fieldCount() const { return fieldCount_; }

 private:
  bool checkLine(std::string_view line);
  bool checkField(std::string_view line);

  Kind kind_;
  std::size_t scanned_ = 0;    // offset in bytes of the first byte not scanned yet
  std::size_t lineBegin_ = 0;  // offset in bytes of the current line
  std::size_t fieldCount_ = 0;
  bool firstLinePending_ = true;    // the start line is not complete yet
  bool hasLength_ = false;          // a Content-Length field was found
  bool hasTransferCoding_ = false;  // a Transfer-Encoding field was found
  bool isHttp10_ = false;
};

}  // namespace cairnjunction
