"""Parts shared by the cases of this review: gateways with the settings of the deploy file, workers
that follow the users' pages, callers, and the record of a run. Every address is a loopback address."""
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

import standins  # noqa: E402
from cluster import ports  # noqa: E402

DAEMON = os.path.join(ROOT, "target", "main", "daemon", "almondnotchd")
HOST = standins.HOST
# Bounds of the small deployments (SYSTEM.md), in seconds.
DRAIN = 2.0
STABLE_WINDOW = 3.0
HEARTBEAT = 1.5
BOUNDS = {"grace": "6s", "retryBudgetRatio": 0.2, "retryBudgetSlack": 56, "probesPerS": 60}


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def _field(fields, name):
    for part in name.split("."):
        fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(template, fields):
    """Fills in a template as DEPLOY.md describes, as far as deploy/settings.toml needs it."""
    def section(match):
        return match.group(2) if _field(fields, match.group(1)) not in (None, False) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = _field(fields, match.group(1))
        if isinstance(found, list):
            return ",".join(found)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Gateway:
    """One machine of the deployment: an almondnotchd that can be stopped and started again."""

    def __init__(self, record, store_address, name, zone, cpu_share=0.2):
        self.record, self.store_address, self.name, self.zone = record, store_address, name, zone
        self.cpu_share = cpu_share
        self.front, self.ready, self.directory, self.control, self.operator = ports.reserve_ports(5)
        self.folder = tempfile.TemporaryDirectory()
        self.process, self.started_at, self.seeds = None, 0.0, []

    def start(self, seeds=None):
        self.seeds = self.seeds if seeds is None else seeds
        fields = {"node": self.name, "zone": self.zone, "limits": {"cpuShare": self.cpu_share},
                  "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}",
                             "control": f"127.0.0.1:{self.control}",
                             "directory": f"127.0.0.1:{self.directory}"},
                  "seeds": self.seeds, "platform": {"address": self.store_address},
                  "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as file:
            text = render(file.read(), fields)
        # The gateways of a case share one host, so their operator endpoints need ports of their own.
        text += f'\n[operator]\naddress = "127.0.0.1:{self.operator}"\n'
        path = os.path.join(self.folder.name, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder.name, "log.txt"), "a", encoding="utf-8")
        self.process = subprocess.Popen([DAEMON, "--settings", path], cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()
        self.record.line(f"gateway {self.name} starts")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), timeout=1) as connection:
                connection.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while not self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"gateway {self.name} did not become ready")
            time.sleep(0.02)
        self.record.line(f"gateway {self.name} is ready")

    def known_gateways(self, zone):
        """Number of addresses that the directory of this gateway gives to callers of a zone."""
        with socket.create_connection(("127.0.0.1", self.directory), timeout=2) as connection:
            connection.sendall(f"GET /v1/resolve?name={HOST}&region=r&zone={zone} HTTP/1.1\r\nHost: x\r\n"
                               "Connection: close\r\n\r\n".encode())
            data = b""
            while chunk := connection.recv(65536):
                data += chunk
        return len(json.loads(data.partition(b"\r\n\r\n")[2] or b"{}").get("addresses", []))

    def terminate(self):
        """Stops the process as the platform does: SIGTERM, then SIGKILL after the grace."""
        self.record.line(f"gateway {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(6.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.record.line(f"gateway {self.name} has ended")

    def log(self):
        with open(os.path.join(self.folder.name, "log.txt"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def clean_up(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.folder.cleanup()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def read_message(stream):
    """Reads a request or response with a Content-Length. Returns (first line, headers, body), or None
    at the end of the connection."""
    first = stream.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = stream.read(length)
    return None if len(body) < length else (first.decode("latin-1").strip(), headers, body)


def send(gateway, method, path, attempt, deadline_ms=1500, body=b""):
    """Sends one request on a new connection. Returns the answer, or None if there was none."""
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Almondnotch-Attempt-Id: {attempt}\r\n"
            f"X-Almondnotch-Deadline-Remaining: {deadline_ms}\r\n")
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    try:
        with socket.create_connection(("127.0.0.1", gateway.front), timeout=1) as connection:
            connection.settimeout(deadline_ms / 1000 + 1.0)
            connection.sendall(head.encode() + b"\r\n" + body)
            with connection.makefile("rb") as stream:
                message = read_message(stream)
    except OSError:
        return None
    return message and Answer(int(message[0].split()[1]), message[1], message[2])


class Lifetime:
    """What one start of a worker holds."""

    def __init__(self, slots):
        self.running, self.waiting = 0, 0
        self.free_slots = threading.Semaphore(slots)
        self.connections = set()


class Worker:
    """A worker as PROTOCOL.md describes it. It runs `slots` requests at a time and rejects more than
    `queue` waiting ones. `crashing_path` is a path whose requests end it as soon as they run."""

    def __init__(self, record, store, name, service, zone, slots=6, queue=24, crashing_path=None):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.slots, self.queue = service, zone, slots, queue
        self.crashing_path = crashing_path
        self.service_time = 0.05
        self.lock = threading.Lock()
        self.arrivals = []
        self.listener = None
        self.port = ports.reserve_ports(1)[0]
        self.start()

    def start(self):
        """Starts a lifetime: listens and registers."""
        self.is_up, self.is_leaving, self.rewrite, self.seq = True, False, False, 0
        self.born = int(time.time() * 1000)
        self.life = Lifetime(self.slots)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(256)
        threading.Thread(target=self._accept, args=(self.listener, self.life),
                         daemon=True).start()
        self.store.put(*self.beat())

    def beat(self):
        """Returns the key and value of the next status report."""
        self.seq += 1
        return f"servers/{self.name}", {
            "address": f"127.0.0.1:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": "draining" if self.is_leaving else "ready", "seq": self.seq,
                       "warmupLeft": "0ms"}}

    def end(self, why):
        """Ends the process: the listener is closed and all connections are reset."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            connections = list(self.life.connections)
        self.record.line(f"worker {self.name} ends: {why}; {self.life.running} requests are at work")
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            reset(connection)

    def _accept(self, listener, life):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            life.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection, life), daemon=True).start()

    def _serve(self, connection, life):
        try:
            with connection.makefile("rb") as stream:
                while (message := read_message(stream)) is not None:
                    self._answer(connection, life, *message)
        except (OSError, ValueError):
            pass
        finally:
            life.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def _load(self):
        return f"{self.life.running},{self.life.waiting},{self.slots},100"

    def _reply(self, connection, status, headers, body=b""):
        head = f"HTTP/1.1 {status} X\r\nX-Almondnotch-Server-Load: {self._load()}\r\n"
        if self.is_leaving:
            head += "Server-Leaving: 1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        connection.sendall(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def _answer(self, connection, life, first, headers, body):
        path = first.split()[1]
        if headers.get("x-almondnotch-target-instance", self.name) != self.name:
            echo = [("X-Almondnotch-Attempt-Id", headers.get("x-almondnotch-attempt-id", ""))]
            self._reply(connection, 421, echo + [("X-Almondnotch-Instance-Id", self.name)])
            return
        if path == "/health":
            status = 503 if self.is_leaving else 200
            self._reply(connection, status, [("X-Almondnotch-Instance-Id", self.name)])
            return
        attempt = headers["x-almondnotch-attempt-id"]
        with self.lock:
            self.arrivals.append((time.monotonic(), attempt, path))
            is_full = life.waiting >= self.queue
            life.waiting += 0 if is_full else 1
        self.record.line(f"request {attempt} {path} reaches worker {self.name}")
        if is_full:
            self._reply(connection, 503, [("X-Almondnotch-Attempt-Id", attempt),
                                          ("X-Almondnotch-Not-Executed", "1")])
            return
        with life.free_slots:
            with self.lock:
                life.waiting -= 1
                life.running += 1
            if path == self.crashing_path:
                self.end(f"request {attempt} crashed it")
                raise OSError("the process has ended")
            time.sleep(self.service_time)
            with self.lock:
                life.running -= 1
        if life is self.life and self.is_up:
            self._reply(connection, 200, [("X-Almondnotch-Attempt-Id", attempt),
                                          ("X-Almondnotch-Server-Seal", f"seal-{self.name}")],
                        f"{self.name} {attempt}".encode())


def reset(connection):
    """Closes a connection with a TCP reset, also if another thread reads from it."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    try:
        connection.close()
    except OSError:
        pass


def configuration(version=1):
    """A configuration with the route /read/ (safe) to reads and /book/ (unsafe) to books."""
    return standins.configuration(version)


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play):
    """Runs a case. `play(record, trouble)` returns a text that says how the rule was broken, or None.
    Exits with 1 if it was broken, 0 if it held and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line(f"TROUBLE={int(trouble)}")
    if not os.path.exists(DAEMON):
        record.line("cannot run: target/main/daemon/almondnotchd is missing")
        print("cannot run: build the daemon with the build line of deploy/system.toml")
        os._exit(2)
    try:
        broken = play(record, trouble)
        code = 1 if broken else 0
        text = f"the rule was broken: {broken}" if broken else "the rule held"
    except CannotRun as failure:
        code, text = 2, f"cannot run: {failure}"
    except Exception as failure:  # pylint: disable=broad-except
        code, text = 2, f"cannot run: {type(failure).__name__}: {failure}"
    record.line(text)
    print(text)
    # Threads of the stand-ins may still wait on sockets.
    sys.stdout.flush()
    os._exit(code)
