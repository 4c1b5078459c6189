"""Two of the fifteen workers of a service crash at the same moment and are back 4.5 s later.

The requests of the kind "read" all ask for the same path, as requests for a list of what is free do;
bookings go to another service. Without the trouble, no worker crashes."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness  # noqa: E402
import standins  # noqa: E402

READERS, BOOKERS, SLOTS, SERVICE_MS = 15, 8, 4, 160
READS_PER_S, BOOKINGS_PER_S = 94, 80
CRASHED, DOWN_S = 2, 4.5
# When the crash comes, and how long the traffic goes on.
CRASH_AT_S, LENGTH_S = 6.0, 85.0


def call(record, gateway, kind, number, results):
    attempt = f"{number:016x}"
    sent = record.now()
    if kind == "read":
        status, _, _ = harness.send(gateway, "GET", "/read/free-poles", attempt)
    else:
        status, _, _ = harness.send(gateway, "POST", f"/book/{number}", attempt,
                                    f"pole {number}".encode())
    record.write(f"request {attempt} ({kind}) to {gateway.name}: {status}")
    results.append((sent, kind, status))


def drive(record, gateways, kind, per_s, first, stop, results):
    due, number = time.monotonic(), first
    while not stop.is_set():
        time.sleep(max(0.0, due - time.monotonic()))
        number += 1
        threading.Thread(target=call, daemon=True, args=(
            record, gateways[number % len(gateways)], kind, number, results)).start()
        due += 1 / per_s


def crash_workers(record, readers):
    """Crashes the workers that began a request last, and starts them again."""
    chosen = sorted(readers, key=lambda worker: worker.runs[-1][0] if worker.runs else 0)[-CRASHED:]
    for worker in chosen:
        worker.crash()
    crashed_at = record.now()
    record.say(f"{', '.join(worker.name for worker in chosen)} of {READERS} workers crash")
    time.sleep(DOWN_S)
    for worker in chosen:
        worker.start()
    return crashed_at


def served_share(results, kind, since):
    statuses = [status for sent, one, status in results if sent > since and kind in (one, None)]
    return sum(status == 200 for status in statuses) / max(1, len(statuses)), len(statuses)


def case(record):
    store = standins.Store()
    store.put("op/config", standins.configuration(1))
    readers = [harness.WorkerProcess(record, store, f"r-{number}", "reads", SLOTS, SERVICE_MS)
               for number in range(READERS)]
    bookers = [harness.WorkerProcess(record, store, f"b-{number}", "books", SLOTS, SERVICE_MS)
               for number in range(BOOKERS)]
    for worker in readers + bookers:
        worker.start()
    gateways = []
    for number in range(2):
        gateways.append(harness.Gateway(record, store.server.address, f"front-{number}",
                                        [one.peer_address for one in gateways]))
        gateways[-1].start()
    if not all(gateway.wait_until_ready() for gateway in gateways):
        return harness.COULD_NOT_RUN
    time.sleep(harness.STABLE_WINDOW + 1)
    stop, results = threading.Event(), []
    drivers = [threading.Thread(target=drive, args=(record, gateways, kind, per_s, first, stop,
                                                    results))
               for kind, per_s, first in (("read", READS_PER_S, 0),
                                          ("book", BOOKINGS_PER_S, 1 << 32))]
    begin = record.now()
    for driver in drivers:
        driver.start()
    time.sleep(CRASH_AT_S)
    back = begin + CRASH_AT_S + DOWN_S
    if harness.TROUBLE:
        back = crash_workers(record, readers) + DOWN_S
    time.sleep(max(0.0, begin + LENGTH_S - record.now()))
    stop.set()
    for driver in drivers:
        driver.join()
    time.sleep(2)
    for since, name in ((begin, "the whole run"), (back + 1, "after all workers were back")):
        share, count = served_share(results, "read", since)
        all_share, all_count = served_share(results, None, since)
        record.say(f"{name}: {100 * share:.1f} % of {count} reads were served, "
                   f"{100 * all_share:.1f} % of all {all_count} requests")
    # The rule is about the whole run.
    share, _ = served_share(results, "read", begin)
    all_share, _ = served_share(results, None, begin)
    return harness.BROKEN if share < all_share / 4 else harness.HELD


harness.run(FOLDER, case)
