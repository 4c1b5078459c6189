#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given. Needs a finished build.
# Skips a file if it, the headers that it includes and the lint rules are unchanged since its last run
# without findings.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp' | grep -v '\.pb\.')
fi
cache="$build_dir/lint-clean"
mkdir -p "$cache"
export build_dir cache
lint_one() {
  local stamp="$cache/$1"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p "$build_dir" "$2" 2>&1 | grep -v 'warnings generated' >"$stamp.out" || true
  if grep -qE 'error:|warning:' "$stamp.out"; then
    cat "$stamp.out"
    rm -f "$stamp.out"
    return 1
  fi
  rm -f "$stamp.out"
  touch "$stamp"
}
export -f lint_one
python3 scripts/lint_keys.py "$build_dir" "${files[@]}" \
  | xargs -P "$(nproc)" -L 1 bash -c 'lint_one "$1" "$2"' _
