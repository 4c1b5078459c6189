#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR). Further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
# ccache leaves the checkout directory out of its hashes, so that several checkouts share one cache.
export CCACHE_NOHASHDIR=1 CCACHE_BASEDIR="$PWD"
cmake -S . -B "$build_dir" -G Ninja "$@" >"/tmp/almondnotch-configure.$$" 2>&1 || {
  cat "/tmp/almondnotch-configure.$$"
  exit 1
}
rm -f "/tmp/almondnotch-configure.$$"
cmake --build "$build_dir"
