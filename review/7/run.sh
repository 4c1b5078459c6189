#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
command -v python3 >/dev/null || exit 2
exec timeout -s TERM -k 5 118 python3 -B "$(dirname "$0")/case.py"
