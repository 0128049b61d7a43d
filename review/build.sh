#!/usr/bin/env bash
# Builds what the cases start beside the programs of the deploy file: the project's stand-ins, and the small
# ones of the cases. After the build of the deploy file; adds no dependency to it.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build -j4 \
  --target cairnjunction cairnjunction-coordinator cairnjunction-worker cairnjunction-discovery
mkdir -p build/review
for source in review/*.cpp review/[0-9]/*.cpp; do
  [ -e "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -o "build/review/$(basename "$source" .cpp)" "$source" -pthread
done
