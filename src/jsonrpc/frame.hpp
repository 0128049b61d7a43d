// Frames of JSON-RPC over TCP: where one text ends and the next begins. No I/O.
//
// Two forms, told by a connection's first byte: lines, each a JSON text ended by LF (with or without CR
// before it), and `Content-Length: N` headers with an empty line behind them, as in the base protocol of the
// Language Server Protocol 3.17.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cairnjunction::jsonrpc {

enum class Form { unknown, lines, headers };

// Of the headers of a frame: two short lines. More is nobody's use.
inline constexpr std::size_t kHeadMost = 1024;

class FrameReader {
 public:
  enum class State {
    more,  // a frame is not whole, or there is none
    frame,
    bad,       // where it ends can't be told; error() says why
    tooLarge,  // announced or grown past the bound
  };

  // `most`: bytes of one frame's text. `form`: unknown for a peer that speaks first.
  explicit FrameReader(std::size_t most, Form form = Form::unknown) : most_(most), form_(form) {}

  // `input`: all bytes that came and were not yet taken. With State::frame, `text` is the frame's text within
  // it (empty lines are passed over) and taken() bytes are done with; also with State::more some may be.
  State next(std::string_view input, std::string_view& text);
  std::size_t taken() const { return taken_; }
  Form form() const { return form_; }
  const char* error() const { return error_; }

 private:
  State nextLine(std::string_view input, std::string_view& text);
  State nextBody(std::string_view input, std::string_view& text);
  State fail(const char* why) {
    error_ = why;
    return State::bad;
  }
  bool takeHeader(std::string_view line);

  std::size_t most_;
  Form form_;
  std::size_t taken_ = 0, seen_ = 0;  // seen_: of the untaken input, known to hold no end of a line
  std::size_t length_ = 0;
  bool haveLength_ = false;
  const char* error_ = "";
};

// Appends `text`, a checked JSON text, as one frame.
void appendFrame(Form form, std::string_view text, std::string& out);

}  // namespace cairnjunction::jsonrpc
