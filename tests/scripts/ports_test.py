"""Tests of the port reservation for process tests."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

from cluster import ports  # noqa: E402


def fork_port_user(count, done):
    """Forks a process that reserves ports and runs until it can read a byte from `done`.
    Returns the read end of a pipe to which it writes its ports."""
    reader, writer = os.pipe()
    if os.fork() == 0:
        base = ports.reserve_port_range(count)
        chosen = list(range(base, base + count)) + ports.reserve_ports(5)
        os.write(writer, " ".join(map(str, chosen)).encode())
        os.close(writer)
        os.read(done, 1)
        os._exit(0)
    os.close(writer)
    return reader


class Ports(unittest.TestCase):
    def test_parallel_runs_get_different_ports(self):
        """Guards against parallel runs that choose the same ports before either has bound them."""
        # More than 90 processes: ports derived from the process ID would be equal for IDs that
        # differ by 90.
        runs = 100
        done, release = os.pipe()
        readers = [fork_port_user(10, done) for _ in range(runs)]
        taken = []
        for reader in readers:
            with os.fdopen(reader) as lines:
                taken += lines.read().split()
        os.write(release, b"x" * runs)
        for _ in range(runs):
            os.wait()
        self.assertEqual(len(taken), runs * 15)
        self.assertEqual(len(set(taken)), len(taken))


if __name__ == "__main__":
    unittest.main()
