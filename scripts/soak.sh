#!/usr/bin/env bash
# Runs the decision package in simulations with random faults for a given time; prints how to replay
# a failing seed.
#   scripts/soak.sh --seconds N --seed S    runs seeds S, S+1, ... for N seconds
#   scripts/soak.sh --replay S              runs one seed again
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=600
seed=$(date +%s)
replay=
while [ $# -gt 0 ]; do
  case "$1" in
    --seconds) seconds=$2 ;;
    --seed) seed=$2 ;;
    --replay) replay=$2 ;;
    *) echo "usage: scripts/soak.sh [--seconds N] [--seed S] [--replay S]" >&2; exit 2 ;;
  esac
  shift 2
done
program=${BUILD_DIR:-build}/tests/decision/gateway/random_faults_test
if [ -n "$replay" ]; then
  ALMONDNOTCH_SEED=$replay ALMONDNOTCH_SEEDS=1 exec "$program"
fi
end=$((SECONDS + seconds))
runs=0
failed=()
while [ $SECONDS -lt $end ]; do
  if ! out=$(ALMONDNOTCH_SEED=$seed ALMONDNOTCH_SEEDS=10 "$program" 2>&1); then
    for one in $(seq "$seed" $((seed + 9))); do
      ALMONDNOTCH_SEED=$one ALMONDNOTCH_SEEDS=1 "$program" >/dev/null 2>&1 || failed+=("$one")
    done
    echo "$out" | grep -E 'error' | head -3
  else
    echo "$out" | grep '^seeds='
  fi
  seed=$((seed + 10))
  runs=$((runs + 10))
done
echo "seeds=$runs failed=${#failed[@]} ${failed[*]:+replay with: scripts/soak.sh --replay ${failed[0]}}"
[ ${#failed[@]} -eq 0 ]
