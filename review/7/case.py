"""The reader of a gateway's log stops reading. The gateway must go on serving."""
import os
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib-2"))

import deployment  # noqa: E402
import standins  # noqa: E402
from traffic import Traffic  # noqa: E402

TIMEOUT_MS = 1500
# Two services of two workers with four slots each bear 40 requests a second each. The usual load is 30.
WORKERS, WORK_SECONDS, USUAL_CALLERS, INTERVAL = 2, 0.2, 15, 0.5
# Bursts of 5 s with 1.8 times the usual load (site file: burst, x = 1.8, for_s = 5.0). Some requests
# are refused in them, which the gateway logs. They come with and without the disruption.
BURST_FACTOR, BURST_SECONDS, BURSTS, PAUSE_SECONDS = 1.8, 5.0, 6, 1.0
# Then the usual load alone, in which the rule is judged.
CALM_SECONDS = 15.0
# At the end the reader reads again.
RECOVERY_SECONDS = 6.0


class LogReader:
    """Reads a gateway's standard output, as a log collector does, until it is stopped."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        self.reads, self.bytes = threading.Event(), 0
        self.reads.set()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            self.reads.wait()
            self.bytes += len(os.read(self.read_end, 4096))


def is_blocked(gateway):
    """True if the process waits for room in a pipe."""
    with open(f"/proc/{gateway.process.pid}/wchan", encoding="ascii") as file:
        return "pipe" in file.read()


def judge(record, traffic, since, until):
    """Counts the requests that are unanswered at the route's timeout, and 0.5 s later."""
    at_timeout = late = 0
    with traffic.lock:
        answers = [answer for answer in traffic.answers if since <= answer.sent_at < until]
    for answer in answers:
        lasted = (answer.ended_at or record.now()) - answer.sent_at
        has_answer = answer.status is not None
        at_timeout += lasted > TIMEOUT_MS / 1000 or not has_answer
        late += lasted > TIMEOUT_MS / 1000 + 0.5 or not has_answer
    record.say(f"{traffic.path}: {len(answers)} requests from {since:.1f} s to {until:.1f} s, "
               f"{at_timeout} unanswered at the route's timeout, {late} of them 0.5 s later")
    return at_timeout, late


def play(record):
    store = standins.Store()
    store.put("op/config", deployment.configuration(1, timeout=f"{TIMEOUT_MS}ms"))
    workers = [standins.Worker(store, f"{service}{index}", service, zone="gp-a")
               for service in ("reads", "books") for index in range(WORKERS)]
    for worker in workers:
        worker.service_time = WORK_SECONDS
    log = LogReader()
    gateway = deployment.Gateway(store, "front-gp-a-1", stdout=log.write_end)
    standins.wait_for(gateway.is_ready)
    kinds = [Traffic(record, [gateway.entry_port], "GET", "/read/x", TIMEOUT_MS),
             Traffic(record, [gateway.entry_port], "POST", "/book/x", TIMEOUT_MS, b"order")]
    for traffic in kinds:
        traffic.start(traffic.path[1:5], USUAL_CALLERS, INTERVAL)
    time.sleep(2)
    if deployment.HAS_TROUBLE:
        log.reads.clear()
        record.say("the reader of the log stops")
    more = int(USUAL_CALLERS * (BURST_FACTOR - 1))
    for burst in range(BURSTS):
        extra = [Traffic(record, traffic.ports, traffic.method, traffic.path, TIMEOUT_MS,
                         traffic.body) for traffic in kinds]
        for traffic in extra:
            traffic.start(f"burst{burst}{traffic.path[1:5]}", more, INTERVAL)
        time.sleep(BURST_SECONDS)
        for traffic in extra:
            traffic.stopping.set()
        time.sleep(PAUSE_SECONDS)
        record.say(f"after burst {burst + 1}: the process waits for its pipe: {is_blocked(gateway)}")
    since = record.now()
    time.sleep(CALM_SECONDS)
    until = record.now()
    time.sleep(2.5)
    counts = [judge(record, traffic, since, until) for traffic in kinds]
    record.say(f"ready: {gateway.is_ready()}, the process waits for its pipe: {is_blocked(gateway)}, "
               f"{log.bytes} bytes of the log were read")
    run = {attempt for worker in workers for attempt, *_ in worker.runs}
    with kinds[1].lock:
        lost = [answer for answer in kinds[1].answers
                if answer.sent_at < until and answer.status is None and answer.attempt in run]
    record.say(f"{len(lost)} orders have run and their callers have no answer")
    log.reads.set()
    time.sleep(RECOVERY_SECONDS)
    record.say(f"the reader reads again; ready: {gateway.is_ready()}")
    at_timeout, late = (sum(column) for column in zip(*counts))
    return not (at_timeout >= 8 and late > at_timeout / 2)


deployment.main(CASE, play)
