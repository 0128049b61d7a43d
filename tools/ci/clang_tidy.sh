#!/usr/bin/env bash
# clang-tidy by .clang-tidy over the units of BUILD_DIR/compile_commands.json; fails if anything is found:
#   tools/ci/clang_tidy.sh BUILD_DIR [PATH...]   JOBS=n: so many processes, else one a processor
# PATH is a folder or a file; without one, what is held to it. Headers are looked at through the units that include
# them.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ $# -ge 1 ] || { echo "usage: $0 BUILD_DIR [PATH...]" >&2; exit 2; }
build=$1
shift

# Held to it: a folder comes in once nothing is found in it.
checked="
include
src/admin
src/common
src/config
src/consensus
src/core
src/discovery
src/http/request_writer.cpp
src/http/response_reader.cpp
src/http/upstream.cpp
src/http/upstream_connection.cpp
src/http/upstream_pool.cpp
src/jsonrpc/send_buffer.cpp
src/jsonrpc/upstream.cpp
src/jsonrpc/upstream_connection.cpp
src/jsonrpc/upstream_pool.cpp
src/jsonrpc/worker_protocol.cpp
src/lease
src/limits
src/membership
src/policy
src/pools
src/sim
src/toml
src/upstream
tests/consensus
tests/lease
"

[ -f "$build/compile_commands.json" ] || { echo "$build/compile_commands.json is missing" >&2; exit 2; }
all=0
# shellcheck disable=SC2086
if [ $# = 0 ]; then all=1; set -- $checked; fi
escape() { sed 's/[][\\.^$*+?(){}|]/\\&/g'; }
paths="($(printf '%s\n' "${@%/}" | escape | paste -sd'|' -))(/|\$)"
[ $# -gt 0 ] || paths='^$'
if [ "$all" = 1 ]; then
  left=$(git ls-files 'src/*.cpp' | grep -vE "^$paths" | sed -E 's#^(src/.+)/[^/]*$#\1#' | sort -u | paste -sd' ' -) || true
  [ -z "$left" ] || echo "clang-tidy: not yet held to it: $left"
  [ $# -gt 0 ] || { echo "clang-tidy: 0 files clean"; exit 0; }
fi

root=$(printf '%s/' "$PWD" | escape)
built=$(sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$build/compile_commands.json" | sort -u)
units=$(grep -E "^$root$paths" <<<"$built") || { echo "clang-tidy: no unit of $build under: $*" >&2; exit 2; }
git ls-files '*.cpp' | grep -E "^$paths" | sed "s#^#$PWD/#" | grep -vxFf <(printf '%s\n' "$built") |
  sed 's/^/clang-tidy: not built, so not looked at: /' || true

found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
failed=0
# shellcheck disable=SC2016
xargs -d '\n' -n1 -P"${JOBS:-$(nproc)}" \
  sh -c 'clang-tidy -p "$1" --quiet --header-filter="$2" "$4" >>"$3/$$" 2>&1' sh "$build" "^$root$paths" "$found" \
  <<<"$units" || failed=1
if [ "$failed" = 1 ] || grep -qrE '(^|: )(warning|error): ' "$found"; then
  # A header's finding comes once from each unit that includes it: each is shown once.
  cat "$found"/* | grep -vE '^[0-9]+ (warning|error)s?( and [0-9]+ errors?)? (generated|treated as)' |
    awk '/(^|: )(warning|error): / { show = !seen[$0]++; count += show } !/^$/ && (show || !count)
      END { print "clang-tidy: " count + 0 " found" }'
  exit 1
fi
echo "clang-tidy: $(wc -l <<<"$units") files clean"
