"""A gateway that reads the store for its zone freezes and wakes again. The removal of a worker that it
does not know must reach the other gateways."""
import os
import signal
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib-2"))

import deployment  # noqa: E402
import standins  # noqa: E402
from traffic import Traffic  # noqa: E402

# From eight gateways in a zone on, two of them read the store for all.
GATEWAYS = 10
WORK_SECONDS = 0.11
# Length of the freeze (`fleetbench kinds`: for_s: how long (5)).
FREEZE_SECONDS = 5.0
# Seconds after the start of the freeze: a worker is added, two more are added, and the first leaves.
JOINS_AT, CHANGES_AT, LEAVES_AT = 1.0, [4.3, 4.6], 4.8
# How long the worker goes on serving after its removal (site file: scale_in, how = "stay",
# for_s = 15.0).
STAYS_SECONDS = 10.0


class OrderWorker(standins.Worker):
    """Runs requests until it exits. After that its connections are closed."""

    def __init__(self, record, store, name):
        self.record, self.has_exited, self.open = record, False, set()
        super().__init__(store, name, "books", zone="gp-a")
        self.service_time = WORK_SECONDS

    def answer(self, handler):
        self.open.add(handler.connection)
        if self.has_exited:
            handler.reset()
            return
        super().answer(handler)

    def _run(self, handler, body):
        attempt = handler.headers["X-Almondnotch-Attempt-Id"]
        self.record.add(f"worker   {self.name} begins {attempt}")
        super()._run(handler, body)
        self.record.add(f"worker   {self.name} ends {attempt}"
                        + (" after its exit" if self.has_exited else ""))

    def exit(self):
        self.has_exited = True
        self.server.stop_serving()
        for connection in list(self.open):
            try:
                connection.shutdown(2)
            except OSError:
                pass


def play(record):
    store = standins.Store()
    store.put("op/config", deployment.configuration(1))
    workers = [OrderWorker(record, store, f"w{index}") for index in range(4)]
    gateways = []
    for index in range(GATEWAYS):
        seeds = [gateway.peer_address for gateway in gateways[:3]]
        gateways.append(deployment.Gateway(store, f"front-gp-a-{index + 1}", seeds))
    for gateway in gateways:
        standins.wait_for(gateway.is_ready)
    time.sleep(6)
    readers = [gateway for gateway in gateways if gateway.dump()["readers"]["is_reader"]]
    if len(readers) != 2:
        raise RuntimeError(f"expected two readers, found {len(readers)}")
    frozen = readers[0]
    others = [gateway for gateway in gateways if gateway is not frozen]
    record.say(f"the readers are {', '.join(gateway.name for gateway in readers)}")
    traffic = Traffic(record, [gateway.entry_port for gateway in others], "POST", "/book/x",
                      body=b"order")
    traffic.start("book", 18, 0.25)
    time.sleep(2)

    start = time.monotonic()
    if deployment.HAS_TROUBLE:
        frozen.signal(signal.SIGSTOP)
        record.say(f"{frozen.name} freezes")
    time.sleep(JOINS_AT)
    leaving = OrderWorker(record, store, "leaving")
    record.say(f"worker leaving is added at revision {store.revision}")
    for index, at in enumerate(CHANGES_AT):
        time.sleep(start + at - time.monotonic())
        OrderWorker(record, store, f"new{index}")
        record.say(f"worker new{index} is added at revision {store.revision}; worker leaving has run "
                   f"{len(leaving.runs)} requests")
    time.sleep(start + LEAVES_AT - time.monotonic())
    store.remove("servers/leaving")
    removed_at = record.now()
    record.say(f"the store has removed the entry of worker leaving at revision {store.revision}")
    time.sleep(max(0.0, start + FREEZE_SECONDS - time.monotonic()))
    if deployment.HAS_TROUBLE:
        frozen.signal(signal.SIGCONT)
        record.say(f"{frozen.name} wakes")
    time.sleep(STAYS_SECONDS)
    leaving.exit()
    exited_at = record.now()
    record.say("worker leaving exits")
    time.sleep(2)
    for gateway in others:
        rows = [row for row in gateway.dump()["workers"] if row["name"] == "leaving"]
        record.add(f"{gateway.name} knows of worker leaving: {rows}")
    traffic.stop()

    answers = {answer.attempt: answer for answer in traffic.ended()}
    late = [attempt for attempt, *_ in leaving.runs
            if answers[attempt].sent_at > removed_at + deployment.DRAIN_SECONDS]
    lost = [answer for answer in answers.values() if answer.status not in (200, 503)]
    served = sum(answer.status == 200 for answer in answers.values())
    record.say(f"{len(answers)} requests, {served} answered 200, {len(leaving.runs)} run by the worker "
               f"that left at {removed_at:.3f} s")
    record.say(f"DRAIN: it ran {len(late)} requests that callers sent later than "
               f"{deployment.DRAIN_SECONDS} s after that")
    record.say(f"{len(lost)} orders ended without an answer of a worker, "
               f"{sum(answer.ended_at >= exited_at for answer in lost)} of them after its exit")
    if len(leaving.runs) == 0 or served < 0.8 * len(answers):
        raise RuntimeError("too few requests were served")
    return not late


deployment.main(CASE, play)
