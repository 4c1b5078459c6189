"""Troubles that a soak plays as a whole, one after the other, because each is a sequence in time: what
a process believes to know is checked at the moment from which it has to be true. The store, the
gateways and the workers are those of the soak; lengths and distances are drawn by its random source."""
import http.client
import json
import signal
import threading
import time

import standins

# From so many gateways in a failure domain on, two of them read the store for the others.
READERS_GATEWAYS_MIN = 8
# Time without any trouble from which a machine is in touch, so that time limits hold for it.
STABLE_SECONDS = 3
# Time limits from the acknowledgement of the store, for a configuration and for a worker's removal.
CONFIG_SECONDS = 2
DRAIN_SECONDS = 2
# Rate of the store's answers over the link of a small machine, in bytes a second.
SLOW_LINK_RATE = 1_250_000
# Number of workers that a quarantined request may still reach.
FATAL_RETRIES_MAX = 3


def sleep_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


def dump_of(gateway):
    """Returns the state dump of a gateway. Raises OSError or HTTPException if it does not answer."""
    return json.loads(gateway.get(gateway.operator_port, "/dump")[1])


def settle(soak):
    """Waits until all machines are in touch."""
    for gateway in soak.gateways:
        standins.wait_for(gateway.is_ready)
    time.sleep(STABLE_SECONDS)


def silent_moment(soak):
    """The store falls silent for a moment while configurations come in quick succession. The last one
    has to be in force in each gateway in time."""
    settle(soak)
    rng = soak.random
    for _ in range(rng.randrange(2, 8)):
        soak.publish_configuration()
        time.sleep(rng.uniform(0.1, 0.5))
    # The watches that wait are answered; those that are sent next may be lost.
    soak.publish_configuration()
    time.sleep(rng.uniform(0, 0.01))
    soak.store.is_silent = True
    time.sleep(rng.uniform(0.2, 0.8))
    soak.store.is_silent = False
    silent_until = time.monotonic()
    time.sleep(rng.uniform(0, 0.5))
    soak.publish_configuration()
    sleep_until(max(time.monotonic() + CONFIG_SECONDS, silent_until + STABLE_SECONDS))
    versions = [dump_of(gateway)["config_version"] for gateway in soak.gateways]
    return [f"vm-{number} has configuration {version} instead of {soak.version} after a silent moment"
            for number, version in enumerate(versions) if version != soak.version]


def frozen_reader(soak):
    """A reader freezes while workers join and leave. A worker whose entry was removed meanwhile gets no
    requests from the other gateways, though it goes on serving."""
    settle(soak)
    rng = soak.random
    readers = [gateway for gateway in soak.gateways if dump_of(gateway)["readers"]["is_reader"]]
    if not readers:
        return ["expected a gateway that reads the store for the others, found none"]
    frozen = rng.choice(readers)
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        wakes_at = time.monotonic() + rng.uniform(2.5, 5)
        time.sleep(rng.uniform(0, 1))
        leaving = soak.add_worker(rng.choice(("reads", "books")))
        joins = sorted(wakes_at - rng.uniform(0.3, 1) for _ in range(rng.randrange(1, 4)))
        for at in joins:
            sleep_until(at)
            soak.add_worker(leaving.service)
        sleep_until(wakes_at - rng.uniform(0, 0.3))
        soak.retire_without_notice(leaving)
        removed_at = time.monotonic()
        sleep_until(wakes_at)
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    time.sleep(DRAIN_SECONDS + 2)
    sent = [soak.sent[run[0]] for run in leaving.runs]
    late = sum(at > removed_at + DRAIN_SECONDS for port, at in sent if port != frozen.entry_port)
    if not sent:
        return [f"{leaving.name} got no requests before its removal, which shows nothing"]
    return [f"{leaving.name} got {late} requests later than {DRAIN_SECONDS} s after its removal, from "
            "gateways that were not frozen"] if late else []


