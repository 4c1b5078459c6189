#!/usr/bin/env bash
# Measures a fleet of gateways on loopback and prints name=value lines. Arguments: numbers of gateways.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec python3 scripts/fleet_bench.py "${BUILD_DIR:-build}" "$@"
