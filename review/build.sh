#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs, so this only checks that
# they compile and that the interpreter has the modules that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import asyncio, http.client, http.server, sys, tomllib
files = ["tests/platform/standins.py", "scripts/cluster/ports.py", "review/lib/harness.py",
         "review/lib/worker.py"] + [f"review/{n}/case.py" for n in range(1, 6)]
for name in files:
    try:
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
    except FileNotFoundError:
        if "/case.py" not in name:
            raise
END
