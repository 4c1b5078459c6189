#!/usr/bin/env bash
# Installs, builds and shows the whole path on loopback: entry addresses, calls, a worker and a gateway
# that leave in the middle. Exit code 1 if one response is wrong, missing, cut or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec python3 scripts/demo.py "${BUILD_DIR:-build}"
