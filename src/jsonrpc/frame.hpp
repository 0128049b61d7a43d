// Framing of JSON-RPC over TCP: finds where a text begins and ends. No I/O.
//
// Two forms, recognized by a connection's first byte: lines, each a JSON text ended by LF (with or without CR
// before it), and `Content-Length: N` headers with an empty line behind them, as in the base protocol of the
// Language Server Protocol 3.17.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cairnjunction::jsonrpc {

enum class Form { unknown, lines, headers };

// Bytes of a frame's headers; two short lines are usual.
inline constexpr std::size_t kHeadMost = 1024;

class FrameReader {
 public:
  enum class State {
    more,  // no complete frame yet
    frame,
    bad,       // the frame's end can't be determined; see error()
    tooLarge,  // announced or actual size is above the bound
  };

  // `most`: bound on a frame's text, in bytes. `form`: unknown if the peer sends first, and so chooses it.
  explicit FrameReader(std::size_t most, Form form = Form::unknown) : most_(most), form_(form) {}

  // `input`: all received bytes that are not consumed yet. With State::frame, `text` is the frame's text
  // within it (empty lines are skipped) and taken() bytes are consumed; with State::more some may be, too.
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
  std::size_t taken_ = 0, seen_ = 0;  // seen_: bytes of the input already searched for a line's end
  std::size_t length_ = 0;
  bool haveLength_ = false;
  const char* error_ = "";
};

// Appends `text`, a checked JSON text, as one frame.
void appendFrame(Form form, std::string_view text, std::string& out);

}  // namespace cairnjunction::jsonrpc
