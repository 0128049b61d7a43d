#!/bin/sh
# The commands for a fleet, with one keeper. $1: the program; $2: a configuration of a gateway.
set -eu
program=$1 config=$2
dir=$(mktemp -d)
keeper=
trap '[ -z "$keeper" ] || kill "$keeper" 2>/dev/null || true; rm -rf "$dir"' EXIT
cat >"$dir/fleet.toml" <<'F'
fleet = "yard"
election_ms = 100
[[keeper]]
number = 1
address = "127.0.0.1:11901"
raft = "127.0.0.1:11902"
[[duty]]
name = "list"
F
"$program" check "$config" --fleet "$dir/fleet.toml" | grep -q "good: fleet 'yard', 1 keepers, 1 duties"
sed 's/election_ms/elction_ms/' "$dir/fleet.toml" >"$dir/bad.toml"
set +e
"$program" check "$config" --fleet "$dir/bad.toml" 2>"$dir/err"; got=$?
set -e
[ "$got" = 2 ]; grep -q "bad.toml:2: unknown key 'elction_ms'" "$dir/err"
mkdir "$dir/k1"
"$program" fleet keeper "$dir/fleet.toml" --number 1 --dir "$dir/k1" --log "$dir/k1.log" &
keeper=$!
until "$program" fleet status --socket "$dir/k1/control.sock" 2>/dev/null | grep -q 'keeper 1: leads'; do
  kill -0 "$keeper"; sleep 0.1
done
"$program" fleet status --socket "$dir/k1/control.sock" --json | grep -q '"fleet": "yard"'
"$program" fleet duties --socket "$dir/k1/control.sock" | grep -q '^duty'
if "$program" fleet hand-over list --socket "$dir/k1/control.sock" 2>"$dir/err"; then exit 1; fi
grep -q 'list/0 has no owner' "$dir/err"
if "$program" fleet status --socket "$dir/none.sock" 2>"$dir/err"; then exit 1; fi
grep -q none.sock "$dir/err"
kill "$keeper"; wait "$keeper"; keeper=
# Its log is bound to its number and its fleet.
set +e
"$program" fleet keeper "$dir/fleet.toml" --number 2 --dir "$dir/k1" 2>"$dir/err"; got=$?
set -e
[ "$got" = 2 ]
sed 's/yard/other/' "$dir/fleet.toml" >"$dir/other.toml"
if "$program" fleet keeper "$dir/other.toml" --number 1 --dir "$dir/k1" 2>"$dir/err"; then exit 1; fi
grep -q "of the fleet 'yard', not of 'other'" "$dir/err"
