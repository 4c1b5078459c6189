#!/usr/bin/env bash
# Measures the worker selection strategies in simulated time and checks the targets of the default one.
# Arguments go to the program: --quick for CI; --figures=docs/figures also draws the figures.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "${BUILD_DIR:-build}/tests/decision/policy_bench/policy_bench" "$@"
