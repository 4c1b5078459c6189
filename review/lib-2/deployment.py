"""Starts the project's gateways as the deploy file says, in front of stand-ins, for the cases of the
second review. The store and the workers are those of tests/platform/standins.py."""
import atexit
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))

import standins  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the sheet of kw-tankard.
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 6.0
# Settings of one machine of kw-tankard, beside its addresses.
MACHINE = {"limits": {"cpuShare": 0.2},
           "bounds": {"grace": "6s", "retryBudgetRatio": 0.2, "retryBudgetSlack": 56,
                      "probesPerS": 60}}

_started = []


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def render(template, fields):
    """Fills in the placeholders and sections of a settings template (DEPLOY.md)."""
    def section(match):
        return match[2] if _lookup(fields, match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(_lookup(fields, match[1])), text)


def run_command(settings_path):
    """The command of the gateway's role in the deploy file, with this settings file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        run = re.search(r'^run = "(.*)"$', file.read(), re.M)[1]
    words = [settings_path if word == "/etc/almondnotch/node.yaml" else word
             for word in run.split()]
    words[0] = os.path.join(ROOT, words[0])
    if not os.access(words[0], os.X_OK):
        raise RuntimeError(f"{words[0]} is missing; run the build of the deploy file")
    return words


class Gateway:
    """A gateway with the settings of the deploy file's template, on addresses of its own."""

    def __init__(self, store, name, seeds=(), stdout=None, zone="gp-a"):
        self.name = name
        self.entry_port, self.readiness_port, self.directory_port, self.peer_port, \
            self.operator_port = standins.ports.reserve_ports(5)
        self.peer_address = f"127.0.0.1:{self.peer_port}"
        fields = dict(MACHINE, node=name, zone=zone, seeds=",".join(seeds) or self.peer_address,
                      platform={"address": store.server.address},
                      listen={"front": f"127.0.0.1:{self.entry_port}",
                              "ready": f"127.0.0.1:{self.readiness_port}",
                              "control": self.peer_address,
                              "directory": f"127.0.0.1:{self.directory_port}"})
        with open(os.path.join(ROOT, "deploy", "settings.toml"), encoding="utf-8") as file:
            text = render(file.read(), fields)
        # All gateways run on one machine here, so their operator endpoints cannot share the default
        # port.
        text += f'\n[operator]\naddress = "127.0.0.1:{self.operator_port}"\n'
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "node.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen(run_command(path), cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=stdout or self.log, stderr=self.log)
        _started.append(self.process)

    def get(self, port, target, timeout=2.0):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.get(self.readiness_port, "/v1/readiness")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def dump(self):
        return json.loads(self.get(self.operator_port, "/dump")[1])

    def signal(self, number):
        self.process.send_signal(number)


class Record:
    """What was sent, answered and run, with the seconds since the start. Written to record.txt in the
    folder of the case."""

    def __init__(self, case_folder):
        self.path = os.path.join(case_folder, "record.txt")
        self.start, self.lines, self.lock = time.monotonic(), [], threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.lines.append((self.now(), text))

    def say(self, text):
        """Adds a line and prints it."""
        self.add(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def write(self):
        with self.lock, open(self.path, "w", encoding="utf-8") as file:
            for at, text in self.lines:
                file.write(f"{at:8.3f} {text}\n")


def configuration(version, timeout="1500ms"):
    """Two routes: /read/ is safe and goes to `reads`, /book/ is unsafe and goes to `books`."""
    def route(prefix, kind, service):
        return {"host": standins.HOST, "prefix": prefix, "kind": kind, "timeout": timeout,
                "targetLatency": "500ms", "priority": 1, "service": service, "maxAttempts": 2}
    return standins.configuration(version, **{"r-read": route("/read/", "safe", "reads"),
                                              "r-book": route("/book/", "unsafe", "books")})


def stop_all():
    for process in _started:
        if process.poll() is None:
            process.kill()
            process.wait()


atexit.register(stop_all)


def main(case_folder, play):
    """Plays a case and exits with its result. `play` gets the record and returns true if the rule
    held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(case_folder)
    record.say("with the disruption" if HAS_TROUBLE else "without the disruption")
    try:
        held = play(record)
    except Exception as failure:  # Whatever went wrong, the case shows nothing.
        record.say(f"could not run: {failure!r}")
        result = COULD_NOT_RUN
    else:
        record.say("the rule held" if held else "the rule was broken")
        result = HELD if held else BROKEN
    record.write()
    stop_all()
    os._exit(result)
