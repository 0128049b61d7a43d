// Parses the text of a JSON-RPC frame (2.0, and calls of 1.0). No I/O.
//
// Source: JSON-RPC 2.0 Specification, 2013-01-04; JSON-RPC 1.0 Specification, 2005.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cairnjunction::jsonrpc {

// Error codes that the specification reserves (5.1), and this gateway's own out of -32000 to -32099.
inline constexpr int kParseError = -32700;
inline constexpr int kInvalidRequest = -32600;
inline constexpr int kMethodNotFound = -32601;
inline constexpr int kInvalidParams = -32602;
inline constexpr int kInternalError = -32603;
inline constexpr int kRefused = -32001;    // rejected: a repeat is safe
inline constexpr int kFailed = -32002;     // failed: the outcome is unknown
inline constexpr int kNoSession = -32003;  // the session to resume is not kept any more
inline constexpr int kServerFirst = -32099, kServerLast = -32000;
inline constexpr int kReservedFirst = -32768, kReservedLast = -32000;

// Deepest nesting; deeper texts are rejected, so that no recursive parser behind us runs out of stack.
inline constexpr std::size_t kDepthMost = 128;
// Bytes behind a frame's text that must be readable, with any content (simdjson's padding).
inline constexpr std::size_t kPadding = 64;

// One entry of a frame. The views live until the next parse, and as long as the frame's text.
struct Entry {
  enum class Kind { call, notification, invalid };
  Kind kind = Kind::invalid;
  int version = 2;          // of the protocol
  std::string_view id;      // as written; `null` where there is none
  std::string key;          // normalized id, for comparison; empty: null
  std::string_view method;  // unescaped
  std::string_view params;  // as written: an object or an array; empty: none
  const char* error = "";   // Kind::invalid: what is wrong with it
};

struct Request {
  int error = 0;  // error of the whole frame, reported with a null id; 0: none
  const char* message = "";
  bool batch = false;
  std::vector<Entry> entries;
};

// A response of a worker.
struct Answer {
  bool readable = false;  // one response object, with either a result or an error
  std::uint64_t id = 0;
  bool hasId = false;  // false: null, or not a number that the gateway uses
  bool failed = false;
  std::string_view result;  // as written
  std::string_view error;   // as written, an object with a code
  std::int64_t code = 0;
  bool notRun = false;  // error.data.not_run is true
};

// Not thread-safe. Keeps memory for the largest frame read, about 14 times its size.
class Parser {
 public:
  // `most`: bytes of a text; longer ones are parse errors.
  explicit Parser(std::size_t most);
  ~Parser();
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  // `text` must be followed by kPadding readable bytes. `entriesMost` bounds a batch; a longer one is an
  // error of the whole frame.
  const Request& parseRequest(std::string_view text, std::size_t entriesMost);

  // Within `params` of entry i of the last request, by JSON pointer (RFC 6901): the text of a string, a whole
  // number or a boolean, or nothing.
  std::optional<std::string> param(std::size_t i, std::string_view pointer) const;

  const Answer& parseAnswer(std::string_view text);  // padded too

  // Whether `text` is one JSON value (RFC 8259); it needs no padding.
  bool valid(std::string_view text);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// `text` as a JSON string with its quotes. `text` must be UTF-8.
std::string quoted(std::string_view text);
bool utf8(std::string_view text);

}  // namespace cairnjunction::jsonrpc
