// The protocol-independent form of a request to a worker and of its answer. Frontends convert between
// messages and the protocols of clients, upstreams between messages and the protocols of workers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/body_stream.hpp"

namespace cairnjunction {

// Header fields of a message: names with values, in their order; a name may occur more than once. Stored as
// one text with a line `Name: value` CR LF for each field, so that line-based protocols can write it
// unchanged.
class Fields {
 public:
  // Neither may contain CR, LF or NUL; the code that reads them from a peer has to check this.
  void add(std::string_view name, std::string_view value) {
    text_.append(name).append(": ").append(value).append("\r\n");
  }
  void reserve(std::size_t bytes) { text_.reserve(bytes); }
  std::string_view text() const { return text_; }

 private:
  std::string text_;  // complete lines
};

enum class Format {
  bytes,  // arbitrary bytes
  json    // one complete JSON value (RFC 8259), validated by a parser
};

struct Message {
  std::string operation;  // name of the requested operation, as in the settings
  std::string verb;       // method, if the client's protocol has methods; empty: see `safe`
  std::string target;     // path and query (RFC 3986, 3.3 and 3.4), beginning with '/'; empty: none
  std::string authority;  // host and port as sent by the client; empty: not sent
  Fields fields;          // forwarded unchanged
  std::string body;       // the complete body, or the part that precedes `rest`
  std::shared_ptr<BodyStream> rest;     // rest of the body of a streamed answer; null: not streamed
  std::optional<std::uint64_t> length;  // with `rest`: bytes of `body` and `rest` together, if known
  Format format = Format::bytes;
  bool safe = false;      // the call has no effect, so it may be repeated at any time
  bool declined = false;  // the answer is an application error: the worker has executed the call
};

}  // namespace cairnjunction