def quick_changes(soak):
    """A configuration that is too large to be relayed changes twice in quick succession. Large machines
    read it before the small ones, whose links are slow. The last version has to be in force in each
    gateway in time."""
    settle(soak)
    rng = soak.random
    route = standins.configuration(1)["routes"]["r-read"]
    routes = {f"r-{number}": {**route, "prefix": f"/further-{number}/"}
              for number in range(rng.randrange(600, 1000))}
    failures = []
    soak.store.small_rate = SLOW_LINK_RATE
    for _ in range(3):
        soak.publish_configuration(**routes)
        time.sleep(rng.uniform(0.1, 0.4))
        soak.publish_configuration(**routes)
        time.sleep(CONFIG_SECONDS + 0.5)
        versions = [dump_of(gateway)["config_version"] for gateway in soak.gateways]
        failures += [f"vm-{number} has configuration {version} instead of {soak.version} after quick "
                     "changes" for number, version in enumerate(versions) if version != soak.version]
    soak.store.small_rate = None
    soak.publish_configuration()
    return failures


def fatal_request(soak):
    """A request crashes workers and is refused from then on. Workers crash for other reasons, the
    gateways are started again in turn, and the request comes again: only a few workers may be reached
    by it."""
    settle(soak)
    route = {**standins.configuration(1)["routes"]["r-read"], "prefix": "/fragile/", "service": "fragile"}
    soak.publish_configuration(services=("fragile",), **{"r-fragile": route})
    workers = [standins.Worker(soak.store, f"f-{soak.created}-{number}", "fragile") for number in range(8)]
    fatal_path = f"/fragile/fatal-{soak.created}"
    for worker in workers:
        worker.crashing_path = fatal_path
    time.sleep(STABLE_SECONDS)

    def fatal_runs():
        return sum(run[2] == fatal_path for worker in workers for run in worker.runs)

    # Its caller asks at one gateway after the other, until it is refused.
    for attempt in range(4):
        send_reads([soak.gateways[attempt % 2]], [fatal_path])
        time.sleep(0.3)
    start_again(workers)
    crashed = fatal_runs()
    for number in range(soak.random.randrange(5, 9)):
        crash_ordinarily(soak, workers, number)
    for number in range(len(soak.gateways)):
        soak.gateways[number].terminate()
        soak.gateways[number].process.wait()
        soak.gateways[number].kill_and_clean_up()
        soak.gateways[number] = soak.new_gateway(number)
        standins.wait_for(soak.gateways[number].is_ready)
    time.sleep(STABLE_SECONDS + 1)
    runs_before = fatal_runs()
    for _ in range(2):
        send_reads(soak.gateways, [fatal_path] * len(soak.gateways))
        time.sleep(0.3)
    late = fatal_runs() - runs_before
    soak.publish_configuration()
    for worker in workers:
        soak.store.remove(f"servers/{worker.name}")
        worker.crash()
    if crashed < 2:
        return [f"the fatal request crashed {crashed} workers, which shows nothing"]
    return [f"the fatal request reached {late} workers after its quarantine"] \
        if late > FATAL_RETRIES_MAX else []


def crash_ordinarily(soak, workers, number):
    """Two workers crash while they are at work, each of their requests with a path of its own."""
    for worker in workers:
        worker.service_time = 0.4
    paths = [f"/fragile/{number}-{i}" for i in range(4 * len(workers))]
    sender = threading.Thread(target=send_reads, args=(soak.gateways, paths))
    sender.start()
    time.sleep(0.3)
    for worker in soak.random.sample(workers, 2):
        worker.crash()
    sender.join()
    start_again(workers)
    for worker in workers:
        worker.service_time = 0
    time.sleep(0.5)


def send_reads(gateways, paths):
    """Sends a read of each path at the same time, to the gateways in turn."""
    def send(number, path):
        caller = standins.Caller(gateways[number % len(gateways)].entry_port)
        try:
            caller.send("GET", path, f"f{time.monotonic_ns():x}")
        except (OSError, http.client.HTTPException):
            pass
        finally:
            caller.close()
    threads = [threading.Thread(target=send, args=row) for row in enumerate(paths)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def start_again(workers):
    """Starts the workers that have crashed, once the gateways have noticed."""
    time.sleep(1)
    for worker in workers:
        if not worker.is_up:
            worker.start()
    time.sleep(0.5)


def troubles_for(gateway_count):
    """The troubles that fit this number of gateways."""
    return [silent_moment] + ([frozen_reader, quick_changes] if gateway_count >= READERS_GATEWAYS_MIN
                              else [fatal_request])
