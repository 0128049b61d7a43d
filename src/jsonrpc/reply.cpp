// Replies to clients as text.
#include "jsonrpc/reply.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cairnjunction::jsonrpc {

std::string errorText(int code, std::string_view message, std::string_view data) {
  std::string text = "{\"code\":" + std::to_string(code) + ",\"message\":" + quoted(message);
  if (!data.empty()) text.append(",\"data\":").append(data);
  return text += '}';
}

Result resultOf(Reply reply, bool safe, Parser& parser) {
  if (reply.status == ReplyStatus::rejected) {
    std::string data = "{\"retry\":\"harmless\"";
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(reply.retryAfter).count();
    if (reply.retryAfter > policy::Duration{})
      data += ",\"retry_after_ms\":" + std::to_string(std::max<std::int64_t>(ms, 1));
    return {true, errorText(kRefused, "Refused: it was not run, or does no harm again", data + "}")};
  }
  const char* const data = safe ? "{\"retry\":\"harmless\"}" : "{\"retry\":\"unknown\"}";
  if (reply.status == ReplyStatus::failed) return {true, errorText(kFailed, "Failed: it may have run", data)};
  Message& answer = reply.message;
  if (answer.format == Format::json) return {answer.declined, std::move(answer.body)};
  if (answer.body.empty()) return {false, "null"};
  if (parser.valid(answer.body)) return {false, std::move(answer.body)};
  if (utf8(answer.body)) return {false, quoted(answer.body)};
  return {true, errorText(kFailed, "Failed: the worker's answer is no text", data)};
}

void appendReply(int version, std::string_view id, const Result& result, std::string& out) {
  if (version == 2) {
    out.append(result.isError ? "{\"jsonrpc\":\"2.0\",\"error\":" : "{\"jsonrpc\":\"2.0\",\"result\":");
    out.append(result.json).append(",\"id\":").append(id).append("}");
  } else if (result.isError) {
    out.append("{\"result\":null,\"error\":").append(result.json).append(",\"id\":").append(id).append("}");
  } else {
    out.append("{\"result\":").append(result.json).append(",\"error\":null,\"id\":").append(id).append("}");
  }
}

}  // namespace cairnjunction::jsonrpc
