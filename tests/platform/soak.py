"""Randomized soak test with fault injection: real gateway processes, a fake store and fake workers.

Usage: soak.py PATH_OF_ALMONDNOTCHD [--seed N] [--seconds S] [--seeds COUNT] [--gateways N] [--troubles N]

With 8 gateways or more, two of them read the store for the others. All but two run on small machines.

Injected faults: gateways are killed, paused or shut down, and restarted; workers misbehave, drain,
disappear and are replaced; the store is down, loses requests, compacts its history or publishes
another configuration; a malformed registration is written to the store. Callers reuse their connections.
After them come the troubles of soak_troubles.py, each as often as --troubles says, in random order.
The test checks, from the records of callers and workers:
  - A booking runs at most once, and does not run if the response says that it did not.
  - A response is the one that a worker sent for this attempt.
  - After the last fault, requests are served again, and the newest configuration is in force in
    every gateway.
  - After that, a worker that drains gets no more requests.
  - A worker that said in a response that it leaves gets no later requests from that gateway.
  - A worker that asked a gateway for a pause gets no more than two requests from it meanwhile.
  - No invariant of a gateway has failed.
"""
import argparse
import http.client
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak_troubles  # noqa: E402
import standins  # noqa: E402
from soak_troubles import DRAIN_SECONDS, STABLE_SECONDS  # noqa: E402

MODES = ("healthy", "healthy", "extra", "extra-late", "unframed", "unframed-reset", "unsealed",
         "reset", "shed", "pausing", "early", "failing", "silent", "refusal-again", "unnamed-refusal-again",
         "endless-head", "endless-body", "endless-noise")
CALLERS = 8
# The other gateways run on small machines.
LARGE_MACHINES = 2
RECOVERY_SECONDS = 15
CONFIG_SECONDS = 5
SERVED_SHARE_MIN = 0.9
# Time after a request for a pause from which it is checked, and how many requests may still come.
PAUSE_NOTICE_SECONDS = 0.5
PAUSE_REQUESTS_MAX = 2


