"""Port ranges for runs that may go on side by side."""

import os
import random
import socket

# Below the kernel's ephemeral range (32768 and up), so that outgoing connections take none of them.
FIRST_PORT = 12000
LAST_PORT = 31000


def free_base(count):
    """First port of `count` successive ones that can all be bound now."""
    base = FIRST_PORT + (os.getpid() * 211) % (LAST_PORT - FIRST_PORT - count)
    for _ in range(200):
        if all(_is_free(base + offset) for offset in range(count)):
            return base
        base += count + 7
        if base + count > LAST_PORT:
            base = FIRST_PORT
    raise RuntimeError(f"no {count} successive free ports")


def free_ports(count):
    """`count` different ports that can be bound now. Chosen at random, so that a process that has
    not bound its own yet seldom meets another with the same."""
    chosen = set()
    while len(chosen) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if _is_free(port):
            chosen.add(port)
    return list(chosen)


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
