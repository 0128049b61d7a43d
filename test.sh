#!/bin/sh
# Builds with warnings as errors and runs all tests. With `sanitize`: under the address and
# undefined-behaviour sanitizers.
set -eu
cd "$(dirname "$0")"
dir=build-test sanitize=OFF
if [ "${1:-}" = sanitize ]; then dir=build-sanitize sanitize=ON; fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror \
  -DOCHREHILL_TESTS=ON -DOCHREHILL_SANITIZE="$sanitize"
cmake --build "$dir" -j"$(nproc)"
ctest --test-dir "$dir" --output-on-failure -j"$(nproc)"