class Soak:
    def __init__(self, daemon, seed, seconds, gateways, troubles):
        self.random = random.Random(seed)
        self.daemon, self.seconds, self.troubles = daemon, seconds, troubles
        self.store = standins.Store()
        self.version = 1
        self.store.put("op/config", standins.configuration(self.version))
        self.workers, self.retired, self.created = [], [], 0
        for service in ("reads", "books") * 3:
            self.add_worker(service)
        self.gateways = []
        for i in range(gateways):
            self.gateways.append(self.new_gateway(i))
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.answers, self.faults = {}, []
        # Entry port of the gateway and time of each request, and the time at which a caller learned
        # that a worker leaves, by entry port and worker.
        self.sent, self.leaves = {}, {}

    def add_worker(self, service):
        self.created += 1
        worker = standins.Worker(self.store, f"{service[0]}-{self.created}", service)
        self.workers.append(worker)
        return worker

    def new_gateway(self, number):
        seeds = ",".join(f"127.0.0.1:{one.peer_port}" for one in self.gateways[:2]) \
            if self.gateways else None
        return standins.Gateway([self.daemon], self.store, f"vm-{number}", seeds,
                                is_small=number >= LARGE_MACHINES)

    def run_caller(self, number):
        """Runs one caller, which reuses its connection, never retries and records responses."""
        rng = random.Random(number)
        caller, count = None, 0
        while not self.stop.is_set():
            if caller is None or rng.random() < 0.02:
                if caller is not None:
                    caller.close()
                caller = standins.Caller(rng.choice(self.gateways).entry_port)
            count += 1
            attempt = f"{number:x}-{count:x}"
            booking = rng.random() < 0.5
            self.sent[attempt] = (caller.port, time.monotonic())
            try:
                if booking:
                    answer = caller.send("POST", "/book/1", attempt, b"x" * rng.randrange(20000))
                else:
                    answer = caller.send("GET", f"/read/{count}", attempt)
                outcome = (answer[0], answer[1].get("X-Almondnotch-Server-Seal"), answer[2])
                if "Server-Leaving" in answer[1] and answer[0] == 200:
                    self.leaves.setdefault((caller.port, answer[2].split()[0].decode()),
                                           time.monotonic())
            except (OSError, http.client.HTTPException) as error:
                outcome = (0, None, repr(error).encode())
                time.sleep(0.02)
            with self.lock:
                self.answers[attempt] = (booking, outcome, time.monotonic())
            time.sleep(rng.random() * 0.01)

    def inject_fault(self):
        kind = self.random.choice(("kill", "pause", "leave", "mode", "mode", "mode", "drain",
                                   "announce", "remove", "replace", "down", "silence", "compact", "config",
                                   "forge"))
        number = self.random.randrange(len(self.gateways))
        gateway, worker = self.gateways[number], self.random.choice(self.workers)
        self.faults.append((kind, number, worker.name))
        if kind in ("kill", "leave"):
            gateway.process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            self.restart_gateway(number)
        elif kind == "pause":
            gateway.process.send_signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.2, 2))
            gateway.process.send_signal(signal.SIGCONT)
        elif kind == "mode":
            worker.mode = self.random.choice(MODES)
            worker.slowdown = self.random.choice((100, 100, 300, 700))
        elif kind in ("drain", "announce", "remove", "replace"):
            self.retire(worker, kind)
        elif kind == "down":
            self.store.is_down = True
            time.sleep(self.random.uniform(0.2, 2))
            self.store.is_down = False
        elif kind == "silence":
            self.store.is_silent = True
            time.sleep(self.random.uniform(0.2, 2))
            self.store.is_silent = False
        elif kind == "compact":
            self.store.compact()
        elif kind == "config":
            self.publish_configuration()
        else:
            self.store.put("servers/forged", self.random.choice(
                standins.odd_registrations() + [self.random.randbytes(40)]))

    def publish_configuration(self, services=(), **extra_routes):
        """Publishes the next version, with further services and routes."""
        self.version += self.random.randrange(1, 5)
        configuration = standins.configuration(self.version, **extra_routes)
        for service in services:
            configuration["services"][service] = configuration["services"]["reads"]
        self.store.put("op/config", configuration)

    def restart_gateway(self, number):
        ended = self.gateways[number]

        def restart():
            ended.process.wait()
            ended.kill_and_clean_up()
            self.gateways[number] = self.new_gateway(number)
        thread = threading.Thread(target=restart)
        thread.start()
        thread.join(self.random.uniform(0, 4))

    def retire(self, worker, kind):
        self.workers.remove(worker)
        self.retired.append(worker)
        if kind == "drain":
            worker.register("draining")
        elif kind == "announce":
            # The store still says that the worker is ready.
            worker.is_leaving = True
        self.add_worker(worker.service)
        if kind == "replace":
            # Simulates another worker that takes over the address immediately. The registration of
            # the old name stays in the store.
            worker.name = "another"
        if kind in ("remove", "replace"):
            self.store.remove(f"servers/{worker.name}")

    def retire_without_notice(self, worker):
        """Removes the entry of a worker, which goes on serving."""
        self.workers.remove(worker)
        self.retired.append(worker)
        self.store.remove(f"servers/{worker.name}")

    def play_troubles(self):
        """Returns the error texts of the troubles."""
        drawn = soak_troubles.troubles_for(len(self.gateways)) * self.troubles
        self.random.shuffle(drawn)
        failures = []
        for trouble in drawn:
            self.faults.append((trouble.__name__,))
            failures += trouble(self)
        return failures

    def check(self):
        runs = {}
        for worker in self.workers + self.retired:
            for run in worker.runs:
                runs.setdefault(run[0], []).append(run)
        failures = []
        for attempt, (booking, (status, seal, body), _) in self.answers.items():
            count = len(runs.get(attempt, []))
            if booking and count > 1:
                failures.append(f"{attempt} ran {count} times")
            if booking and count and status in (408, 421, 429, 503) and seal is None:
                failures.append(f"{attempt} ran, but status {status} says that it did not")
            if status == 200 and (seal is None or body.decode().split()[1] != attempt):
                failures.append(f"{attempt}: expected a sealed response to this attempt, "
                                f"found body {body!r} and seal {seal}")
        for worker in self.workers + self.retired:
            failures += self.requests_after_leave(worker) + self.requests_in_pauses(worker)
        return failures

    def requests_after_leave(self, worker):
        """Returns an error text for each request that the worker got from a gateway although a
        caller had sent it more than DRAIN_SECONDS after that gateway had passed on its leave."""
        failures = []
        for attempt, _ in worker.arrivals:
            port, sent_at = self.sent[attempt]
            told_at = self.leaves.get((port, worker.name))
            if told_at is not None and sent_at > told_at + DRAIN_SECONDS:
                failures.append(f"{worker.name} got {attempt} {sent_at - told_at:.1f} s after its leave")
        return failures

    def requests_in_pauses(self, worker):
        """Returns an error text for each pause in which a gateway sent the worker too much."""
        failures = []
        arrivals = [(self.sent[attempt][0], at) for attempt, at in worker.arrivals]
        for attempt, asked_at in worker.pauses:
            port = self.sent[attempt][0]
            count = sum(asked_at + PAUSE_NOTICE_SECONDS < at < asked_at + worker.PAUSE_SECONDS
                        for other, at in arrivals if other == port)
            if count > PAUSE_REQUESTS_MAX:
                failures.append(f"{worker.name} got {count} requests in the pause it asked for with "
                                f"{attempt}")
        return failures

    def run(self):
        for gateway in self.gateways:
            standins.wait_for(gateway.is_ready)
        callers = [threading.Thread(target=self.run_caller, args=(i + 1,)) for i in range(CALLERS)]
        for thread in callers:
            thread.start()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            time.sleep(self.random.expovariate(2))
            self.inject_fault()
        for worker in self.workers:
            worker.mode, worker.slowdown = "healthy", 100
        recovered = self.wait_for_recovery()
        outdated = self.outdated_gateways()
        outdated += self.requests_to_draining_worker()
        outdated += self.play_troubles()
        outdated += self.failed_invariants()
        self.stop.set()
        for thread in callers:
            thread.join()
        failures = self.check()
        if not recovered:
            failures.append(f"no second of the {RECOVERY_SECONDS} s after the last fault had "
                            f"20 requests and a served share of {SERVED_SHARE_MIN:.0%}")
        failures += outdated
        self.close(failures)
        return failures

    def outdated_gateways(self):
        """Returns an error text for each gateway in which the newest configuration is not in force
        within CONFIG_SECONDS."""
        end = time.monotonic() + CONFIG_SECONDS
        while True:
            versions = list(map(self.version_of, self.gateways))
            wrong = [f"vm-{number} has configuration {version} instead of {self.version}"
                     for number, version in enumerate(versions) if version != self.version]
            if not wrong or time.monotonic() > end:
                return wrong
            time.sleep(0.2)

    def failed_invariants(self):
        """Returns an error text for each invariant that has failed in a gateway that runs."""
        return [f"vm-{number}: invariant {name} failed: {row}"
                for number, gateway in enumerate(self.gateways)
                for name, row in soak_troubles.dump_of(gateway)["invariants"].items() if row["failures"]]

    def requests_to_draining_worker(self):
        """Drains a worker. Returns an error text if it gets requests after DRAIN_SECONDS."""
        time.sleep(STABLE_SECONDS)
        worker = self.random.choice(self.workers)
        worker.register("draining")
        time.sleep(DRAIN_SECONDS)
        drained_at = time.monotonic()
        time.sleep(1)
        late = sum(run[4] > drained_at for run in worker.runs)
        return [f"{worker.name} got {late} requests after its drain"] if late else []

    @staticmethod
    def version_of(gateway):
        try:
            return soak_troubles.dump_of(gateway)["config_version"]
        except (OSError, http.client.HTTPException) as error:
            return repr(error)

    def wait_for_recovery(self):
        end = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < end:
            time.sleep(1)
            since = time.monotonic() - 1
            with self.lock:
                recent = [outcome[0] for _, outcome, at in self.answers.values() if at > since]
            served = sum(status == 200 for status in recent)
            if len(recent) >= 20 and served >= SERVED_SHARE_MIN * len(recent):
                return True
        return False

    def close(self, failures):
        for gateway in self.gateways:
            gateway.kill_and_clean_up()
            if failures:
                print(gateway.output()[-4000:])
        for worker in self.workers + self.retired:
            worker.server.stop_serving()
        self.store.server.stop_serving()
        self.store.small_server.stop_serving()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--troubles", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(options.daemon, seed, options.seconds, options.gateways, options.troubles)
        failures = soak.run()
        served = sum(outcome[0] == 200 for _, outcome, _ in soak.answers.values())
        print(f"seed {seed}: {len(soak.answers)} requests, {served} served, "
              f"{len(soak.faults)} faults, {len(failures)} failures", flush=True)
        for failure in failures[:10]:
            print("  " + failure)
        if failures:
            print(f"  faults: {soak.faults}")
            failed += 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
