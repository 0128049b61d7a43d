#!/bin/sh
# Builds with warnings as errors and runs all tests. With `sanitize`: under the address and
# undefined-behaviour sanitizers. Tests listed in KNOWN-RED.txt, if there is one, are printed and left out: one a line,
# test-name | command and seed | what was seen | issue
set -eu
cd "$(dirname "$0")"
dir=build-test sanitize=OFF flags=
if [ "${1:-}" = sanitize ]; then
  dir=build-sanitize sanitize=ON
  # Instrumented, the optimiser takes minutes for a file of tests.
  flags="-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O1"
fi
cmake -B "$dir" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS=-Werror $flags \
  -DCAIRNJUNCTION_TESTS=ON -DCAIRNJUNCTION_SANITIZE="$sanitize" \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
cmake --build "$dir" -j"$(nproc)"
red=
if [ -f KNOWN-RED.txt ]; then
  if grep -nvE '^[^|]*[^| ][^|]*(\|[^|]*[^| ][^|]*){3,}$' KNOWN-RED.txt; then
    echo "KNOWN-RED.txt: a line is not an entry of four parts"; exit 1
  fi
  sed 's/^/known red, left out: /' KNOWN-RED.txt
  red=$(sed 's/ *|.*//; s/^ *//; s/[][\.^$*+?()|{}-]/\\&/g' KNOWN-RED.txt | paste -sd'|' -)
fi
ctest --test-dir "$dir" --output-on-failure -j"$(nproc)" ${red:+-E "^($red)\$"}
