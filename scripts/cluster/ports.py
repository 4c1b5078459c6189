"""Reserves ports for runs that may execute in parallel.

Ports are reserved in blocks. A file lock keeps other runs from using a block for the lifetime of
this process, even before the processes that use its ports have bound them."""

import fcntl
import os
import random
import socket
import tempfile

# Below the kernel's ephemeral range (32768 and up), so that outgoing connections do not use these
# ports.
FIRST_PORT = 12000
BLOCK_PORTS = 50
BLOCKS = 380

_locks = []
_unused_ports = []


def reserve_port_range(count):
    """Reserves `count` consecutive ports; returns the first one."""
    blocks = -(-count // BLOCK_PORTS)
    starts = range(BLOCKS - blocks + 1)
    first = random.randrange(len(starts))
    for offset in starts:
        start = (first + offset) % len(starts)
        if _reserve(range(start, start + blocks)):
            return FIRST_PORT + start * BLOCK_PORTS
    raise RuntimeError(f"no {count} consecutive free ports")


def reserve_ports(count):
    """Reserves and returns `count` ports, which need not be consecutive."""
    while len(_unused_ports) < count:
        base = reserve_port_range(BLOCK_PORTS)
        _unused_ports.extend(range(base, base + BLOCK_PORTS))
    chosen = _unused_ports[:count]
    del _unused_ports[:count]
    return chosen


def _reserve(blocks):
    locks = [_lock(block) for block in blocks]
    ports = range(FIRST_PORT + blocks[0] * BLOCK_PORTS, FIRST_PORT + (blocks[-1] + 1) * BLOCK_PORTS)
    if None not in locks and all(_is_free(port) for port in ports):
        _locks.extend(locks)
        return True
    for lock in locks:
        if lock is not None:
            lock.close()
    return False


def _lock(block):
    """Locks the file of a block and returns it; None if another run holds the lock."""
    directory = os.path.join(tempfile.gettempdir(), f"almondnotch-ports-{os.getuid()}")
    os.makedirs(directory, exist_ok=True)
    # The file is never removed: otherwise one run could lock the removed file and another one a new
    # file.
    lock = open(os.path.join(directory, str(block)), "w", encoding="ascii")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return None
    return lock


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
