#!/bin/sh
# Tests the program's fleet subcommands with one coordinator. $1: the program; $2: a gateway's configuration
# file.
set -eu
program=$1 config=$2
dir=$(mktemp -d)
coordinator=
trap '[ -z "$coordinator" ] || kill "$coordinator" 2>/dev/null || true; rm -rf "$dir"' EXIT
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
"$program" fleet coordinator "$dir/fleet.toml" --number 1 --dir "$dir/k1" --log "$dir/k1.log" 2>"$dir/k1.err" &
coordinator=$!
until "$program" fleet status --socket "$dir/k1/control.sock" 2>/dev/null | grep -q 'keeper 1: leads'; do
  kill -0 "$coordinator"; sleep 0.1
done
"$program" fleet status --socket "$dir/k1/control.sock" --json | grep -q '"fleet": "yard"'
"$program" fleet leases --socket "$dir/k1/control.sock" 2>"$dir/err" | grep -q '^duty'
[ ! -s "$dir/err" ]
if "$program" fleet transfer list --socket "$dir/k1/control.sock" 2>"$dir/err"; then exit 1; fi
grep -q 'list/0 has no owner' "$dir/err"
# Former subcommand names still work and print the current name.
"$program" fleet duties --socket "$dir/k1/control.sock" 2>"$dir/err" | grep -q '^duty'
grep -qx 'cairnjunction fleet duties is now cairnjunction fleet leases' "$dir/err"
if "$program" fleet hand-over list --socket "$dir/k1/control.sock" 2>"$dir/err"; then exit 1; fi
grep -qx 'cairnjunction fleet hand-over is now cairnjunction fleet transfer' "$dir/err"
grep -q 'list/0 has no owner' "$dir/err"
"$program" fleet --help >"$dir/help"
grep -q leases "$dir/help"
if grep -q 'duties\|hand-over\|keeper' "$dir/help"; then exit 1; fi
if "$program" fleet status --socket "$dir/none.sock" 2>"$dir/err"; then exit 1; fi
grep -q none.sock "$dir/err"
kill "$coordinator"; wait "$coordinator"; coordinator=
[ ! -s "$dir/k1.err" ]
# A coordinator's log belongs to its number and its fleet. The former names of the subcommand and of the program
# are used here, to test them as well.
set +e
"$program" fleet keeper "$dir/fleet.toml" --number 2 --dir "$dir/k1" 2>"$dir/err"; got=$?
set -e
[ "$got" = 2 ]
grep -qx 'cairnjunction fleet keeper is now cairnjunction fleet coordinator' "$dir/err"
sed 's/yard/other/' "$dir/fleet.toml" >"$dir/other.toml"
if "$(dirname "$program")/cairnjunction-keeper" "$dir/other.toml" --number 1 --dir "$dir/k1" 2>"$dir/err"; then exit 1; fi
grep -qx 'cairnjunction-keeper is now cairnjunction-coordinator' "$dir/err"
grep -q "of the fleet 'yard', not of 'other'" "$dir/err"
