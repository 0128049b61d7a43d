#!/bin/sh
# docs/design/limits.md names each constant of the serving packages, and none that is gone. $1: the repository's root.
set -eu
cd "$1"
page=docs/design/limits.md
files=$(ls src/policy/*.?pp src/http/*.?pp src/core/*.?pp src/discovery/*.?pp src/membership/*.?pp \
  src/upstream/*.?pp src/app/gateway.?pp src/app/shutdown_schedule.?pp src/app/hold_up_detector.hpp src/app/load_balancer_clock.hpp src/app/main.cpp src/app/pools.cpp)
# Of times, counts and sizes: texts have none.
# shellcheck disable=SC2086
in_code=$(cat $files | grep -E 'constexpr [A-Za-z_:<>0-9 ]+ k[A-Z]' | grep -v 'string_view\|char' |
  grep -oE '\bk[A-Z][A-Za-z]*( =|\{)' | grep -oE 'k[A-Za-z]+' | sort -u)
on_page=$(grep -oE '`k[A-Z][A-Za-z]*`' "$page" | tr -d '`' | sort -u)
bad=0
for name in $in_code; do echo "$on_page" | grep -qx "$name" || { echo "$page has no row for $name"; bad=1; }; done
for name in $on_page; do echo "$in_code" | grep -qx "$name" || { echo "$page names $name, which is gone"; bad=1; }; done
[ "$(echo "$in_code" | wc -l)" -gt 50 ] || { echo "too few constants were found"; bad=1; }
exit $bad
