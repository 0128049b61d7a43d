#include "jsonrpc/worker_protocol.hpp"

#include <algorithm>
#include <chrono>

#include "jsonrpc/reply.hpp"

namespace cairnjunction::jsonrpc {
namespace {

using policy::Outcome;

// The params: those of a JSON-RPC call as they are, or what stands for a call that came by another protocol.
// False if it can't be said in JSON.
bool appendParams(const Message& message, Parser& parser, std::string& out) {
  const std::string& body = message.body;
  if (message.format == Format::json ||
      (!body.empty() && (body[0] == '{' || body[0] == '[') && parser.valid(body))) {
    out.append(body);
    return true;
  }
  if (!utf8(body) || !utf8(message.target)) return false;
  out.append("{\"path\":").append(quoted(message.target));
  if (!body.empty()) out.append(",\"body\":").append(quoted(body));
  out.append("}");
  return true;
}

}  // namespace

std::string requestText(std::uint64_t id, const Call& call, policy::Duration timeRemaining, Parser& parser) {
  constexpr std::size_t memberBytes = 160;  // names of members, the id and the time
  const Message& message = call.message;
  // Names and keys of HTTP clients may hold any bytes.
  if (!utf8(call.externalId) || !utf8(call.idempotencyKey)) return {};
  std::string text;
  text.reserve(memberBytes + message.body.size() + call.externalId.size() + call.idempotencyKey.size());
  text.append(R"({"jsonrpc":"2.0","id":)").append(std::to_string(id)).append(",\"method\":");
  text.append(quoted(message.operation));
  const std::size_t beforeParams = text.size();
  text.append(",\"params\":");
  const std::size_t paramsBegin = text.size();
  if (!appendParams(message, parser, text)) return {};
  if (text.size() == paramsBegin) text.resize(beforeParams);  // there are none
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeRemaining).count();
  text.append(R"(,"call":{"name":)").append(quoted(call.externalId));
  if (!call.idempotencyKey.empty()) text.append(",\"key\":").append(quoted(call.idempotencyKey));
  text.append(",\"deadline_ms\":").append(std::to_string(std::max<std::int64_t>(ms, 1))).append("}}");
  return text;
}

std::string cancelText(std::uint64_t id) {
  return R"({"jsonrpc":"2.0","method":"rpc.cancel","params":{"id":)" + std::to_string(id) + "}}";
}

Outcome outcomeOf(const Answer& answer) {
  if (!answer.failed) return Outcome::served;
  const std::int64_t code = answer.code;
  if (code < kReservedFirst || code > kReservedLast) return Outcome::served;  // an error of the application
  if (code >= kServerFirst && code <= kServerLast)
    return answer.notRun ? Outcome::overloaded : Outcome::error;
  if (code == kParseError || code == kInvalidRequest || code == kMethodNotFound || code == kInvalidParams)
    return Outcome::invalidRequest;
  return Outcome::error;
}

}  // namespace cairnjunction::jsonrpc
