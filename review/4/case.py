"""One worker of each of four services leaves: its entry is removed, and it serves on for 10 s.

Without the trouble, no worker leaves."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness  # noqa: E402
import standins  # noqa: E402

SERVICES = ("catalogue", "orders", "payments", "proofs")
SERVES_ON = 10.0


def configuration():
    config = standins.configuration(1)
    service = config["services"]["reads"]
    config["services"] = {name: service for name in SERVICES}
    config["routes"] = {f"r-{name}": {
        "host": standins.HOST, "prefix": f"/{name}/", "kind": "unsafe", "timeout": "800ms",
        "targetLatency": "300ms", "priority": 1, "service": name, "maxAttempts": 2}
        for name in SERVICES}
    return config


def call(record, gateway, service, first, stop):
    number = first
    while not stop.is_set():
        number += 1
        attempt = f"{number:016x}"
        record.write(f"request {attempt} for {service} sent")
        status, _, body = harness.send(gateway, "POST", f"/{service}/{number}", attempt, b"order",
                                       800)
        worker = body.split()[0].decode() if status == 200 else "none"
        record.write(f"request {attempt} for {service}: {status}, run by {worker}")
        time.sleep(0.03)


def case(record):
    store = standins.Store()
    store.put("op/config", configuration())
    workers = [standins.Worker(store, f"{service}-{number}", service, zone="gp-a")
               for service in SERVICES for number in range(2)]
    for worker in workers:
        worker.service_time = 0.02
    gateway = harness.Gateway(record, store.server.address, "front-0")
    gateway.start()
    if not gateway.wait_until_ready():
        return harness.COULD_NOT_RUN
    stop = threading.Event()
    callers = [threading.Thread(target=call, args=(record, gateway, service, index << 32, stop))
               for index, service in enumerate(SERVICES)]
    for caller in callers:
        caller.start()
    time.sleep(harness.STABLE_WINDOW + 1)

    leaving = workers[::2] if harness.TROUBLE else []
    acked = {}
    for worker in leaving:
        store.remove(f"servers/{worker.name}")
        acked[worker.name] = time.monotonic()
        record.say(f"{worker.name} is gone: acked by the store")
    time.sleep(SERVES_ON)
    stop.set()
    for caller in callers:
        caller.join()
    harness.record_runs(record, workers)
    late = [(when - acked[worker.name], worker.name, attempt) for worker in leaving
            for attempt, when in worker.arrivals if when > acked[worker.name] + harness.DRAIN]
    for age, name, attempt in sorted(late):
        record.write(f"DRAIN: request {attempt} reached {name} {age:.3f} s after the ack")
    runs = sum(len(worker.runs) for worker in workers)
    record.say(f"{runs} requests were run; {len(late)} reached a worker more than "
               f"{harness.DRAIN} s after the ack that it is gone, the last one "
               f"{max(late)[0] if late else 0:.2f} s after it")
    return harness.BROKEN if late else harness.HELD


harness.run(FOLDER, case)
