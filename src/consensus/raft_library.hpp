// Includes the C raft library. Its headers are C only, so they need extern "C"; they include libuv's header,
// which also supports C++ and is therefore included first, outside of it.
#pragma once

#include <uv.h>
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
