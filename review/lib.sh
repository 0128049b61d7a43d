# Common parts of the cases, sourced by review/N/run.sh. The processes run in $work, a temporary folder.
set -u
if [ -z "${REVIEW_LIMITED:-}" ]; then REVIEW_LIMITED=1 exec timeout -k 3 112 bash "$0" "$@"; fi
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
trouble=${TROUBLE:-1}
record=$here/record.txt
work=$(mktemp -d) || exit 2
: >"$record" || exit 2

finish() {
  local left
  left=$(jobs -p)
  # shellcheck disable=SC2086
  [ -z "$left" ] || kill -KILL $left 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'note "could not run: out of time"; exit 2' TERM

note() { echo "$(date +%T.%3N) $*" >>"$record"; }
cant() {
  note "could not run: $*"
  exit 2
}
verdict() { # 0 or 1, and why
  note "$2"
  note "exit code $1"
  exit "$1"
}

# start NAME COMMAND...: the output goes to $work/NAME.out, the process id to $pid.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>&1 &
  pid=$!
  note "started $name: process $pid"
}

# gateway NAME CONFIG [ARGUMENTS]: the deploy file's `run`, started as docs/DEPLOY says.
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] || cant "the deploy file has no run"
gateway() { start "$1" env GW_CONFIG="$2" /bin/sh -c "$run ${3:-}"; }

# until_true SECONDS COMMAND...: repeats it until it succeeds; fails when the time is over.
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

# up PORT: whether the gateway there answers GET /up with 200.
up() {
  local status
  exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&9
  read -r -t 2 status <&9
  exec 9>&-
  [[ $status == *" 200 "* ]]
}

[ -x build/cairnjunction ] && [ -x build/review/ports ] ||
  cant "not built: the deploy file's build, then review/build.sh"
