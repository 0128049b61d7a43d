#!/bin/sh
# Builds with warnings as errors and runs all tests. With `sanitize`: under the address and
# undefined-behaviour sanitizers.
set -eu
cd "$(dirname "$0")"
dir=build-test sanitize=OFF flags=
if [ "${1:-}" = sanitize ]; then
  dir=build-sanitize sanitize=ON
  # Instrumented, the optimiser takes minutes for a file of tests.
  flags="-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O1"
fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror $flags \
  -DCAIRNJUNCTION_TESTS=ON -DCAIRNJUNCTION_SANITIZE="$sanitize"
cmake --build "$dir" -j"$(nproc)"
ctest --test-dir "$dir" --output-on-failure -j"$(nproc)"
