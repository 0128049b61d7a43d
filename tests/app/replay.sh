#!/bin/sh
# The demo as a process, and the replaying client before it: calls in batches, connections that drop, sessions.
# Passes if each id was answered exactly once. $1: the folder of the programs.
set -eu
log=$(mktemp)
"$1/cairnjunction" demo --http-port 0 --jsonrpc-port 0 --jsonrpc-workers >"$log" &
gateway=$!
trap 'kill "$gateway" 2>/dev/null || true; rm -f "$log"' EXIT
i=0
until grep -q 'Ctrl-C ends it' "$log"; do
  kill -0 "$gateway"
  i=$((i + 1)); [ "$i" -lt 600 ]
  sleep 0.1
done
address=$(sed -n 's/.*for JSON-RPC at \([0-9.:]*\);.*/\1/p' "$log")
"$1/cairnjunction-replay" --to "$address" --calls 600 --connections 20 --batch-most 8 --drop 0.2 --sessions
kill "$gateway"
wait "$gateway"
cat "$log"
grep -q 'the workers ran' "$log"
