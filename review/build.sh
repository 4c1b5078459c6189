#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs, so this only checks that
# they compile and that the interpreter has the modules that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import asyncio, glob, http.client, http.server, sys, tomllib
files = ["tests/platform/standins.py", "scripts/cluster/ports.py", "review/lib/harness.py",
         "review/lib/worker.py", *sorted(glob.glob("review/[1-5]/*.py"))]
for name in files:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
END
