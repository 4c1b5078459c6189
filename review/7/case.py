"""The store is silent for a moment while configurations come in quick succession. A configuration that
follows must be in force in time."""
import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib-2"))

import deployment  # noqa: E402
import standins  # noqa: E402
from traffic import Traffic  # noqa: E402

GATEWAYS = 3
ROUNDS = 4
# config_storm (site file): for_s = 4.0, gap_s = 0.33.
STORM_CHANGES, GAP_SECONDS = 12, 0.33
# platform_down, silent (site file: for_s = 4.5).
SILENT_SECONDS = 0.5
STABLE_WINDOW_SECONDS, CONFIG_APPLY_SECONDS = 3.0, 2.0
SERVICES = ["reads", "books"]


def configuration(version):
    """Each version moves the route to the other service."""
    document = deployment.configuration(version)
    document["routes"]["r-read"]["service"] = SERVICES[version % 2]
    return document


def play(record):
    store = standins.Store()
    version = 1
    store.put("op/config", configuration(version))
    workers = [standins.Worker(store, f"{service}{index}", service, zone="gp-a")
               for service in SERVICES for index in range(3)]
    gateways = []
    for index in range(GATEWAYS):
        seeds = [gateway.peer_address for gateway in gateways]
        gateways.append(deployment.Gateway(store, f"front-gp-a-{index + 1}", seeds))
    for gateway in gateways:
        standins.wait_for(gateway.is_ready)
    time.sleep(4)
    traffic = Traffic(record, [gateway.entry_port for gateway in gateways], "GET", "/read/x")
    traffic.start("read", 12, 0.1)
    # When each version was acknowledged, and when the last silence ended.
    acks, calm_from = [(record.now(), version)], 0.0
    # Spans in which all machines are in touch, with the version that has to be in force.
    bound = []
    for index in range(ROUNDS):
        for change in range(STORM_CHANGES):
            version += 1
            store.put("op/config", configuration(version))
            acks.append((record.now(), version))
            record.add(f"store    version {version} is acknowledged, the route goes to "
                       f"{SERVICES[version % 2]}")
            if change == STORM_CHANGES - 1 and deployment.HAS_TROUBLE:
                # The watches that wait are still answered; those that are sent next are lost.
                store.is_silent = True
                record.say("the store falls silent")
                time.sleep(SILENT_SECONDS)
                store.is_silent = False
                calm_from = record.now() + STABLE_WINDOW_SECONDS
                record.say("the store answers again")
            time.sleep(GAP_SECONDS)
        # The last version of the storm moves the route and stays.
        version += 1
        store.put("op/config", configuration(version))
        acks.append((record.now(), version))
        record.add(f"store    version {version} is acknowledged, the route goes to "
                   f"{SERVICES[version % 2]}")
        begin = max(calm_from, record.now() + CONFIG_APPLY_SECONDS)
        time.sleep(8)
        bound.append((begin, record.now(), version))
    traffic.stop()

    service_of = {attempt: worker.service for worker in workers for attempt, *_ in worker.runs}
    answers = traffic.ended()
    stale = []
    for begin, end, wanted in bound:
        late = [answer for answer in answers if begin < answer.sent_at < end
                and service_of.get(answer.attempt, SERVICES[wanted % 2]) != SERVICES[wanted % 2]]
        record.say(f"version {wanted}, from {begin:.3f} s: {len(late)} requests run by the old service")
        stale += late
    served = sum(answer.status == 200 for answer in answers)
    record.say(f"{len(answers)} requests, {served} served, {len(stale)} run by a service from which "
               f"the route was moved more than {CONFIG_APPLY_SECONDS} s before")
    return not stale


deployment.main(CASE, play)
