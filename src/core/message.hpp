// What a call asks of a worker and what the worker answers, in no protocol's words. Fronts make messages of
// what clients send, upstreams make what workers read of them, and the other way round.
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
  // Both must hold no CR, LF or NUL: whoever read them from a peer has seen to it.
  void add(std::string_view name, std::string_view value) {
    text_.append(name).append(": ").append(value).append("\r\n");
  }
  void reserve(std::size_t bytes) { text_.reserve(bytes); }
  std::string_view text() const { return text_; }

 private:
  std::string text_;
};

enum class Format {
  bytes,  // anything
  json    // one whole JSON value (RFC 8259) that was checked by a parser
};

struct Message {
  std::string operation;  // what is asked, by the name that the settings know it by
  std::string verb;       // how, where the client's protocol has a word for it; empty: see `safe`
  std::string target;     // of what: path and query (RFC 3986, 3.3 and 3.4), beginning with '/'; empty: none
  std::string authority;  // of whom: host and port as the client named them; empty: it did not
  Fields fields;          // passed on as they are
  std::string body;       // whole, or what came before `rest`
  std::shared_ptr<BodyStream> rest;     // of an answer that is passed on while it comes; null: there is none
  std::optional<std::uint64_t> length;  // with `rest`: of body and rest together, if it was told
  Format format = Format::bytes;
  bool safe = false;      // asked for no effect: may be repeated at will
  bool declined = false;  // an answer that says no: the worker ran the call, and this is what came of it
};

}  // namespace cairnjunction
