"""Tests that an odd entry in the store costs only itself: one that another writer left, however large,
unreadable or often written, on real sockets with three gateway processes.

Usage: odd_entries_test.py PATH_OF_ALMONDNOTCHD
"""
import http.client
import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402

DAEMON = [sys.argv.pop(1)]
# The platform's time limits. A worker that joins is used within the time for a configuration and 2 s.
CONFIG_APPLY_SECONDS = 2.0
JOIN_SECONDS = CONFIG_APPLY_SECONDS + 2.0
DRAIN_SECONDS = 2.0
RECOVERY_SECONDS = 15.0
# Greatest value that the store takes (`valueBytes`).
VALUE_BYTES = 1_048_576
LARGE_BYTES = 900_000
# Half of the memory of the smallest VMs, 160 MB.
MEMORY_KIB_MAX = 80_000_000 // 1024
# Link of the slowest VMs, 10 Mbit/s.
SLOW_LINK_RATE = 1_250_000
SERVED_MIN = 0.95
# Calls of the store that a gateway may make each second while it watches two scopes.
STORE_CALLS_PER_SECOND = 10


def peak_memory_kib(gateway):
    with open(f"/proc/{gateway.process.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))


def entry(service="reads", **changes):
    """Returns an entry that names no process."""
    return {"address": "127.0.0.1:9", "born": 1, "info": {
        "service": service, "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"}, **changes}


def odd_values():
    """Returns values that another writer may have left among the workers, by their name."""
    values = {f"small-{number}": value
              for number, value in enumerate(standins.odd_registrations())}
    values.update({
        "unreadable": b"\xff" * LARGE_BYTES,
        "unreadable-largest": b"\xff" * VALUE_BYTES,
        "unended-text": b'"' + b"\xc3" * LARGE_BYTES,
        "nested": b"[" * LARGE_BYTES,
        "nested-fields": b'{"info":' * (LARGE_BYTES // 8),
        "many-elements": b'{"info":[' + b"0," * (LARGE_BYTES // 2),
        "many-fields": json.dumps({str(n): n for n in range(60_000)}).encode(),
        "long-service": json.dumps(entry("x" * LARGE_BYTES)).encode(),
        "long-address": json.dumps(entry(address="x" * LARGE_BYTES)).encode(),
        "other-service": json.dumps(entry("elsewhere")).encode(),
        "other-state": json.dumps(entry(status={"state": "x", "warmupLeft": "0ms"})).encode(),
        "other-types": json.dumps(entry(info=7, status=[1])).encode(),
        "no-fields": b"{}",
        "null": b"null",
        "empty": b"",
        "with space": b"\xff",
        "\u00e9": b"\xff",
        "": b"\xff"})
    return values


class OddEntriesTest(unittest.TestCase):
    gateway_count = 3

    def setUp(self):
        self.store = standins.Store()
        self.store.put("op/config", standins.configuration(1))
        self.workers = [standins.Worker(self.store, f"r-{i}", "reads") for i in range(3)]
        self.gateways, self.writers, self.version, self.count = [], [], 1, 0
        self.statuses, self.stop, self.callers = [], threading.Event(), []

    def tearDown(self):
        self.end_callers()
        for writer in self.writers:
            writer.stop()
        result = self._outcome.result
        failed = any(case is self for case, _ in result.failures + result.errors)
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            if failed:
                print(gateway.output()[-5000:], file=sys.stderr)
            gateway.log.close()
        for worker in self.workers:
            worker.server.stop_serving()
        self.store.server.stop_serving()

    def start(self):
        """Starts the gateways. Returns how long it took until all of them were ready."""
        started_at, self.gateways = time.monotonic(), []
        for i in range(self.gateway_count):
            seeds = f"127.0.0.1:{self.gateways[0].peer_port}" if self.gateways else None
            self.gateways.append(standins.Gateway(DAEMON, self.store, f"vm-{i}", seeds))
        for gateway in self.gateways:
            standins.wait_for(gateway.is_ready, RECOVERY_SECONDS, "the gateway is not ready")
        took = time.monotonic() - started_at
        # Until then, a new gateway delays its first watch (startupWatchHoldoff).
        time.sleep(3)
        return took

    def start_callers(self):
        self.stop, self.statuses = threading.Event(), []
        self.callers = [threading.Thread(target=self.call_repeatedly, args=(i,), daemon=True)
                        for i in range(self.gateway_count)]
        for thread in self.callers:
            thread.start()

    def end_callers(self):
        self.stop.set()
        for thread in self.callers:
            thread.join()
        self.callers = []

    def call_repeatedly(self, number):
        caller, count = standins.Caller(self.gateways[number].entry_port), 0
        while not self.stop.wait(0.02):
            count += 1
            try:
                self.statuses.append(caller.send("GET", "/read/1", f"{number}-{count:x}")[0])
            except (OSError, http.client.HTTPException):
                self.statuses.append(0)
        caller.close()

    def availability(self, worker):
        """Returns why the gateways do not use a worker; "unknown" if one does not know it."""
        out = set()
        for gateway in self.gateways:
            rows = json.loads(gateway.get(gateway.operator_port, "/dump")[1])["workers"]
            out |= {row["unavailable"] for row in rows if row["name"] == worker.name} or {"unknown"}
        return out

    def check_join(self):
        self.count += 1
        worker = standins.Worker(self.store, f"r-new-{self.count}", "reads")
        self.workers.append(worker)
        joined_at = time.monotonic()
        standins.wait_for(lambda: self.availability(worker) == {"none"}, JOIN_SECONDS,
                          "a worker that joined is not used")
        print(f"a join was heard after {time.monotonic() - joined_at:.2f} s", flush=True)
        return worker

    def check_leave(self, worker):
        """A worker leaves as those do whose entry is just removed."""
        self.store.remove(f"servers/{worker.name}")
        left_at = time.monotonic()
        time.sleep(DRAIN_SECONDS + 1)
        late = [run[4] - left_at for run in worker.runs if run[4] > left_at + DRAIN_SECONDS]
        self.assertEqual(late, [], "a worker that left got requests later than the drain time")
        self.workers.remove(worker)
        worker.server.stop_serving()

    def check_config(self, **extra_routes):
        """Writes a configuration with a further route, which must be in force in time."""
        self.version += 1
        added = dict(standins.configuration(1)["routes"]["r-read"], prefix=f"/v{self.version}/")
        config = standins.configuration(self.version, **{"r-added": added}, **extra_routes)
        self.assertLessEqual(len(json.dumps(config)), VALUE_BYTES)
        self.store.put("op/config", config)
        written_at = time.monotonic()
        callers = [standins.Caller(gateway.entry_port) for gateway in self.gateways]
        while any(caller.send("GET", f"/v{self.version}/x", f"{time.monotonic_ns():x}")[0] != 200
                  for caller in callers):
            self.assertLess(time.monotonic() - written_at, CONFIG_APPLY_SECONDS,
                            "a configuration is not in force at all gateways")
            time.sleep(0.05)
        print(f"a configuration was in force after {time.monotonic() - written_at:.2f} s", flush=True)
        for caller in callers:
            caller.close()

    def check_service(self):
        """Checks that joins, leaves and configurations are heard, and that requests are served."""
        self.start_callers()
        self.check_leave(self.check_join())
        self.check_config()
        self.end_callers()
        served = self.statuses.count(200) / len(self.statuses)
        self.assertGreaterEqual(served, SERVED_MIN)

    def check_restart(self):
        """All processes are killed and started again."""
        self.check_memory()
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            gateway.log.close()
        took = self.start()
        print(f"ready {took:.2f} s after the restart", flush=True)
        self.check_service()
        self.check_memory()

    def check_memory(self):
        peak = max(peak_memory_kib(gateway) for gateway in self.gateways)
        print(f"peak memory {peak} KiB", flush=True)
        self.assertLessEqual(peak, MEMORY_KIB_MAX)

    def write_odd_entries(self):
        for name, value in odd_values().items():
            self.store.put(f"servers/{name}", value)
        for number, fields in enumerate((
                {"value": "***"}, {"value": 7}, {}, {"value": None}, {"value": ["x"] * 1000},
                {"value": "A" * 4_000_000}, {"value": "e30=", "created": "x"},
                {"value": "e30=", "lease": {"x": "y" * 100_000}}, {"key": 7}, {"key": "\udcff"})):
            self.store.put_row(f"servers/row-{number}", fields)

    def check_entry(self, write):
        """Checks one entry alone: in a watch of the running processes, then in the lists at their
        start. The stand-in lists three entries a page, so that it shares its page with others."""
        self.start()
        write("servers/note")
        self.check_service()
        self.check_restart()

    def test_one_large_unreadable_entry(self):
        self.check_entry(lambda key: self.store.put(key, b"\xff" * LARGE_BYTES))

    def test_one_unreadable_entry_of_the_greatest_size(self):
        self.check_entry(lambda key: self.store.put(key, b"\xff" * VALUE_BYTES))

    def test_one_unreadable_value(self):
        self.check_entry(lambda key: self.store.put_row(key, {"value": "***"}))

    def test_one_unreadable_key(self):
        self.check_entry(lambda key: self.store.put_row(key, {"key": "servers/\udcff"}))

    def test_one_entry_of_the_greatest_size_that_is_written_often(self):
        self.check_entry(lambda key: self.writers.append(
            standins.OtherWriter(self.store, key, b"\xff" * VALUE_BYTES, 0.1)))

    def test_one_readable_entry_of_the_greatest_size(self):
        """The worker that it names is used."""
        self.start()
        large = standins.Worker(self.store, "r-large", "reads")
        self.workers.append(large)
        self.store.put("servers/r-large", standins.padded(
            entry(address=large.server.address, born=large.born), VALUE_BYTES))
        self.check_service()
        self.check_restart()
        self.assertEqual(self.availability(large), {"none"})

    def test_many_odd_entries(self):
        self.start()
        self.write_odd_entries()
        self.check_service()
        self.check_restart()

    def test_entries_that_are_written_often(self):
        """Large and small ones, among the workers and beside the configuration."""
        self.start()
        for key, value, interval in (("servers/note", b"\xff" * LARGE_BYTES, 0.2),
                                     ("servers/a", json.dumps(entry("x" * LARGE_BYTES)).encode(), 1),
                                     ("servers/z", b"\xff", 0.01), ("op/note", b"\xff", 0.01),
                                     ("op/large", b"\xff" * VALUE_BYTES, 0.5)):
            self.writers.append(standins.OtherWriter(self.store, key, value, interval))
        self.check_service()
        started_at, calls = time.monotonic(), self.store.request_count
        time.sleep(3)
        rate = (self.store.request_count - calls) / (time.monotonic() - started_at)
        print(f"{rate:.1f} calls of the store a second", flush=True)
        self.assertLessEqual(rate, STORE_CALLS_PER_SECOND * self.gateway_count)
        self.check_restart()

    def test_one_configuration_of_almost_the_greatest_size(self):
        self.start()
        self.check_config(**self.further_routes())
        self.check_restart()

    @staticmethod
    def further_routes():
        """Returns routes with which a configuration has almost the greatest size."""
        route = dict(standins.configuration(1)["routes"]["r-read"])
        return {f"r-further-{n}": dict(route, prefix=f"/further-{n}/") for n in range(5_580)}

    def test_large_configuration(self):
        """A configuration of almost the greatest size is in force in time, beside other large items of
        the operator's prefix."""
        self.start()
        self.store.put("op/evacuate/nowhere", b"\xff" * VALUE_BYTES)
        self.store.put("op/zz", b"\xff" * VALUE_BYTES)
        self.check_config(**self.further_routes())
        self.check_restart()

    def test_slow_link(self):
        """Large entries stand while the answers of the store take long."""
        self.store.rate = SLOW_LINK_RATE
        self.start()
        self.store.put("servers/note", b"\xff" * VALUE_BYTES)
        time.sleep(3)
        self.check_service()
        for number in range(2):
            self.store.put(f"servers/{number}", b"\xff" * VALUE_BYTES)
        time.sleep(6)
        self.check_restart()


class RelayedOddEntriesTest(OddEntriesTest):
    """The same entries in a failure domain that is so large that two gateways read the store for all."""
    gateway_count = 10

    def test_many_odd_entries(self):
        self.check_relay(odd_values())

    def test_one_unreadable_entry_of_the_greatest_size(self):
        self.check_relay({"note": b"\xff" * VALUE_BYTES})

    def test_one_readable_entry_with_a_long_name(self):
        self.check_relay({"note": json.dumps(entry("x" * LARGE_BYTES)).encode()})

    def check_relay(self, values):
        self.start()
        standins.wait_for(lambda: sum("relay the changes" in gateway.output()
                                      for gateway in self.gateways) >= self.gateway_count - 3, 15)
        followers = [gateway for gateway in self.gateways if self.is_follower(gateway)]
        watches = self.watch_count(followers)
        for name, value in values.items():
            self.store.put(f"servers/{name}", value)
            time.sleep(0.1)
        self.check_service()
        self.check_memory()
        watches = self.watch_count(followers) - watches
        print(f"{watches} watches by the {len(followers)} followers", flush=True)
        self.assertLessEqual(watches, len(followers), "the followers read the changes themselves")

    @staticmethod
    def is_follower(gateway):
        output = gateway.output()
        return output.rfind("relay the changes") > output.rfind("watches the store itself")

    def watch_count(self, gateways):
        return sum(self.counter(gateway, "platform_watches_total") for gateway in gateways)

    @staticmethod
    def counter(gateway, name):
        text = gateway.get(gateway.operator_port, "/metrics")[1].decode()
        return next((float(line.split()[1]) for line in text.splitlines()
                     if line.split(" ")[0].endswith(name)), 0)


def load_tests(_loader, _tests, _pattern):
    suite = unittest.TestSuite()
    names = unittest.TestLoader().getTestCaseNames(OddEntriesTest)
    suite.addTests(OddEntriesTest(name) for name in names)
    suite.addTests(RelayedOddEntriesTest(name) for name in (
        "test_many_odd_entries", "test_one_unreadable_entry_of_the_greatest_size",
        "test_one_readable_entry_with_a_long_name"))
    return suite


if __name__ == "__main__":
    unittest.main(verbosity=2)
