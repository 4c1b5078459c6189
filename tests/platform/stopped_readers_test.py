"""Test of gateways whose readers have stopped while the store loses requests, with real gateway
processes.

Usage: stopped_readers_test.py PATH_OF_ALMONDNOTCHD
"""
import json
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402

DAEMON = [sys.argv.pop(1)]
# Enough gateways that two of them read the store for the others, three more take over from these,
# and four do neither.
GATEWAYS = 9
READERS_AND_STANDBYS = 5
# Long enough that the other gateways notice the missing readers and that their reads are lost too.
SILENCE_SECONDS = 3.0
# Time after a fault from which a change that was acknowledged before must be in force.
CONTACT_SECONDS = 3.0


class StoppedReadersTest(unittest.TestCase):
    def setUp(self):
        self.store = standins.Store()
        self.store.put("op/config", standins.configuration(1))
        self.worker = standins.Worker(self.store, "r-0", "reads")
        self.gateways = []
        for i in range(GATEWAYS):
            seeds = f"127.0.0.1:{self.gateways[0].peer_port}" if self.gateways else None
            self.gateways.append(standins.Gateway(DAEMON, self.store, f"vm-{i}", seeds))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            gateway.log.close()
        self.worker.server.stop_serving()
        self.store.server.stop_serving()

    @staticmethod
    def readers_dump(gateway):
        return json.loads(gateway.get(gateway.operator_port, "/dump")[1])["readers"]

    def is_following(self, gateway):
        """True if other gateways read the store for this one."""
        return not self.readers_dump(gateway)["must_read"]

    def is_settled(self):
        """True if all gateways know one another, and all but the readers follow."""
        return (all(self.readers_dump(g)["candidates"] == GATEWAYS for g in self.gateways)
                and sum(map(self.is_following, self.gateways)) == GATEWAYS - 2)

    @staticmethod
    def has_route(gateway, path):
        caller = standins.Caller(gateway.entry_port)
        try:
            return caller.send("GET", path, f"{1:016x}")[0] == 200
        finally:
            caller.close()

    def test_followers_learn_a_change(self):
        """Guards against an outdated configuration at gateways whose reads were lost once when the
        gateways that read the store for them had stopped."""
        for gateway in self.gateways:
            standins.wait_for(gateway.is_ready)
        standins.wait_for(self.is_settled, 20)
        followers = [g for g in self.gateways
                     if self.readers_dump(g)["rank"] >= READERS_AND_STANDBYS]
        self.store.is_silent = True
        for gateway in self.gateways:
            if gateway not in followers:
                gateway.process.send_signal(signal.SIGSTOP)
        added = dict(standins.configuration(1)["routes"]["r-read"], prefix="/added/")
        self.store.put("op/config", standins.configuration(2, **{"r-added": added}))
        time.sleep(SILENCE_SECONDS)
        self.store.is_silent = False
        limit = time.monotonic() + CONTACT_SECONDS
        for gateway in followers:
            standins.wait_for(lambda gateway=gateway: self.has_route(gateway, "/added/x"),
                              limit - time.monotonic(), "the configuration is not in force")


if __name__ == "__main__":
    unittest.main()
