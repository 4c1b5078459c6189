"""End-to-end test of a store that comes back from a copy, with ten gateway processes.

Usage: restored_store_test.py PATH_OF_ALMONDNOTCHD
"""
import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402

DAEMON = [sys.argv.pop(1)]
GATEWAY_COUNT = 10
# The platform's time limits, measured from the store's acknowledgement of a change.
CONFIG_APPLY_SECONDS = 2.5
DRAIN_SECONDS = 2.0
# The operator and the workers write again what was lost.
RENEWAL_SECONDS = 1.0
SERVED_MIN = 0.95


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = standins.Store()
        self.store.era = 4
        self.store.put("op/config", standins.configuration(1))
        self.workers = [standins.Worker(self.store, f"r-{i}", "reads") for i in range(4)]
        self.workers.append(standins.Worker(self.store, "b-0", "books"))
        self.gateways, self.statuses, self.stop = [], [], threading.Event()

    def tearDown(self):
        self.stop.set()
        result = self._outcome.result
        failed = any(case is self for case, _ in result.failures + result.errors)
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            if failed:
                print(gateway.output(), file=sys.stderr)
        for worker in self.workers:
            worker.server.stop_serving()
        self.store.server.stop_serving()

    def start(self):
        for i in range(GATEWAY_COUNT):
            seeds = f"127.0.0.1:{self.gateways[0].peer_port}" if self.gateways else None
            self.gateways.append(standins.Gateway(DAEMON, self.store, f"vm-{i}", seeds))
        for gateway in self.gateways:
            standins.wait_for(gateway.is_ready, message="the gateway is not ready")
        standins.wait_for(lambda: sum("relay the changes" in gateway.output()
                                      for gateway in self.gateways) >= GATEWAY_COUNT - 3, 15)

    def call_repeatedly(self, number):
        caller = standins.Caller(self.gateways[number].entry_port)
        for count in range(1 << 20):
            if self.stop.wait(0.05):
                caller.close()
                return
            try:
                self.statuses.append(caller.send("GET", "/read/1", f"{number}-{count:x}")[0])
            except OSError:
                self.statuses.append(0)

    def write_version(self, version):
        """Writes a configuration with a route for each version up to this one."""
        routes = {f"r-{i}": dict(standins.configuration(1)["routes"]["r-read"], prefix=f"/v{i}/")
                  for i in range(2, version + 1)}
        self.store.put("op/config", standins.configuration(version, **routes))

    def is_in_force(self, version):
        """True if a version is in force at all gateways."""
        return all(caller.send("GET", f"/v{version}/x", f"v{version}-{time.monotonic_ns():x}")[0] == 200
                   for caller in self.callers)

    def check_version(self, version):
        written_at = time.monotonic()
        standins.wait_for(lambda: self.is_in_force(version), CONFIG_APPLY_SECONDS,
                          f"version {version} is not in force at all gateways")
        print(f"version {version} in force at all after {time.monotonic() - written_at:.2f} s")

    def wait_and_check(self, version, seconds):
        """Checks all the time that no gateway goes back to an earlier version."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.assertTrue(self.is_in_force(version), f"a gateway lost version {version}")
            time.sleep(0.05)

    def availability(self, worker):
        """Returns why the gateways do not use a worker."""
        dumps = [json.loads(gateway.get(gateway.operator_port, "/dump")[1])
                 for gateway in self.gateways]
        return {row["unavailable"] for dump in dumps for row in dump["workers"]
                if row["name"] == worker.name}

    def lose_changes(self, version, is_interrupted):
        """Writes a version, lets a worker drain and one start, and brings the store back from a copy
        that has none of it. Then these write again."""
        copy = self.store.copy()
        standins.wait_for(lambda: any(len(worker.runs) > 20 for worker in self.workers))
        leaving = max(self.workers, key=lambda worker: len(worker.runs))
        self.workers.remove(leaving)
        self.write_version(version)
        leaving.register("draining")
        started = standins.Worker(self.store, f"r-new-{version}", "reads")
        self.workers.append(started)
        for number in range(20):
            self.store.put(f"servers/other-{number}", b"{}")
        self.check_version(version)
        self.wait_and_check(version, DRAIN_SECONDS)
        left_at = time.monotonic()
        self.store.is_down = is_interrupted
        self.wait_and_check(version, 0.5)
        self.store.restore(copy)
        self.store.is_down = False
        self.wait_and_check(version, RENEWAL_SECONDS)
        self.assertEqual(self.availability(leaving), {"leaving"})
        self.assertEqual(self.availability(started), {"none"})
        self.write_version(version)
        leaving.register("draining")
        started.register()
        self.write_version(version + 1)
        self.check_version(version + 1)
        self.wait_and_check(version + 1, 3)
        self.assertEqual([run for run in leaving.runs if run[4] > left_at], [])
        self.assertEqual(self.availability(started), {"none"})
        leaving.server.stop_serving()

    def test_restored_store(self):
        """Guards against ignoring what is written after the store came back from a copy, and against
        taking back what it had acknowledged before; first with the watches interrupted, then again
        with watches that go on waiting for revisions of the earlier era."""
        self.start()
        self.callers = [standins.Caller(gateway.entry_port) for gateway in self.gateways]
        threads = [threading.Thread(target=self.call_repeatedly, args=(i,))
                   for i in range(GATEWAY_COUNT)]
        for thread in threads:
            thread.start()
        self.lose_changes(2, True)
        self.lose_changes(4, False)
        self.stop.set()
        for thread in threads:
            thread.join()
        for caller in self.callers:
            caller.close()
        served = self.statuses.count(200) / len(self.statuses)
        print(f"{served:.4f} of {len(self.statuses)} reads served")
        self.assertGreaterEqual(served, SERVED_MIN)


if __name__ == "__main__":
    unittest.main(verbosity=1)
