#!/usr/bin/env bash
# Installs the Debian packages needed to build, check and run the program. Needs root.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
  libev-dev libgrpc++-dev libprotobuf-dev libcurl4-openssl-dev libmicrohttpd-dev
  libgflags-dev liblog4cxx-dev libexpected-dev libboost1.74-dev libboost-test-dev libtomlplusplus-dev
  libxxhash-dev nlohmann-json3-dev libssl-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" 2>/dev/null | grep -q '^Status: install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
