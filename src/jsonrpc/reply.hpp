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

// What a reply of the engine comes to. `safe`: the call asks for no effect, so that repeating it is harmless
// whatever came of the first. A worker's answer that is no JSON becomes a string; one that is no text either
// can't be passed on and has failed.
Result resultOf(Reply reply, bool safe, Parser& parser);

// A whole reply object. `id`: as the client wrote it, or null.
void appendReply(int version, std::string_view id, const Result& result, std::string& out);

}  // namespace cairnjunction::jsonrpc
