#!/bin/sh
# Dependencies of the packages run one way: each may include only what is listed. $1: the repository's root.
set -eu
cd "$1/src"
bad=0
allow() {  # package, then the folders that it may include beside itself, the public interface and src/common
  package=$1; shift
  for include in $(sed -n 's/^#include "\([^"]*\)"$/\1/p' "$package"/*.?pp | sort -u); do
    folder=${include%%/*}
    for allowed in "$package" cairnjunction common "$@"; do [ "$folder" = "$allowed" ] && continue 2; done
    echo "src/$package includes $include, which is not below it"
    bad=1
  done
}
allow common
allow policy
allow sim policy
allow membership
allow core membership
allow discovery
allow config discovery route
allow upstream core
allow http core route upstream
allow jsonrpc core discovery upstream
allow admin
allow route
allow import/nginx import route
allow pools route
allow limits route
allow lease
allow consensus
allow toml
allow fleet consensus discovery lease toml
allow app admin config consensus core discovery fleet http import jsonrpc lease limits membership pools route upstream standins
# The state of endpoints knows no protocol, no socket and no clock.
if grep -nEi 'boost|socket|steady_clock|system_clock' membership/*.?pp | grep -v '//'; then
  echo "src/membership knows more than it should"; bad=1
fi
# Routes and their import decide, and do no I/O.
if grep -nEi 'boost|fstream|socket\(|steady_clock|system_clock' route/*.?pp import/nginx/*.?pp | grep -v '//'; then
  echo "src/route or src/import knows more than it should"; bad=1
fi
if grep -nEi 'boost|socket\(|steady_clock|system_clock' pools/*.?pp limits/*.?pp | grep -v '//'; then
  echo "src/pools or src/limits knows more than it should"; bad=1
fi
# Leases are decided without I/O and without a clock.
if grep -nEi 'boost|asio|fstream|socket|steady_clock|system_clock' lease/*.?pp | grep -v '//'; then
  echo "src/lease knows more than it should"; bad=1
fi
# The core knows no protocol, no socket and no clock.
if grep -nEi 'boost|http|json|socket|steady_clock|system_clock' $(ls core/*.?pp | grep -v core/message.hpp) | grep -v '//'; then
  echo "src/core knows more than it should"; bad=1
fi
exit $bad
