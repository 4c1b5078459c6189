#!/usr/bin/env bash
# Mutation test: for each protective mechanism in scripts/mutants.txt, builds without it and expects
# the tests named there to fail. Prints one line per mutant; exits with 1 if tests passed without the
# mechanism. Arguments: names of mutants; default: all.
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
    echo "$mutant: $target did NOT fail"
    failed=1
  else
    echo "$mutant: $target fails as expected: $(grep -m1 -oE 'error: in "[^"]*"[^[]*' build-mutant/last-run.txt | cut -c1-140)"
  fi
done <scripts/mutants.txt
exit $failed
