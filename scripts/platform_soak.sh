#!/usr/bin/env bash
# Soak test with random faults: real gateways with stand-ins of the platform and the workers.
#   scripts/platform_soak.sh [--seed N] [--seeds N] [--seconds S] [--gateways N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec python3 -W ignore tests/platform/soak.py "${BUILD_DIR:-build}/main/daemon/almondnotchd" "$@"
