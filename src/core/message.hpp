// What a call asks of a worker and what the worker answers, independent of any protocol. Frontends make
// messages of what clients send, upstreams make of them what workers read, and the other way round.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/body_stream.hpp"

namespace cairnjunction {

// Further data about a message: names with values, in their order, some perhaps more than once. Kept as text
// in one piece, a line `Name: value` for each, ended by CR LF, so that a protocol of lines takes it as it is.
class Fields {
 public:
  // Neither may hold CR, LF or NUL, which whoever read them from a peer has checked.
  void add(std::string_view name, std::string_view value) {
    text_.append(name).append(": ").append(value).append("\r\n");
  }
  void reserve(std::size_t bytes) { text_.reserve(bytes); }
  std::string_view text() const { return text_; }

 private:
  std::string text_;  // whole lines
};

enum class Format {
  bytes,  // anything
  json    // one whole JSON value (RFC 8259) that was checked by a parser
};

struct Message {
  std::string operation;  // the name of what is asked, as the settings have it
  std::string verb;       // the method, where the client's protocol has one; empty: see `safe`
  std::string target;     // path and query (RFC 3986, 3.3 and 3.4), beginning with '/'; empty: none
  std::string authority;  // host and port as the client named them; empty: it did not
  Fields fields;          // passed on unchanged
  std::string body;       // whole, or what came before `rest`
  std::shared_ptr<BodyStream> rest;     // of an answer that is passed on while it comes; null: there is none
  std::optional<std::uint64_t> length;  // with `rest`: of body and rest together, if it is known
  Format format = Format::bytes;
  bool safe = false;      // the call asks for no effect, so it may be repeated at any time
  bool declined = false;  // the answer is an error of the application: the worker has executed the call
};

}  // namespace cairnjunction
