#!/usr/bin/env bash
# A member of the fleet that holds shards of `probe` reports nonsense. TROUBLE=0: its reports make sense.
source "$(dirname "$0")/../lib.sh"
mapfile -t port < <(build/review/ports 10)
[ ${#port[@]} = 10 ] || cant "no ports"

mkdir "$work"/c{1,2,3}
cat >"$work/fleet.toml" <<END
fleet = "review"
members = 3
[[keeper]]
number = 1
address = "127.0.0.1:${port[0]}"
raft = "127.0.0.1:${port[1]}"
[[keeper]]
number = 2
address = "127.0.0.1:${port[2]}"
raft = "127.0.0.1:${port[3]}"
[[keeper]]
number = 3
address = "127.0.0.1:${port[4]}"
raft = "127.0.0.1:${port[5]}"
[[duty]]
name = "list"
heirs = "list-standby"
[[duty]]
name = "list-standby"
apart_from = "list"
[[duty]]
name = "probe"
shards = 16
END

start discovery build/cairnjunction-discovery --listen "127.0.0.1:${port[6]}" \
  --host "w1 127.0.0.1:${port[7]} brasov"
start worker build/cairnjunction-worker --port "${port[7]}" --work-least 90 --work-most 160
for n in 1 2 3; do
  start "c$n" build/cairnjunction-coordinator "$work/fleet.toml" --number $n --dir "$work/c$n" \
    --log "$work/c$n.log"
done
declare -A gateways
for n in 1 2; do
  sed -e "s/\"n0\"/\"n$n\"/" -e "s/127.0.0.1:8080/127.0.0.1:${port[$((7 + n))]}/" \
    -e "s/127.0.0.1:9000/127.0.0.1:${port[6]}/" deploy/config.example.json >"$work/n$n.json"
  cp "$work/fleet.toml" "$work/n$n.toml"
  printf '[member]\nzone = "brasov"\nlog = "%s"\n' "$work/n$n.log" >>"$work/n$n.toml"
  gateway "n$n" "$work/n$n.json" "--fleet $work/n$n.toml"
  gateways[$n]=$pid
done
for n in 1 2; do until_true 20 grep -q lease-acquired "$work/n$n.log" || cant "a gateway holds nothing"; done
until_true 15 up "${port[8]}" && until_true 15 up "${port[9]}" || cant "the gateways did not come up"

start member build/review/member review "${port[0]}" "${port[2]}" "${port[4]}"
member=$pid
until_true 20 grep -q '^report' "$work/member.out" || cant "the stand-in member was granted no shard"
start client build/review/client 14 "${port[8]}" "${port[9]}"
client=$pid
sleep 5
if [ "$trouble" != 0 ]; then
  note "from now on the member's reports are nonsense"
  kill -USR1 "$member"
fi
wait "$client"

note "reports of the member, of $(grep -c '^report' "$work/member.out"):"
grep '^report' "$work/member.out" | sed 's/ epoch=[0-9]* shard=[0-9]*//' | sort | uniq -c |
  sed 's/^/  /' >>"$record"
applied=$(cat "$work"/n?.log | grep '"event":"command-applied"' | grep -c '"from":"m"')
note "commands of the member that the gateways applied: $applied"
note "answers to the client, by gateway's port:"
cut -d' ' -f1,2 "$work/client.out" | sort | uniq -c | sed 's/^/  /' >>"$record"
ended=
for n in 1 2; do
  kill -0 "${gateways[$n]}" 2>/dev/null && continue
  wait "${gateways[$n]}"
  ended="$ended n$n (exit code $?)"
  note "gateway n$n: $(tail -n1 "$work/n$n.out")"
done
lost=$(grep -c ' lost ' "$work/client.out")
[ -z "$ended" ] || verdict 1 "broken: gateways ended:$ended; requests with no answer: $lost"
grep -q ' 200 ' "$work/client.out" || cant "no request was served"
verdict 0 "held: both gateways run"
