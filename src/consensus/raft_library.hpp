// The C raft library. Its headers include libuv's, which is C++ as well as C, and are themselves C only.
#pragma once

#include <uv.h>
extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
