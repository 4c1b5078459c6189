"""Case 11: see claim.txt."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import deployment as d  # noqa: E402

# Machines of one zone: two large ones and the small ones, with their share of a core and their link.
LARGE, SMALL = 2, 8
LARGE_MACHINE, SMALL_MACHINE = (0.5, 200_000_000 / 8), (0.1, 10_000_000 / 8)
# Routes that the configuration has grown by.
ROUTES = 1200
# Time between two configurations in quick succession, and how often two come.
GAP = 0.33
ROUNDS = 5
CALM_GAP = 3.0
CONFIG_APPLY = 2.5
SERVICES = ("books-a", "books-b", "books-c")


class Link:
    """The way from a machine to the store, with a bandwidth in bytes a second."""

    def __init__(self, target, bandwidth):
        host, _, port = target.partition(":")
        self.target, self.bandwidth = (host, int(port)), bandwidth
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target)
            except OSError:
                near.close()
                continue
            for one, other in ((near, far), (far, near)):
                threading.Thread(target=self._pass_on, args=(one, other), daemon=True).start()

    def _pass_on(self, one, other):
        try:
            while data := one.recv(int(self.bandwidth / 100)):
                time.sleep(len(data) / self.bandwidth)
                other.sendall(data)
        except OSError:
            pass
        for connection in (one, other):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def configuration(version, service):
    """A configuration that sends the bookings to this service and has many more routes."""
    source = d.configuration(version)
    source["routes"]["r-book"]["service"] = service
    source["services"].update({name: source["services"]["reads"] for name in SERVICES})
    for number in range(ROUTES):
        source["routes"][f"r-{number:04d}"] = {**source["routes"]["r-read"],
                                               "prefix": f"/further-{number:04d}/"}
    return source


def check(record, gateways, workers, version, service, acked):
    """Sends a booking to each machine. Returns those whose booking another service ran."""
    stale = []
    for gateway in gateways:
        attempt = d.attempt_id()
        since = time.monotonic() - acked
        answer = d.send(gateway, "POST", f"/book/{attempt}", attempt, body=b"x")
        ran = [worker.service for worker in workers
               if any(arrived == attempt for _, arrived, _ in worker.arrivals)]
        if ran and ran != [service]:
            record.line(f"{since:.1f} s after the ack of version {version}, {gateway.name} sent booking "
                        f"{attempt} to {ran[0]} instead of {service}; answered "
                        f"{answer.status if answer else None}")
            stale.append(gateway.name)
    return stale


def play(record, trouble):
    store = d.standins.Store()
    version, turn = 1, 0
    store.put("op/config", configuration(version, SERVICES[turn]))
    workers = [d.Worker(record, store, f"i-{name}-{n}", name, "gp-a")
               for name in SERVICES for n in range(2)]
    gateways = []
    for number in range(LARGE + SMALL):
        cpu_share, bandwidth = LARGE_MACHINE if number < LARGE else SMALL_MACHINE
        link = Link(store.server.address, bandwidth)
        gateways.append(d.Gateway(record, link.address, f"front-gp-a-{number}", "gp-a", cpu_share))
    late = []
    try:
        seeds = [f"127.0.0.1:{gateway.control}" for gateway in gateways[:3]]
        for gateway in gateways:
            gateway.start(seeds)
        for gateway in gateways:
            gateway.wait_until_ready()
        time.sleep(2 * d.STABLE_WINDOW)
        for number in range(ROUNDS):
            for _ in range(2):
                version, turn = version + 1, (turn + 1) % len(SERVICES)
                store.put("op/config", configuration(version, SERVICES[turn]))
                acked = time.monotonic()
                record.line(f"version {version} is acknowledged: bookings go to {SERVICES[turn]}")
                time.sleep(GAP if trouble else CALM_GAP)
            time.sleep(max(0.0, acked + CONFIG_APPLY + 0.5 - time.monotonic()))
            stale = check(record, gateways, workers, version, SERVICES[turn], acked)
            late += [(version, name) for name in stale]
            if stale and number == ROUNDS - 1 or len(late) >= 3:
                # How long it lasts: nothing changes any more.
                time.sleep(20)
                check(record, gateways, workers, version, SERVICES[turn], acked)
                break
    finally:
        for gateway in gateways:
            gateway.clean_up()
    if not late:
        return None
    return (f"CONFIG: {len(late)} bookings, sent later than {CONFIG_APPLY} s after the ack of a version, "
            "were run by the service of an older one")


d.run_case(FOLDER, play)
