"""Tests of the almondnotchd process: exit codes, start, drain and immediate exit.

Usage: daemon_process_test.py PATH_OF_ALMONDNOTCHD
"""
import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "..", "scripts"))

from cluster import ports  # noqa: E402

DAEMON = sys.argv.pop(1)


class DaemonProcess(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.process = None
        self.entry, self.operator, self.peer, self.platform = ports.reserve_ports(4)

    def tearDown(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.communicate()
        self.directory.cleanup()

    def write_settings(self, extra=""):
        path = os.path.join(self.directory.name, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""[vm]
name = "vm1"
failure_domain = "fd1"
[entry]
address = "127.0.0.1:{self.entry}"
[operator]
address = "127.0.0.1:{self.operator}"
[peer]
address = "127.0.0.1:{self.peer}"
keys = "k1:0123456789abcdef"
[platform]
address = "127.0.0.1:{self.platform}"
[fleet]
drain_time_max_s = 3
{extra}
""")
        return path

    def get(self, port, target):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request("GET", target)
        response = connection.getresponse()
        result = response.status, response.read()
        connection.close()
        return result

    def start(self):
        self.process = subprocess.Popen([DAEMON, "--settings", self.write_settings()],
                                        stderr=subprocess.PIPE)
        deadline = time.monotonic() + 20
        while True:
            try:
                return self.get(self.entry, "/.well-known/almondnotch/health")
            except OSError:
                self.assertIsNone(self.process.poll())
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.02)

    def test_invalid_settings_prevent_the_start(self):
        """Guards against a daemon that starts although some settings are invalid."""
        run = subprocess.run([DAEMON, "--settings", self.write_settings("fanuot = 1\nreaders = 0")],
                             capture_output=True, text=True, timeout=20, check=False)
        self.assertEqual(run.returncode, 2)
        self.assertIn(":15: fleet.fanuot: ", run.stderr)
        self.assertIn("did you mean fleet.fanout?", run.stderr)
        self.assertIn(":16: fleet.readers: ", run.stderr)

    def test_check_settings_opens_no_socket(self):
        """Guards against --check_settings opening sockets or accepting a missing file."""
        listener = socket.socket()
        # The daemon sets this option too: connections of an earlier run may keep the port in
        # TIME_WAIT.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.entry))
        listener.listen()
        path = self.write_settings()
        self.assertEqual(subprocess.run([DAEMON, "--settings", path, "--check_settings"],
                                        timeout=20, check=False).returncode, 0)
        self.assertEqual(subprocess.run([DAEMON, "--settings", path + "x", "--check_settings"],
                                        stderr=subprocess.DEVNULL, timeout=20,
                                        check=False).returncode, 2)
        run = subprocess.run([DAEMON, "--settings", path], capture_output=True, text=True,
                             timeout=20, check=False)
        listener.close()
        self.assertEqual(run.returncode, 1)
        self.assertIn(str(self.entry), run.stderr)

    def test_terminate_drains(self):
        """Guards against a SIGTERM that does not end the process, or ends it with an error."""
        self.assertEqual(self.start(), (200, b"ok\n"))
        self.assertEqual(self.get(self.operator, "/version")[0], 200)
        self.assertIn(b"almondnotch_process_start_time_seconds",
                      self.get(self.operator, "/metrics")[1])
        self.assertEqual(self.get(self.operator, "/dump")[0], 200)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(30), 0)

    def test_second_terminate_exits_at_once(self):
        """Guards against a drain that a second SIGTERM does not cut short."""
        self.start()
        self.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.assertIn(self.process.wait(5), (0, 143))

    def test_interrupt_exits_at_once(self):
        """Guards against a SIGINT that is ignored or starts a drain."""
        self.start()
        self.process.send_signal(signal.SIGINT)
        self.assertEqual(self.process.wait(5), 130)


if __name__ == "__main__":
    unittest.main()
