#!/usr/bin/env bash
# A client of a named session loses its connection while its call runs, and comes back while the call's
# answer is held. TROUBLE=0: it comes back at once.
source "$(dirname "$0")/../lib.sh"
mapfile -t port < <(build/review/ports 4)
[ ${#port[@]} = 4 ] || cant "no ports"
ttl=25       # sessions.ttl_s, the least that the page allows
work_ms=2400 # of a stock-out; the longest deadline is 3 s

sed -e "s/127.0.0.1:8080/127.0.0.1:${port[0]}/" -e "s/127.0.0.1:9000/127.0.0.1:${port[1]}/" \
  -e '/"stock-out"/s/"aimNs": [0-9]*, "giveUpNs": [0-9]*/"aimNs": 2900000000, "giveUpNs": 3000000000/' \
  deploy/config.example.json >"$work/config.json"
cat >"$work/jsonrpc.json" <<END
{"listen": "127.0.0.1:${port[2]}", "methods": [{"name": "stock-out", "class": "stock-out"}],
 "sessions": {"ttl_s": $ttl}, "workers": {"protocol": "http"}}
END
build/cairnjunction check "$work/config.json" --jsonrpc "$work/jsonrpc.json" >>"$record" 2>&1 ||
  cant "settings"
start discovery build/cairnjunction-discovery --listen "127.0.0.1:${port[1]}" \
  --host "w1 127.0.0.1:${port[3]} brasov"
start worker build/cairnjunction-worker --port "${port[3]}" --work-least $work_ms --work-most $work_ms \
  --ledger "$work/ran"
gateway gateway "$work/config.json" "--jsonrpc $work/jsonrpc.json"
until_true 15 up "${port[0]}" || cant "the gateway did not come up"
sleep 1

# Two scanners, each with a session and a piece of work of its own. When it is back, a asks for its session by
# "resume": false, as the page's example does, and b by "resume": true.
scanner() { # WHO ARGUMENTS...
  local who=$1
  shift
  build/review/scanner "${port[2]}" "7f3a9c21e0b4d655c1aa-$who" "bundle-$who" "$@" >"$work/$1-$who"
  sed "s/^/$who /" "$work/$1-$who" >>"$record"
}
scanner a first
scanner b first
[ "$trouble" = 0 ] || sleep "$(awk "BEGIN {print $ttl + $work_ms / 2000}")"
scanner a again false &
first=$!
scanner b again true
wait "$first"

sleep 4
note "the worker's ledger (ran: time since boot in ms when the work began, which takes $work_ms ms):"
sed 's/^/  /' "$work/ran" >>"$record"
broken=
for who in a b; do
  dropped=$(sed -n 's/ dropped.*//p' "$work/first-$who")
  back=$(sed -n 's/ sent .*rpc.session.*//p' "$work/again-$who")
  began=$(awk -v ref="bundle-$who" '$1 == "ran" && $5 == ref {print $2; exit}' "$work/ran")
  [ -n "$dropped" ] && [ -n "$back" ] && [ -n "$began" ] || cant "the calls of $who were not made"
  held=$((began + work_ms + ttl * 1000)) # the answer is held till then, at the least
  note "$who: dropped at $dropped, its call answered by the worker at $((began + work_ms))," \
    "back at $back, held until $held"
  [ "$back" -lt $((held - 200)) ] || cant "$who was back too late to be judged"
  runs=$(grep -c "^ran .* stock-out bundle-$who\$" "$work/ran")
  [ "$runs" = 1 ] || broken="$broken the call of $who ran $runs times;"
  grep -q ' came .*"id":1}$' "$work/again-$who" || broken="$broken $who was not given its answer;"
done
[ -z "$broken" ] || verdict 1 "broken:$broken"
verdict 0 "held: each call ran once, and its repeat was answered"
