#!/usr/bin/env bash
# Runs one case of the second review: `run-2.sh N`. Called by the run.sh of each case.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
program=$root/build/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x "$root/build/cairnjunction" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
DEPLOY_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
export DEPLOY_RUN
folder=$(mktemp -d) || exit 2
# The processes that the case has started end with it.
timeout 115 "$program" "$root" "$folder" "$here/$1/record.txt"
result=$?
for log in "$folder"/*.log; do
  { echo; echo "$(basename "$log"), its first 100 lines:"; head -n 100 "$log"; } >>"$here/$1/record.txt"
done
rm -rf "$folder"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
