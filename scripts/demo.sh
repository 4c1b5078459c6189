#!/usr/bin/env bash
# Installs the dependencies, builds, and demonstrates the system on loopback: entry addresses, calls,
# and a worker and a gateway that leave during the load. Exits with 1 if a response is incorrect,
# missing or truncated, if a booking was executed twice or reported with a false outcome, or if fewer
# than 2000 calls were made.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec python3 scripts/demo.py "${BUILD_DIR:-build}"
