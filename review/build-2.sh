#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 to 10), after the deploy file's build. Each case is one
# program that has its stand-ins; they need a C++ compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/case-$number"
done
