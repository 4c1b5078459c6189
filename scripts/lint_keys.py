"""Prints "KEY FILE" for each given source file. KEY is a checksum of the file, the lint rules and
the project's headers that the file includes. Usage: lint_keys.py BUILD FILE..."""

import functools
import hashlib
import os
import subprocess
import sys


def included_files(build):
    """Project files that each compiled source includes, as recorded by the last build."""
    root = os.getcwd() + os.sep
    listing = subprocess.run(["ninja", "-C", build, "-t", "deps"], check=True, capture_output=True,
                             text=True).stdout
    includes = {}
    for block in listing.split("\n\n"):
        paths = [os.path.normpath(os.path.join(build, line.strip()))
                 for line in block.splitlines()[1:]]
        own = [os.path.relpath(path) for path in paths if os.path.abspath(path).startswith(root)]
        if own:
            includes.setdefault(own[0], set()).update(own[1:])
    return includes


def all_headers():
    """All headers of the project, used for sources that were not compiled."""
    return set(subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "--", "*.h"],
                              check=True, capture_output=True, text=True).stdout.split())


@functools.lru_cache(maxsize=None)
def checksum(path):
    with open(path, "rb") as content:
        return hashlib.sha256(content.read()).digest()


def cache_key(source, headers):
    digest = hashlib.sha256()
    for path in [".clang-tidy", source, *sorted(headers)]:
        digest.update(path.encode() + b"\0" + checksum(path))
    return digest.hexdigest()[:32]


def main():
    build, *sources = sys.argv[1:]
    includes = included_files(build)
    fallback = all_headers()
    for source in sources:
        print(cache_key(source, includes.get(source, fallback)), source)


if __name__ == "__main__":
    main()
