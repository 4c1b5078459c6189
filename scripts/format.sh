#!/usr/bin/env bash
# Formats the sources. With --check, only reports files that are not formatted, and fails if there
# are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp' '*.h' | grep -v '\.pb\.')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
