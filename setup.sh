#!/bin/sh
# Installs what the build and the tests need, from Debian's packages, if anything of it is missing.
set -eu
packages="g++ cmake ninja-build clang-format clang-tidy curl libgtest-dev libboost-dev nlohmann-json3-dev libsimdjson-dev libcli11-dev libpcre2-dev libmsgpack-cxx-dev libtomlplusplus-dev libspdlog-dev libraft-dev libuv1-dev libsqlite3-dev pkg-config"
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' && continue
  sudo=; [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -q
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -qy $packages
  break
done
