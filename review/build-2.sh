#!/usr/bin/env bash
# Prepares the scripts of the second review. The daemon comes from the build of deploy/system.toml; the
# stand-ins, the project's own in tests/platform and those in review/, are Python programs, which are
# only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "expected Python 3.9 or later"
own = ["tests/platform/standins.py", "scripts/cluster/ports.py"]
for path in own + glob.glob("review/lib-2/*.py") + [f"review/{n}/case.py" for n in (6, 8)]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
