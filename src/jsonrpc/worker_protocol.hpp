// What a gateway and a worker say to each other over JSON-RPC (docs/design/jsonrpc.md). No I/O.
//
// A call is sent as a request of JSON-RPC 2.0 with one member more, `call`: its name, its key if it has one,
// and the time in milliseconds that it is waited for. `rpc.cancel` (a notification, params {"id": N}) says
// that it is not wanted any more; the worker then answers it as soon as it can, best by an error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"
#include "jsonrpc/parser.hpp"

namespace cairnjunction::jsonrpc {

// Bytes of a reply around the answer itself: member names and the id.
inline constexpr std::size_t kReplyOverhead = 1024;

// The request for a call; empty if the call can't be said in JSON, since a part of it is no UTF-8. It holds
// `timeRemaining` in whole milliseconds, 1 at least.
std::string requestText(std::uint64_t id, const Call& call, policy::Duration timeRemaining, Parser& parser);

std::string cancelText(std::uint64_t id);

// What an answer that can be read means for the attempt.
policy::Outcome outcomeOf(const Answer& answer);

}  // namespace cairnjunction::jsonrpc
