#!/bin/sh
# Installs what is missing, builds and runs the demo: the gateway with stand-in workers and discovery on
# loopback. What follows is passed on: ./demo.sh --help
set -eu
cd "$(dirname "$0")"
./setup.sh
cmake -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j"$(nproc)" >/dev/null
exec build/cairnjunction demo "$@"
