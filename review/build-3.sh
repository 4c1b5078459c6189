#!/usr/bin/env bash
# Prepares what the scripts of review cases 11 to 15 start besides the daemon, which the build line of
# deploy/system.toml builds. The stand-ins are Python programs, so they are only compiled as a check.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - tests/platform/standins.py scripts/cluster/ports.py review/lib-3/*.py review/1[1-5]/*.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
