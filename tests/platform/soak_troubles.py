"""Troubles that a soak plays as a whole, one after the other, because each is a sequence in time: what
a process believes to know is checked at the moment from which it has to be true. The store, the
gateways and the workers are those of the soak; lengths and distances are drawn by its random source."""
import json
import signal
import time

import standins

# From so many gateways in a failure domain on, two of them read the store for the others.
READERS_GATEWAYS_MIN = 8
# Time without any trouble from which a machine is in touch, so that time limits hold for it.
STABLE_SECONDS = 3
# Time limits from the acknowledgement of the store, for a configuration and for a worker's removal.
CONFIG_SECONDS = 2
DRAIN_SECONDS = 2


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


def troubles_for(gateway_count):
    """The troubles that fit this number of gateways."""
    return [silent_moment] + ([frozen_reader] if gateway_count >= READERS_GATEWAYS_MIN else [])
