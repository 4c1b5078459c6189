#!/usr/bin/env bash
# Case 13, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 -W ignore case.py
