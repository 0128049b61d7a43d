// Fuzz target: a JSON-RPC worker's reply. What is taken as readable has one of result and error, as JSON.
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "jsonrpc/parser.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cairnjunction::jsonrpc;
  static Parser parser(1 << 16);
  std::string text(reinterpret_cast<const char*>(data), size);
  text.reserve(size + kPadding);
  const Answer& answer = parser.parseAnswer(text);
  if (answer.readable && !nlohmann::json::accept(answer.failed ? answer.error : answer.result)) std::abort();
  parser.valid(text);
  return 0;
}
