// Replies to clients as text (JSON-RPC 2.0, 5; 1.0, 1.2). No I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/reply.hpp"
#include "jsonrpc/parser.hpp"
#include "jsonrpc/session_table.hpp"

namespace cairnjunction::jsonrpc {

// The value of `error`. `data`: JSON, or empty.
std::string errorText(int code, std::string_view message, std::string_view data = {});

// The result or error for a reply of the engine. `safe`: the call has no side effect, so it may be repeated
// whatever its outcome. A worker's response that is not JSON becomes a JSON string; one that is not UTF-8
// text either can't be forwarded and counts as failed.
Result resultOf(Reply reply, bool safe, Parser& parser);

// Appends a response object. `id`: as the client wrote it, or null.
void appendReply(int version, std::string_view id, const Result& result, std::string& out);

}  // namespace cairnjunction::jsonrpc
