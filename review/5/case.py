"""A worker leaves at the moment at which a gateway is restarted as planned. The stale reads that the
store allows are answered by two replicas, of which one is 3 s behind.

Without the trouble, no replica is behind; the worker leaves and the gateway is restarted all the same."""
import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness  # noqa: E402
import standins  # noqa: E402

PAGE = 50  # Items in one answer of the store, as in the site files; the pages allow about 500.
BEHIND_S = 3.0 if harness.TROUBLE else 0.0
SERVES_ON = 14.0


class ReplicatedStore(standins.Store):
    """A store whose stale reads (`serializable`) go to two replicas in turn by page: the first page of
    a list to one that is up to date, further pages to one that may be behind. All other reads are
    answered with the current state."""

    def __init__(self):
        self.states = []
        super().__init__()

    def _change(self, key, value):
        super()._change(key, value)
        with self.changed:
            self.states.append((time.monotonic(), dict(self.items), self.revision))

    def _state(self, query):
        if "serializable" not in query or "after" not in query:
            return self.items, self.revision
        known = [state for state in self.states if state[0] <= time.monotonic() - BEHIND_S]
        return known[-1][1:]

    def _list(self, handler, query):
        with self.changed:
            items, revision = self._state(query)
            keys = sorted(key for key in items if key.startswith(query["prefix"])
                          and key > query.get("after", ""))
            body = {"items": [items[key] for key in keys[:PAGE]], "hasMore": len(keys) > PAGE,
                    "currentRev": revision}
        handler.reply(200, body=json.dumps(body).encode())


def call(record, gateway, first, stop):
    number = first
    while not stop.is_set():
        number += 1
        attempt = f"{number:016x}"
        status, _, body = harness.send(gateway, "POST", f"/book/{number}", attempt, b"order", 800)
        worker = body.split()[0].decode() if status == 200 else "none"
        record.write(f"request {attempt} to {gateway.name}: {status}, run by {worker}")
        time.sleep(0.03)


def case(record):
    store = ReplicatedStore()
    store.put("op/config", standins.configuration(1))
    for number in range(PAGE):
        standins.Worker(store, f"a-{number:02}", "reads", zone="gp-a")
    bookers = [standins.Worker(store, f"b-{number}", "books", zone="gp-a") for number in range(4)]
    gateways = [harness.Gateway(record, store.server.address, "front-0")]
    gateways.append(harness.Gateway(record, store.server.address, "front-1",
                                    [gateways[0].peer_address]))
    gateways[0].seeds = [gateways[1].peer_address]
    for gateway in gateways:
        gateway.start()
    if not all(gateway.wait_until_ready() for gateway in gateways):
        return harness.COULD_NOT_RUN
    stop = threading.Event()
    callers = [threading.Thread(target=call, args=(record, gateway, index << 32, stop))
               for index, gateway in enumerate(gateways)]
    for caller in callers:
        caller.start()
    time.sleep(harness.STABLE_WINDOW + BEHIND_S + 1)

    restarted, leaving = gateways[1], bookers[0]
    restarted.signal(signal.SIGTERM)
    restarted.process.wait(timeout=harness.GRACE)
    store.remove(f"servers/{leaving.name}")
    acked = time.monotonic()
    record.say(f"{leaving.name} is gone: acked by the store")
    time.sleep(0.5)
    restarted.start()
    in_touch = time.monotonic() + harness.STABLE_WINDOW
    time.sleep(SERVES_ON)
    stop.set()
    for caller in callers:
        caller.join()
    harness.record_runs(record, bookers)
    # Only requests that a gateway in touch has sent count.
    bound = max(acked + harness.DRAIN, in_touch)
    late = [(when - acked, attempt) for attempt, when in leaving.arrivals if when > bound]
    for age, attempt in late:
        record.write(f"DRAIN: request {attempt} reached {leaving.name} {age:.3f} s after the ack")
    record.say(f"{len(late)} requests reached {leaving.name} more than {bound - acked:.1f} s after "
               f"the ack, the last one {max(late)[0] if late else 0:.2f} s after it")
    return harness.BROKEN if late else harness.HELD


harness.run(FOLDER, case)
