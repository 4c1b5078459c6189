#!/usr/bin/env bash
# Runs the fault soak of the platform's whole path: scripts/platform_soak.sh [--seed N] [--seeds N] [--seconds S] [--gateways N]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec python3 -W ignore tests/platform/soak.py "${BUILD_DIR:-build}/main/daemon/almondnotchd" "$@"
