// Fuzz target: what a JSON-RPC client sends, from bytes to entries and to a reply for each. Whatever comes,
// what would be passed on must be JSON, frames must not depend on how the bytes came, and nothing may be read
// or written out of bounds (the sanitizers see to that).
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "jsonrpc/frame.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/reply.hpp"

namespace {

using namespace cairnjunction::jsonrpc;

constexpr std::size_t kMost = 1 << 16;

std::vector<std::string> framesOf(const std::string& input, std::size_t step, FrameReader::State& last) {
  FrameReader reader(kMost);
  std::string have;
  std::vector<std::string> frames;
  last = FrameReader::State::more;
  for (std::size_t at = 0; at < input.size() && last == FrameReader::State::more; at += step) {
    have.append(input, at, step);
    std::string_view text;
    while ((last = reader.next(have, text)) == FrameReader::State::frame) {
      frames.emplace_back(text);
      have.erase(0, reader.taken());
    }
    have.erase(0, reader.taken());
  }
  return frames;
}

void check(bool good) {
  if (!good) std::abort();
}

void checkText(std::string text) {
  static Parser parser(kMost);
  text.reserve(text.size() + kPadding);
  const Request& request = parser.parseRequest(text, 100);
  if (request.error != 0) return;
  for (std::size_t i = 0; i < request.entries.size(); ++i) {
    const Entry& entry = request.entries[i];
    parser.param(i, "/ref");
    if (entry.kind == Entry::Kind::invalid) continue;
    if (!entry.params.empty()) check(nlohmann::json::accept(entry.params));
    std::string reply;
    appendReply(entry.version, entry.id, {false, "1"}, reply);
    check(nlohmann::json::accept(reply));
    check(nlohmann::json::accept(quoted(entry.method)));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  FrameReader::State whole{}, single{};
  const auto frames = framesOf(input, input.size() + 1, whole);
  if (size < 4096) {
    check(framesOf(input, 1, single) == frames);
    check(whole == single);
  }
  for (const std::string& frame : frames) checkText(frame);
  checkText(input);
  return 0;
}
