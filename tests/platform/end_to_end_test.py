"""End-to-end tests over real sockets: a fake store and fake workers that implement the platform's
protocol, real gateway processes, and faults in each of them.

Usage: end_to_end_test.py PATH_OF_ALMONDNOTCHD [CASE]
"""
import http.client
import json
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402

DAEMON = [sys.argv.pop(1)]
# The platform's time limits, measured from the store's acknowledgement of a change.
CONFIG_APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Memory of a gateway's VM on the small sites, 260 MB.
MEMORY_KIB_MAX = 260_000_000 // 1024
# Time after an outage of the store from which these limits hold again.
STABLE_SECONDS = 3.0


class EndToEndTest(unittest.TestCase):
    def setUp(self):
        self.store = standins.Store()
        self.store.put("op/config", standins.configuration(1))
        self.workers = [standins.Worker(self.store, f"{service[0]}-{i}", service)
                        for service in ("reads", "books") for i in range(2)]
        self.gateways = []
        self.attempts = 0

    def tearDown(self):
        result = self._outcome.result
        failed = any(case is self for case, _ in result.failures + result.errors)
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            if failed:
                print(gateway.output(), file=sys.stderr)
        for worker in self.workers:
            worker.server.stop_serving()
        self.store.server.stop_serving()

    def start(self, count=1):
        for i in range(count):
            seeds = f"127.0.0.1:{self.gateways[0].peer_port}" if self.gateways else None
            gateway = standins.Gateway(DAEMON, self.store, f"vm-{i}", seeds)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            standins.wait_for(gateway.is_ready, message="the gateway is not ready")
        return self.gateways[0]

    def attempt(self):
        self.attempts += 1
        return f"{self.attempts:016x}"

    def check_response(self, answer, attempt):
        """Checks that the response is the one that a worker sent for this attempt."""
        status, headers, body = answer
        self.assertEqual(status, 200)
        name, echoed = body.decode().split()
        self.assertEqual(echoed, attempt)
        self.assertEqual(headers["X-Almondnotch-Server-Seal"], f"seal-{name}")
        self.assertEqual(headers["X-Almondnotch-Attempt-Id"], attempt)

    def runs(self, attempt):
        return [run for worker in self.workers for run in worker.runs if run[0] == attempt]

    def test_without_faults(self):
        """Guards against lost, mixed-up or duplicated requests when there are no faults."""
        self.start(2)
        standins.wait_for(lambda: all(len(g.addresses()) == 2 for g in self.gateways))
        caller = standins.Caller(self.gateways[0].entry_port)
        for i in range(200):
            attempt = self.attempt()
            if i % 2:
                answer = caller.send("GET", f"/read/{i}?q=a%20b", attempt)
            else:
                answer = caller.send("POST", f"/book/{i}", attempt, b"x" * (i * 50))
            self.check_response(answer, attempt)
            run, = self.runs(attempt)
            self.assertEqual(run[1:4], ("GET", f"/read/{i}?q=a%20b", b"") if i % 2
                             else ("POST", f"/book/{i}", b"x" * (i * 50)))
        headers = [h for worker in self.workers for h in worker.headers]
        self.assertTrue(all(int(h["X-Almondnotch-Deadline-Remaining"]) <= 1500 for h in headers))
        status, _, _ = caller.send("GET", "/elsewhere/", self.attempt())
        self.assertEqual(status, 404)

    @staticmethod
    def time_pipelined(gateway, requests):
        """Sends (method, path, attempt) requests at once on a new connection. Returns their responses
        as (status, headers, body, seconds)."""
        with socket.create_connection(("127.0.0.1", gateway.entry_port), timeout=5) as connection:
            sent_at = time.monotonic()
            connection.sendall("".join(
                f"{method} {path} HTTP/1.1\r\nHost: {standins.HOST}\r\nContent-Length: 0\r\n"
                f"X-Almondnotch-Attempt-Id: {attempt}\r\n"
                "X-Almondnotch-Deadline-Remaining: 1500\r\n\r\n"
                for method, path, attempt in requests).encode())
            stream = connection.makefile("rb")
            answers = []
            for _ in requests:
                status = int(stream.readline().split()[1])
                headers = http.client.parse_headers(stream)
                body = stream.read(int(headers["Content-Length"]))
                answers.append((status, headers, body, time.monotonic() - sent_at))
            return answers

    def test_pipelined_requests(self):
        """Guards against requests behind one another on a connection that wait for one another, or
        get each other's responses. A booking among them runs alone."""
        gateway = self.start()
        for worker in self.workers:
            worker.service_time = 0.2
        caller = standins.Caller(gateway.entry_port)
        self.check_response(caller.send("GET", "/read/0", self.attempt()), f"{self.attempts:016x}")
        started = time.monotonic()
        self.check_response(caller.send("GET", "/read/1", self.attempt()), f"{self.attempts:016x}")
        alone = time.monotonic() - started
        for round_number in range(3):
            requests = [("GET", f"/read/{i}", self.attempt()) for i in range(4)]
            answers = self.time_pipelined(gateway, requests)
            for (_, _, attempt), (status, headers, body, seconds) in zip(requests, answers):
                self.check_response((status, headers, body), attempt)
                self.assertLess(seconds, 1.75 * alone, f"round {round_number}: {attempt}")
        requests = [("GET", "/read/1", self.attempt()), ("POST", "/book/1", self.attempt()),
                    ("GET", "/read/2", self.attempt()), ("GET", "/read/3", self.attempt())]
        answers = self.time_pipelined(gateway, requests)
        runs = []
        for (_, _, attempt), (status, headers, body, _) in zip(requests, answers):
            self.check_response((status, headers, body), attempt)
            run, = self.runs(attempt)
            runs.append(run[4])
        self.assertGreater(runs[1], runs[0] + 0.19)
        self.assertGreater(min(runs[2:]), runs[1] + 0.19)

    def test_abandoned_pipelined_requests(self):
        """Guards against work for requests behind one another whose caller has left."""
        gateway = self.start()
        for worker in self.workers:
            worker.service_time = 0.3
        requests = [("GET", f"/read/{i}", self.attempt()) for i in range(3)]
        with socket.create_connection(("127.0.0.1", gateway.entry_port), timeout=5) as connection:
            connection.sendall("".join(
                f"GET {path} HTTP/1.1\r\nHost: {standins.HOST}\r\n"
                f"X-Almondnotch-Attempt-Id: {attempt}\r\n\r\n"
                for _, path, attempt in requests).encode())
            standins.wait_for(lambda: all(self.runs(attempt) for _, _, attempt in requests), 2)

        def disconnects():
            text = gateway.get(gateway.operator_port, "/metrics")[1].decode()
            return sum(int(line.split()[1]) for line in text.splitlines()
                       if line.startswith("almondnotch_entry_callers_disconnected_total"))
        standins.wait_for(lambda: disconnects() == 3, 0.25)

    def test_faulty_answers(self):
        """Guards against forwarding responses that belong to another request, have no seal header
        or are truncated."""
        gateway = self.start()
        for mode in ("extra", "extra-half", "extra-late", "unframed", "unframed-reset", "unsealed", "reset",
                     "shed", "early", "failing", "silent"):
            self.workers[0].mode = self.workers[2].mode = mode
            caller = standins.Caller(gateway.entry_port)
            for i in range(12):
                for method, path, body in (("GET", "/read/1", None), ("POST", "/book/1", b"y" * 9000)):
                    attempt = self.attempt()
                    status, headers, text = caller.send(method, path, attempt, body)
                    runs = self.runs(attempt)
                    if status == 200:
                        self.check_response((status, headers, text), attempt)
                    if method == "POST":
                        self.assertLessEqual(len(runs), 1, f"{mode}: {attempt} ran twice")
                    else:
                        self.assertEqual(status, 200, f"{mode}: expected a response of the healthy worker")
                    if status in (429, 503):
                        self.assertEqual(runs, [], f"{mode}: {attempt} ran, but the response says that it did not")
            self.workers[0].mode = self.workers[2].mode = "healthy"
            time.sleep(0.5)

    def test_broken_off_answers(self):
        """Guards against a response that breaks off in its head or body and reaches the caller as a
        complete one, on new and on kept connections, after a close and after a reset."""
        gateway = self.start()
        for place, response in standins.BROKEN_RESPONSES.items():
            for resets in (False, True):
                with self.subTest(place=place, resets=resets):
                    self.send_to_broken_workers(gateway, response, resets)

    def test_odd_status_codes(self):
        """Guards against a response whose status code isn't one of HTTP and that reaches the caller as
        an answer, or whose connection is used again."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        for status in ("000", "0", "099", "600", "999", "2000", "+20", "0200"):
            with self.subTest(status=status):
                for worker in self.workers:
                    worker.mode, worker.odd_status = "odd-status", status
                for method, path, body in (("GET", "/read/1", None), ("POST", "/book/1", b"y")):
                    attempt = self.attempt()
                    answer, headers, _ = caller.send(method, path, attempt, body)
                    self.assertEqual(answer, 502)
                    self.assertNotIn("X-Almondnotch-Server-Seal", headers)
                    self.assertEqual(len(self.runs(attempt)), 1 if body else 2)
                for worker in self.workers:
                    worker.mode = "healthy"
                time.sleep(1)  # The workers are ejected for their failures.
                for method, path, body in (("GET", "/read/1", None), ("POST", "/book/1", b"y")):
                    attempt = self.attempt()
                    self.check_response(caller.send(method, path, attempt, body), attempt)

    def send_to_broken_workers(self, gateway, response, resets):
        """Sends requests while all workers break off their responses."""
        caller = standins.Caller(gateway.entry_port)
        for _ in range(2):  # Opens connections to the workers.
            caller.send("GET", "/read/1", self.attempt())
        for worker in self.workers:
            worker.broken_response, worker.resets, worker.mode = response, resets, "broken"
        runs = 0
        for _ in range(4):
            for method, path, body in (("GET", "/read/1", None), ("POST", "/book/1", b"y")):
                attempt = self.attempt()
                status, _, _ = caller.send(method, path, attempt, body)
                self.assertIn(status, (502, 503, 504))
                ran = len(self.runs(attempt))
                runs += ran
                if method == "POST":
                    self.assertLessEqual(ran, 1)
                if status == 503:
                    self.assertEqual(ran, 0)
        self.assertGreaterEqual(runs, 4)
        for worker in self.workers:
            worker.mode = "healthy"

    def test_reused_address(self):
        """Guards against requests that run at another worker which now has the same address."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        self.workers[2].name = "another"
        for _ in range(10):
            attempt = self.attempt()
            self.check_response(caller.send("POST", "/book/1", attempt, b"z"), attempt)
            self.assertEqual(len(self.runs(attempt)), 1)

    def test_drain(self):
        """Guards against requests to a worker that drains or whose registration was removed."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        self.workers[0].register("draining")
        self.store.remove("servers/b-0")
        time.sleep(DRAIN_SECONDS)
        drained_at = time.monotonic()
        for i in range(40):
            self.check_response(caller.send("GET", "/read/1", self.attempt()), f"{self.attempts:016x}")
            self.check_response(caller.send("POST", "/book/1", self.attempt(), b""),
                                f"{self.attempts:016x}")
        for worker in (self.workers[0], self.workers[2]):
            self.assertTrue(all(run[4] < drained_at for run in worker.runs))

    def test_repeated_refusals(self):
        """Guards against an earlier rejection, which a worker sends once more on a kept connection,
        that is taken for the rejection of a request that ran."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        for mode in ("refusal-again", "unnamed-refusal-again"):
            for worker in self.workers:
                worker.mode = mode
            for _ in range(30):
                for method, path in (("GET", "/read/1"), ("POST", "/book/1")):
                    attempt = self.attempt()
                    status, headers, text = caller.send(method, path, attempt)
                    runs = self.runs(attempt)
                    if status == 200:
                        self.check_response((status, headers, text), attempt)
                    if method == "POST":
                        self.assertLessEqual(len(runs), 1, f"{mode}: {attempt} ran twice")
                    if status in (429, 503):
                        self.assertEqual(runs, [], f"{mode}: {attempt} ran, but the response says that it did not")

    def test_endless_responses(self):
        """Guards against a gateway whose memory grows, or that stops serving, while a worker sends a
        head, a body or noise without end."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        for mode in standins.Worker.ENDLESS:
            self.workers[0].mode = self.workers[2].mode = mode
            for _ in range(15):
                for method, path in (("GET", "/read/"), ("POST", "/book/")):
                    attempt = self.attempt()
                    # A path of its own, since repeated requests that break connections are rejected.
                    status, headers, text = caller.send(method, path + attempt, attempt)
                    if status == 200:
                        self.check_response((status, headers, text), attempt)
                    if method == "GET":
                        self.assertEqual(status, 200, f"{mode}: expected a response of the healthy worker")
            for worker in self.workers:
                worker.mode = mode
            for method, path in (("GET", "/read/"), ("POST", "/book/")) * 3:
                attempt, sent_at = self.attempt(), time.monotonic()
                status, _, _ = caller.send(method, path + attempt, attempt)
                self.assertIn(status, (502, 503, 504), f"{mode}: no response was whole")
                self.assertLess(time.monotonic() - sent_at, 2, f"{mode}: answered after the deadline")
            for worker in self.workers:
                worker.mode = "healthy"
            time.sleep(4)
        with open(f"/proc/{gateway.process.pid}/status", encoding="utf-8") as file:
            peak, = (int(line.split()[1]) for line in file if line.startswith("VmHWM"))
        self.assertLess(peak, MEMORY_KIB_MAX)

    def test_odd_registrations(self):
        """Guards against a registration of another writer that ends the gateway, stops it from
        following the list of workers, or gets requests."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        # A new gateway delays its next watch (startupWatchHoldoff), so that changes take longer.
        time.sleep(STABLE_SECONDS)
        for number, registration in enumerate(standins.odd_registrations()):
            self.store.put(f"servers/odd-{number}", registration)
        self.workers.append(standins.Worker(self.store, "r-2", "reads"))
        time.sleep(DRAIN_SECONDS)
        dump = json.loads(gateway.get(gateway.operator_port, "/dump")[1])
        self.assertEqual({row["name"] for row in dump["workers"]},
                         {worker.name for worker in self.workers})
        for _ in range(20):
            self.check_response(caller.send("GET", "/read/1", self.attempt()), f"{self.attempts:016x}")

    def test_silent_store(self):
        """Guards against requests to a draining worker because the watch of the workers was lost
        while the store did not answer."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        # A new gateway delays its next watch (startupWatchHoldoff). After that, the watch that
        # follows this change is sent while the store is silent.
        time.sleep(3)
        self.workers.append(standins.Worker(self.store, "r-2", "reads"))
        time.sleep(0.3)
        self.store.is_silent = True
        time.sleep(2)
        self.store.is_silent = False
        time.sleep(STABLE_SECONDS)
        self.workers[0].register("draining")
        time.sleep(DRAIN_SECONDS)
        drained_at = time.monotonic()
        for _ in range(40):
            self.check_response(caller.send("GET", "/read/1", self.attempt()), f"{self.attempts:016x}")
        self.assertTrue(all(run[4] < drained_at for run in self.workers[0].runs))

    def version_in_force(self, caller, version):
        status, _, _ = caller.send("GET", f"/v{version}/x", self.attempt())
        return status == 200

    def route_for(self, version):
        route = dict(standins.configuration(1)["routes"]["r-read"], prefix=f"/v{version}/")
        return {f"r-{version}": route}

    def test_configuration(self):
        """Guards against missing a change while the store is down, after its history was
        compacted, or when a watch is interrupted."""
        gateway = self.start()
        caller = standins.Caller(gateway.entry_port)
        self.store.put("op/config", standins.configuration(2, **self.route_for(2)))
        standins.wait_for(lambda: self.version_in_force(caller, 2), CONFIG_APPLY_SECONDS)
        self.store.put("op/config", b"{ not a configuration")
        self.store.put("servers/forged", b"\xff\x00")
        time.sleep(0.3)
        self.assertTrue(self.version_in_force(caller, 2))
        self.store.is_down = True
        time.sleep(0.5)
        self.assertTrue(self.version_in_force(caller, 2))
        self.store.put("op/config", standins.configuration(4, **self.route_for(4)))
        self.store.compact()
        time.sleep(0.5)
        self.store.is_down = False
        standins.wait_for(lambda: self.version_in_force(caller, 4), CONFIG_APPLY_SECONDS)
        with self.store.changed:
            # The change and the compaction happen together, so that no watch reports the change.
            self.store.put("op/config", standins.configuration(5, **self.route_for(5)))
            self.store.compact()
        standins.wait_for(lambda: self.version_in_force(caller, 5), CONFIG_APPLY_SECONDS)
        # An older version that is published later must be ignored.
        self.store.put("op/config", standins.configuration(3, **self.route_for(3)))
        time.sleep(0.5)
        self.assertTrue(self.version_in_force(caller, 5))

    def reads_through_peers(self, gateway):
        """True if the gateway's last log record about the store says that it receives the changes
        from other gateways."""
        lines = [line for line in gateway.output().splitlines() if "[store]" in line]
        return bool(lines) and "relay the changes" in lines[-1]

    def test_readers(self):
        """Guards against missing a change when two gateways read the store for all others, and
        when both of them are killed at the time of a change."""
        self.start(9)
        standins.wait_for(lambda: sum(map(self.reads_through_peers, self.gateways)) >= 6, 15)
        callers = {gateway: standins.Caller(gateway.entry_port) for gateway in self.gateways}
        self.store.put("op/config", standins.configuration(2, **self.route_for(2)))
        standins.wait_for(lambda: all(self.version_in_force(caller, 2)
                                      for caller in callers.values()), CONFIG_APPLY_SECONDS)
        remaining = [gateway for gateway in self.gateways if self.reads_through_peers(gateway)]
        self.assertGreaterEqual(len(remaining), 6)
        for gateway in self.gateways:
            if gateway not in remaining:
                gateway.process.kill()
        self.store.put("op/config", standins.configuration(3, **self.route_for(3)))
        self.workers[0].register("draining")
        changed = time.monotonic()
        standins.wait_for(lambda: all(self.version_in_force(callers[gateway], 3)
                                      for gateway in remaining), CONFIG_APPLY_SECONDS)
        time.sleep(max(0.0, changed + DRAIN_SECONDS - time.monotonic()))
        drained_at = time.monotonic()
        for gateway in remaining:
            for _ in range(10):
                callers[gateway].send("GET", "/read/1", self.attempt())
        self.assertTrue(all(run[4] < drained_at for run in self.workers[0].runs))

    def test_no_store_at_start(self):
        """Guards against a process that reports itself ready before it has loaded any route."""
        self.store.is_down = True
        gateway = standins.Gateway(DAEMON, self.store, "vm-0")
        self.gateways.append(gateway)

        def reports_not_ready():
            try:
                return gateway.get(gateway.readiness_port, "/v1/readiness")[0] == 503
            except OSError:
                return False
        standins.wait_for(reports_not_ready)
        status, headers, _ = standins.Caller(gateway.entry_port).send("GET", "/read/1",
                                                                       self.attempt())
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.store.is_down = False
        standins.wait_for(gateway.is_ready)

    def test_shutdown(self):
        """Guards against requests that are aborted when a gateway shuts down gracefully."""
        first = self.start(2)
        standins.wait_for(lambda: all(len(g.addresses()) == 2 for g in self.gateways))
        for worker in self.workers:
            worker.service_time = 0.15
        stop, failures, served = threading.Event(), [], []

        def run_caller(number):
            caller = standins.Caller(first.entry_port)
            while not stop.is_set():
                attempt = f"{number}-{time.monotonic_ns():x}"
                opened = caller.connection is not None
                try:
                    status, _, body = caller.send("POST", "/book/1", attempt, b"b")
                    served.append(attempt)
                    if status == 200 and body.decode().split()[1] != attempt:
                        failures.append((attempt, "response to another request"))
                    if status not in (200, 503):
                        failures.append((attempt, status))
                except ConnectionRefusedError:
                    return
                except (OSError, http.client.HTTPException) as error:
                    if self.runs(attempt):
                        failures.append((attempt, repr(error), opened))
        threads = [threading.Thread(target=run_caller, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        first.terminate()
        standins.wait_for(lambda: not first.is_ready(), 1)
        other = self.gateways[1]
        standins.wait_for(lambda: other.addresses() == [f"127.0.0.1:{other.entry_port}"], 2)
        self.assertEqual(first.process.wait(5), 0)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])
        self.assertGreater(len(served), 20)

    def test_long_work_during_shutdown(self):
        """Guards against requests that arrive late in the drain, are passed on and are broken off at
        its end: the work takes a third of the grace period."""
        gateway = self.start()
        for worker in self.workers:
            worker.service_time = 1.0
        stop, statuses = threading.Event(), []

        def run_caller(number):
            caller = standins.Caller(gateway.entry_port)
            while not stop.is_set():
                attempt = f"{number}-{time.monotonic_ns():x}"
                try:
                    status, _, _ = caller.send("POST", "/book/1", attempt, b"b")
                    statuses.append(status)
                except ConnectionRefusedError:
                    return
                except (OSError, http.client.HTTPException) as error:
                    if self.runs(attempt):
                        statuses.append(repr(error))
                time.sleep(0.05)
        threads = [threading.Thread(target=run_caller, args=(i,)) for i in range(12)]
        for thread in threads:
            thread.start()
            time.sleep(0.08)
        gateway.terminate()
        self.assertEqual(gateway.process.wait(5), 0)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual([status for status in statuses if status not in (200, 503)], [])
        self.assertIn(200, statuses)

    def test_killed_gateway(self):
        """Guards against address lookups that return a gateway which was killed."""
        self.start(2)
        standins.wait_for(lambda: all(len(g.addresses()) == 2 for g in self.gateways))
        self.gateways[0].process.kill()
        remaining = self.gateways[1]
        standins.wait_for(lambda: remaining.addresses() == [f"127.0.0.1:{remaining.entry_port}"], 8)

    def test_slow_machines(self):
        """Guards against sending bookings to a slow VM while a worker on a normal VM is free. One of
        two workers reports that its VM runs seven times slower."""
        gateway = self.start()
        self.workers[2].slowdown = 700
        caller = standins.Caller(gateway.entry_port)
        for _ in range(20):
            attempt = self.attempt()
            self.check_response(caller.send("POST", "/book/1", attempt, b""), attempt)
            time.sleep(0.03)
        self.assertEqual(self.workers[2].runs, [])

    def test_store_requests(self):
        """Guards against watches that return at once and are repeated, since requests to the
        store are expensive."""
        self.start()
        time.sleep(0.5)
        before = self.store.request_count
        time.sleep(2)
        self.assertLessEqual(self.store.request_count - before, 1)


if __name__ == "__main__":
    unittest.main(verbosity=1)
