#!/bin/sh
# Measurements of the fleet on real processes, by the lab: prints rows for docs/FLEET-FIGURES.md, never a verdict on
# time. $1: the folder of the programs; $2: an empty folder for the runs; $3 (optional): parts, of "gaps calls probes rest cost".
set -eu
programs=$1 runs=$2 parts=${3:-gaps calls probes rest cost}
here=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$runs"

lab() {  # a name, an experiment's text, further words
  name=$1 text=$2; shift 2
  printf '%s\n' "$text" >"$runs/$name.toml"
  "$programs/cairnjunction-lab" run "$runs/$name.toml" --report "$runs/$name" "$@" >"$runs/$name.json" ||
    echo "$name: a promise was broken, or it could not run"
}
# Times as the fleet file has them by default; the lab's own are shorter.
times="beat_ms = 1000
lease_ms = 3000
alone_after_ms = 3000"
figure() { sed -n "s/^ *\"$2\": \([0-9.]*\),*$/\1/p" "$runs/$1.json" | head -n1; }

for part in $parts; do
  case $part in
    gaps)  # without an owner after each kind of end: fifty of each
      port=13000
      for kind in kill stop term; do
        for half in 1 2; do
          text="name = \"gaps-$kind\"
seconds = 104
rate = 40"
          i=0
          while [ $i -lt 25 ]; do
            text="$text
[[fault]]
at_ms = $((1500 + i * 4000))
for_ms = 1800
kind = \"$kind\"
whom = \"owner:list\""
            i=$((i + 1))
          done
          lab "gaps-$kind-$half" "$text" --seed "$half" --port-base "$port" &
          port=$((port + 500))
        done
      done
      wait
      ;;
    calls)  # on discovery by a hundred gateways
      for fleet in "" --no-fleet; do
        # shellcheck disable=SC2086
        lab "calls$fleet" "name = \"calls\"
seconds = 40
gateways = 100
rate = 100
$times" $fleet
        echo "calls on discovery by 100 gateways in 40 s, ${fleet:-with the fleet}: $(figure "calls$fleet" discovery_calls)"
      done
      ;;
    probes)  # sent to a dead host
      for probing in true false; do
        lab "probes-$probing" "probing = $probing
$(cat "$here/experiments/dead-host.toml")" --gateways 100 --rate 600
        echo "probes of one dead host by 100 gateways, probing by one for all $probing: $(figure "probes-$probing" fleet.probes)"
      done
      ;;
    rest)  # a member at rest
      for n in 10 50 150; do
        lab "rest-$n" "name = \"rest\"
seconds = 20
gateways = $n
workers = 4
rate = 0
$times"
        lab "rest-$n-off" "name = \"rest\"
seconds = 20
gateways = $n
workers = 4
rate = 0" --no-fleet
        echo "$n at rest, 20 s: fleet bytes/s $(figure "rest-$n" fleet_bytes_a_second), cpu ms $(figure "rest-$n" gateways_cpu_ms), off $(figure "rest-$n-off" gateways_cpu_ms)"
      done
      ;;
    cost)  # of serving, the fleet on against off, by turns
      for round in 1 2 3; do
        for fleet in "" --no-fleet; do
          # shellcheck disable=SC2086
          lab "cost$fleet-$round" "name = \"cost\"
seconds = 15
rate = 1500
$times" --seed "$round" $fleet
          echo "cost ${fleet:-with the fleet} $round: calls $(figure "cost$fleet-$round" calls), cpu ms $(figure "cost$fleet-$round" gateways_cpu_ms), p50 $(figure "cost$fleet-$round" served_ms_p50), p99 $(figure "cost$fleet-$round" served_ms_p99)"
        done
      done
      ;;
  esac
done
