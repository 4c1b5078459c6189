"""Case 13: see claim.txt."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import deployment as d  # noqa: E402

GATEWAYS = 4
WORKERS = 14
# Workers that crash at once, at most 0.15 of the service, how often, and for how long they are down.
CRASHING = 2
CRASH_ROUNDS = 6
DOWN = 4.5
# Time until a worker is back that the fatal request has crashed.
BACK = 3.0
REQUESTS_PER_SECOND = 150
WORK = 0.4
FATAL = "/read/fatal"
RETRIES_MAX = 3


class Requester(threading.Thread):
    """Sends reads and bookings at a steady rate, each with a path of its own, to the gateways in turn."""

    def __init__(self, record, gateways):
        super().__init__(daemon=True)
        self.record, self.gateways = record, gateways
        self.answers, self.stopping = [], threading.Event()

    def run(self):
        number = 0
        while not self.stopping.wait(1 / REQUESTS_PER_SECOND):
            number += 1
            gateway = self.gateways[number % len(self.gateways)]
            threading.Thread(target=self.send_one, args=(gateway, number % 3 == 0), daemon=True).start()

    def send_one(self, gateway, is_booking):
        attempt = d.attempt_id()
        method, kind = ("POST", "book") if is_booking else ("GET", "read")
        answer = d.send(gateway, method, f"/{kind}/{attempt}", attempt, body=b"x" * 200)
        status = answer.status if answer else None
        self.record.line(f"{kind} {attempt} at {gateway.name} gets {status}")
        self.answers.append((time.monotonic(), kind, attempt, status))


def send_fatal(record, gateways):
    """A requester sends the fatal request to several machines at once."""
    def one(gateway):
        attempt = d.attempt_id()
        record.line(f"the fatal request {attempt} is sent to {gateway.name}")
        answer = d.send(gateway, "GET", FATAL, attempt)
        record.line(f"the fatal request {attempt} gets {answer.status if answer else None}")
    threads = [threading.Thread(target=one, args=(gateway,), daemon=True) for gateway in gateways]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def keep_up(workers, stopping):
    """Starts workers again some time after they have ended, each as a new lifetime."""
    ended = {}
    while not stopping.wait(0.1):
        for worker in workers:
            if worker.is_up:
                ended.pop(worker.name, None)
            elif time.monotonic() - ended.setdefault(worker.name, time.monotonic()) > worker.down_for:
                worker.start()
                worker.record.line(f"worker {worker.name} is back")


def play(record, trouble):
    store = d.standins.Store()
    config = d.configuration()
    config["routes"]["r-book"]["service"] = "reads"
    store.put("op/config", config)
    workers = [d.Worker(record, store, f"i-reads-{n}", "reads", "gp-a", crashing_path=FATAL)
               for n in range(WORKERS)]
    for worker in workers:
        worker.service_time, worker.down_for = WORK, BACK
    gateways = [d.Gateway(record, store.server.address, f"front-gp-a-{n}", "gp-a")
                for n in range(GATEWAYS)]
    stopping = threading.Event()
    requester = Requester(record, gateways)
    try:
        seeds = [f"127.0.0.1:{gateway.control}" for gateway in gateways[:3]]
        for gateway in gateways:
            gateway.start(seeds)
        for gateway in gateways:
            gateway.wait_until_ready()
        time.sleep(d.STABLE_WINDOW + 1)
        threading.Thread(target=keep_up, args=(workers, stopping), daemon=True).start()
        requester.start()
        time.sleep(1.0)

        # The request crashes the workers that run it; its requester asks at a second machine as well.
        send_fatal(record, gateways[:2])
        time.sleep(1.0)
        if sum(path == FATAL for worker in workers for _, _, path in worker.arrivals) < 3:
            send_fatal(record, gateways[2:3])
        time.sleep(d.STABLE_WINDOW + 1)

        # Workers crash for other reasons while they work.
        for number in range(CRASH_ROUNDS):
            if trouble:
                for worker in workers[number * CRASHING:(number + 1) * CRASHING]:
                    worker.down_for = DOWN
                    worker.end("it crashes for another reason")
            time.sleep(DOWN)
        for worker in workers:
            worker.down_for = BACK
        time.sleep(1.0)

        # The machines are stopped and started in turn.
        for gateway in gateways:
            gateway.terminate()
            gateway.start()
            gateway.wait_until_ready()
        time.sleep(d.STABLE_WINDOW + 2)

        # The request comes again, at any machine.
        record.line("the fatal request comes again")
        send_fatal(record, gateways)
        time.sleep(1.0)
        send_fatal(record, gateways)
        time.sleep(2.0)
    finally:
        requester.stopping.set()
        stopping.set()
        for gateway in gateways:
            gateway.clean_up()
    return judge(record, workers, requester)


def judge(record, workers, requester):
    """BUDGET: a request that crashes the workers that run it reaches workers in more than three
    retries, sent by machines in touch later than stableWindow after it has crashed the third."""
    arrivals = sorted((at, worker.name) for worker in workers
                      for at, _, path in worker.arrivals if path == FATAL)
    if len(arrivals) < 3:
        raise d.CannotRun("the fatal request has not crashed three workers")
    third = arrivals[2][0]
    late = [(at, name) for at, name in arrivals if at > third + d.STABLE_WINDOW]
    for at, name in late:
        record.line(f"{at - third:.2f} s after the third crash, the fatal request reached {name}")
    cut = [attempt for at, kind, attempt, status in requester.answers
           if kind == "book" and status != 200 and late and at >= late[0][0]]
    record.line(f"bookings that were not answered 200 from then on: {len(cut)}")
    if len(late) <= RETRIES_MAX:
        return None
    return (f"BUDGET: the fatal request reached workers {len(late)} times more; "
            f"{len(cut)} bookings failed at that time")


d.run_case(FOLDER, play)
