"""Tests of the ports that process tests choose."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

from cluster import ports  # noqa: E402


def fork_port_user(count, done):
    """Forks a run that chooses ports and lives until it can read from `done`. Returns
    the reader of the ports."""
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
    def test_runs_side_by_side_get_different_ports(self):
        """Guards against runs that choose the same ports before either has bound them."""
        # Process numbers that are 90 apart led to the same ports once.
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
