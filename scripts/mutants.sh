#!/usr/bin/env bash
# Builds once for each protective mechanism without that mechanism and expects the tests named in
# scripts/mutants.txt to fail. Prints one line a mutant; exit code 1 if a test did not notice.
# Arguments: names of mutants; all without arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_NOHASHDIR=1 CCACHE_BASEDIR="$PWD"
failed=0
while read -r mutant target filter; do
  case "$mutant" in ''|\#*) continue ;; esac
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx "$mutant"; then continue; fi
  cmake -S . -B build-mutant -G Ninja -DALMONDNOTCH_MUTANT="$mutant" >/dev/null
  cmake --build build-mutant --target "$target" >/dev/null
  binary=$(find build-mutant/tests -type f -name "$target" | head -n 1)
  if "$binary" --run_test="${filter:-*}" >build-mutant/last-run.txt 2>&1; then
    echo "$mutant: $target did NOT notice"
    failed=1
  else
    echo "$mutant: $target fails, as it must: $(grep -m1 -oE 'error: in "[^"]*"[^[]*' build-mutant/last-run.txt | cut -c1-140)"
  fi
done <scripts/mutants.txt
exit $failed
