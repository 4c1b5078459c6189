"""What the scripts of the review share: a gateway that is started as the deploy file says, a store and
workers (those of the project's own tests), a caller, and the record of a run.

Everything listens on 127.0.0.1. The settings file of a gateway is the template of the deploy file,
filled in with the figures of the site kw-tankard; only the address of the operators' endpoint is
added, since its default could be used by only one gateway of this machine.
"""
import atexit
import http.client
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

import standins  # noqa: E402
from cluster import ports  # noqa: E402

HOST = standins.HOST
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site kw-tankard, in seconds.
DRAIN, STABLE_WINDOW, CONFIG_APPLY, GRACE = 2.0, 3.0, 2.0, 6.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

_gateways = []
_workers = []


class Record:
    """Adds one line for each thing that happened, with the time since the start, to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "a", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def record_runs(record, workers):
    """Adds the runs of the workers of `standins` to the record."""
    for worker in workers:
        for attempt, method, path, _, when in worker.runs:
            record.write(f"worker {worker.name} ran {attempt} ({method} {path}) at "
                         f"{when - record.start:.3f}")


def fill_in(template, values):
    """Fills in a template of the deploy file: placeholders, and sections that are rendered if the
    platform has a value of that name."""
    def section(found):
        return found.group(2) if found.group(1) in values else ""
    text = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]*)\}\}", lambda found: values[found.group(1)], text)


class Gateway:
    """One process of the role `gateway`, run by the command of the deploy file."""

    def __init__(self, record, store_address, name, seeds=(), zone="gp-a", stdout=None):
        self.record, self.name, self.zone = record, name, zone
        self.store_address, self.seeds, self.stdout = store_address, list(seeds), stdout
        self.entry_port, self.ready_port, self.directory_port, self.peer_port, \
            self.operator_port = ports.reserve_ports(5)
        self.folder = tempfile.mkdtemp(prefix="almondnotch-review-")
        self.log_path = os.path.join(self.folder, "log.txt")
        self.process = None
        _gateways.append(self)

    @property
    def peer_address(self):
        return f"127.0.0.1:{self.peer_port}"

    def _settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as file:
            text = file.read()
        values = {
            "node": self.name, "zone": self.zone, "limits.cpuShare": "0.2",
            "listen.front": f"127.0.0.1:{self.entry_port}", "listen.control": self.peer_address,
            "listen.ready": f"127.0.0.1:{self.ready_port}",
            "listen.directory": f"127.0.0.1:{self.directory_port}",
            "seeds": ",".join(self.seeds), "platform.address": self.store_address,
            "bounds.grace": "6s", "bounds.retryBudgetRatio": "0.2",
            "bounds.retryBudgetSlack": "56", "bounds.probesPerS": "60"}
        return fill_in(text, values) + f'\n[operator]\naddress = "127.0.0.1:{self.operator_port}"\n'

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["gateway"]["run"].split()
        settings = os.path.join(self.folder, "settings.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self._settings())
        words = [settings if word == "/etc/almondnotch/node.yaml" else word for word in words]
        output = self.stdout if self.stdout is not None else open(self.log_path, "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output,
                                        stderr=output)
        self.record.write(f"gateway {self.name} started, pid {self.process.pid}")

    def wait_until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                return False
            time.sleep(0.02)
        self.record.write(f"gateway {self.name} is ready")
        return True

    def is_ready(self, timeout=1.0):
        connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=timeout)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number):
        self.record.write(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class WorkerProcess:
    """A worker that runs as a process (worker.py) and has an entry in the store."""

    def __init__(self, record, store, name, service, slots, service_ms, zone="gp-a",
                 garbled_share=0.0):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.slots, self.service_ms, self.zone = slots, service_ms, zone
        self.garbled_share = garbled_share
        self.port, self.process, self.runs, self.garbled = 0, None, [], []
        _workers.append(self)

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(os.path.dirname(os.path.abspath(__file__)), "worker.py"),
             self.name, str(self.port), str(self.slots), str(self.service_ms),
             str(self.garbled_share)],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline().split()[1])
        threading.Thread(target=self._read, args=(self.process.stdout,), daemon=True).start()
        self.store.put(f"servers/{self.name}", {
            "address": f"127.0.0.1:{self.port}", "born": int(time.time() * 1000),
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"}})
        self.record.write(f"worker {self.name} of {self.service} started, port {self.port}")

    def _read(self, output):
        for line in output:
            when, word, attempt = line.split()
            (self.runs if word == "runs" else self.garbled).append((float(when), attempt))
            self.record.write(f"worker {self.name} {word} {attempt}")

    def crash(self):
        self.record.write(f"worker {self.name} crashes")
        self.kill()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def send(gateway, method, path, attempt, body=None, deadline_ms=1500, timeout=5.0):
    """Sends one request on a connection of its own. Returns (status, headers, body); the status is
    "closed" if the connection ended without a complete answer and "timeout" if nothing came."""
    connection = http.client.HTTPConnection("127.0.0.1", gateway.entry_port, timeout=timeout)
    try:
        connection.request(method, path, body, {
            "Host": HOST, "X-Almondnotch-Attempt-Id": attempt,
            "X-Almondnotch-Deadline-Remaining": str(deadline_ms)})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    except TimeoutError:
        return "timeout", {}, b""
    except ConnectionRefusedError:
        return "refused", {}, b""
    except (OSError, http.client.HTTPException):
        return "closed", {}, b""
    finally:
        connection.close()


def workers():
    """The workers that run as processes."""
    return _workers


def clean_up():
    for worker in _workers:
        worker.kill()
    for gateway in _gateways:
        gateway.kill()
        shutil.rmtree(gateway.folder, ignore_errors=True)


def run(folder, case):
    """Runs `case(record)`, ends all processes, and exits with its result."""
    record = Record(folder)
    atexit.register(clean_up)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record.write(f"{os.path.basename(sys.argv[0])} with TROUBLE={1 if TROUBLE else 0}")
    try:
        result = case(record)
    except Exception as failure:  # A fault of the script, not of the program under test.
        record.say(f"could not run: {type(failure).__name__}: {failure}")
        result = COULD_NOT_RUN
    clean_up()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                COULD_NOT_RUN: "the case could not run"}[result])
    record.file.close()
    os._exit(result)
