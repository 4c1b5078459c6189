"""A worker sends the beginning of an earlier answer once more, late, and then fails the request in
progress. The caller must not get a success."""
import os
import random
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib-2"))

import deployment  # noqa: E402
import standins  # noqa: E402
from traffic import Traffic  # noqa: E402

PLAY_SECONDS = 40
WORKERS = 7
WORK_SECONDS = 0.09
# The figures of the site file: garble (extra late) with share = 0.6 and x = 0.03 for 5 s, and srv_grey
# (errors, all) with x = 0.45 in the same 5 s. Both come three times.
TROUBLE_STARTS = [5.0, 15.0, 25.0]
TROUBLE_SECONDS = 5.0
SPOILING_WORKERS = int(0.6 * WORKERS)
SPOILED_SHARE = 0.03
FAILED_SHARE = 0.45

LATE_COPIES = [0]
draw = random.Random(int(os.environ.get("SEED", "1")))
draw_lock = threading.Lock()


def happens(record, share):
    """True for this share of the answers while the disruption lasts."""
    now = record.now()
    if not deployment.HAS_TROUBLE or not any(start <= now < start + TROUBLE_SECONDS
                                             for start in TROUBLE_STARTS):
        return False
    with draw_lock:
        return draw.random() < share


class ReadWorker(standins.Worker):
    """A worker that may fail requests, and may send an additional answer that is cut off. The
    additional bytes arrive late, at the point where the next answer of the connection is expected.
    Each answer has a seal of its own."""

    def __init__(self, record, store, name, spoils):
        self.record, self.spoils = record, spoils
        # Status and body by seal.
        self.given = {}
        super().__init__(store, name, "reads", zone="gp-a")

    def _run(self, handler, body):
        attempt = handler.headers["X-Almondnotch-Attempt-Id"]
        with self.lock:
            self.runs.append(attempt)
            seal = f"{self.name}.{len(self.runs)}"
            self.running += 1
        copy, handler.late_copy = getattr(handler, "late_copy", None), None
        if copy:
            handler.wfile.write(copy)
            handler.wfile.flush()
            LATE_COPIES[0] += 1
            self.record.add(f"worker   {self.name} sends additional bytes while {attempt} is in "
                            f"progress: {copy!r}")
        time.sleep(WORK_SECONDS)
        with self.lock:
            self.running -= 1
        status = 500 if happens(self.record, FAILED_SHARE) else 200
        text = f"{seal} {attempt}".encode()
        self.given[seal] = status, text
        self.record.add(f"worker   {self.name} ran {attempt} and answers {status} seal={seal}")
        handler.reply(status, [("X-Almondnotch-Attempt-Id", attempt),
                               ("X-Almondnotch-Server-Seal", seal)] + self.load(), text)
        if self.spoils and happens(self.record, SPOILED_SHARE):
            handler.late_copy = (f"HTTP/1.1 {status} X\r\nX-Almondnotch-Attempt-Id: "
                                 f"{attempt}").encode()


def play(record):
    store = standins.Store()
    store.put("op/config", deployment.configuration(1))
    workers = [ReadWorker(record, store, f"w{index}", index < SPOILING_WORKERS)
               for index in range(WORKERS)]
    gateway = deployment.Gateway(store, "front-gp-a-1")
    standins.wait_for(gateway.is_ready)
    traffic = Traffic(record, [gateway.entry_port], "GET", "/read/x")
    traffic.start("read", 20, 0.11)
    time.sleep(PLAY_SECONDS)
    traffic.stop()

    given = {seal: row for worker in workers for seal, row in worker.given.items()}
    answers = traffic.ended()
    mixed = []
    for answer in answers:
        seal = answer.headers.get("X-Almondnotch-Server-Seal")
        if answer.status is None or seal is None:
            continue
        status, text = given.get(seal, (None, b""))
        if answer.status != status or answer.body != text \
                or not text.endswith(b" " + answer.attempt.encode()):
            mixed.append(answer)
            record.say(f"MIXED: {answer}, but the worker gave {status}")
    served = sum(answer.status == 200 for answer in answers)
    record.say(f"{len(answers)} requests, {served} answered 200; {LATE_COPIES[0]} late copies; "
               f"{len(mixed)} answers with another status or body than the worker's")
    if served < 0.5 * len(answers) or len(answers) < 1000:
        raise RuntimeError("too few requests were served")
    return not mixed


deployment.main(CASE, play)
