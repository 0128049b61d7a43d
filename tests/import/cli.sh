#!/bin/sh
# The command line of import and route, as its page says. $1: the program; $2: the sites of the tests.
set -eu
program=$1 sites=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
code() { set +e; "$@" >"$dir/out" 2>"$dir/err"; got=$?; set -e; }
want() { [ "$got" = "$1" ] || { echo "exit code $got, not $1: $2"; cat "$dir/out" "$dir/err"; exit 1; }; }

code "$program" import nginx "$sites/yard.conf" --out "$dir/yard.json"; want 1 "a difference"
grep -q 'yard.conf:8:' "$dir/err"
printf 'upstream p { server 10.0.0.1:80; }\nserver { location / { proxy_pass http://p; } }\n' >"$dir/whole.conf"
code "$program" import nginx "$dir/whole.conf" --strict --out "$dir/whole.json"; want 0 "all is carried over"
code "$program" import nginx "$sites/yard.conf" --strict --out "$dir/strict.json"; want 2 "strict"
[ ! -e "$dir/strict.json" ]
code "$program" import nginx "$sites/yard.conf" --report - --out "$dir/yard.json"; want 1 "report to the output"
grep -q '"fate": "difference"' "$dir/out"
code "$program" import nginx "$sites/yard.conf" --report "$dir/report.json"; want 1 "routes to the output"
grep -q '"version": 1' "$dir/out"; grep -q '"counts"' "$dir/report.json"
code "$program" import nginx "$sites/included.conf"; want 0 "includes are of the file's folder"

printf 'server {\n  location / { proxy_pass }\n' >"$dir/bad.conf"
code "$program" import nginx "$dir/bad.conf"; want 2 "not readable"
grep -q 'bad.conf:2:27: ' "$dir/err"; grep -q '^ *^$' "$dir/err"
printf 'include self.conf;\n' >"$dir/self.conf"
code "$program" import nginx "$dir/self.conf"; want 2 "includes itself"
code "$program" import nginx "$dir/none.conf"; want 2 "no such file"
code "$program" import apache "$dir/whole.conf"; want 2 "another program"

code "$program" route "$dir/yard.json" --host yard.example /stock-out/../cut-plan/7 /status /a%2fb; want 0 "route"
[ "$(sed -n 1p "$dir/out")" = '{"server":"yard.example","location":"/cut-plan/","pool":"stock","uri":"/cut-plan/7"}' ]
[ "$(sed -n 2p "$dir/out")" = '{"server":"yard.example","location":"= /status","status":200,"text":"ready"}' ]
sed -n 3p "$dir/out" | grep -q '"status":400'
code "$program" import nginx "$sites/ports.conf" --out "$dir/ports.json"; want 1 "ports"
code "$program" route "$dir/ports.json" --host any:8081 /x; want 0 "a listener's port"
grep -q '"pool":"inside"' "$dir/out"
code "$program" route "$dir/ports.json" --host any --method POST /x; want 0 "the default listener"
echo '{"version":1,"pool":[]}' >"$dir/odd.json"
code "$program" route "$dir/odd.json" /; want 2 "an unknown key"
grep -q "odd.json: routes: 'pool' is not known" "$dir/err"
code "$program" check "$3" --routes "$dir/yard.json"; want 0 "check"
grep -q 'yard.json: good: 1 servers, 1 pools' "$dir/out"
code "$program" check "$3" --routes "$dir/odd.json"; want 2 "check of what is bad"
echo "the command line of import and route is as its page says"
