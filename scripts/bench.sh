#!/usr/bin/env bash
# Measures one gateway on loopback and prints name=value lines; see docs/CAPACITY.md for the targets.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec python3 scripts/bench.py "${BUILD_DIR:-build}"
