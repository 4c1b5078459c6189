"""Fakes of the platform's store and workers, and a wrapper around a gateway process under test."""
import base64
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))

from cluster import ports  # noqa: E402

HOST = "shop.example"


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def reply(self, status, headers=(), body=b"", framed=True):
        head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
        if framed:
            head += f"Content-Length: {len(body)}\r\n"
        self.wfile.write(head.encode() + b"\r\n" + body)

    def reset(self):
        """Closes the connection with a TCP reset."""
        self.close_connection = True
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connection.close()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, handler):
        super().__init__(("127.0.0.1", 0), handler)
        self.connections = set()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05},
                         daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def stop_serving(self):
        self.shutdown()
        self.server_close()

    def crash(self):
        """Ends as a process that crashes: connections are reset, and further ones refused."""
        self.stop_serving()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass


class Store:
    """A fake of the platform's key-value store with revisions, lists, watches, compaction and
    outages. `is_down` rejects requests; `is_silent` loses those that arrive, also after it ends.
    `restore` brings it back from a copy. Its answers name the `era` if there is one. At `small_server`
    it serves small machines, whose links can be slow."""

    LOST_REQUEST_SECONDS = 30

    def __init__(self):
        self.changed = threading.Condition()
        self.items, self.events = {}, []
        self.revision, self.compacted, self.request_count = 1, 0, 0
        self.is_down, self.is_silent, self.interruptions = False, False, 0
        self.era = None
        # Rate of the answers in bytes a second and connection, as over a slow link; None for any.
        self.rate, self.small_rate = None, None
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.answer(self)

        self.server, self.small_server = Server(StoreHandler), Server(StoreHandler)

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change(key, base64.b64encode(text).decode())

    def put_row(self, key, fields):
        """Writes an item whose row in the answers has these fields in place of the usual ones, but for
        the revision."""
        with self.changed:
            self.revision += 1
            row = {"key": key, **fields, "revision": self.revision}
            self.items[key] = row
            self.events.append((key, row))
            self.changed.notify_all()

    def remove(self, key):
        self._change(key, None)

    def _change(self, key, value):
        with self.changed:
            self.revision += 1
            event = {"key": key, "revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                event["removed"] = True
            else:
                event.update(value=value, created=self.revision, lease=0)
                self.items[key] = event
            self.events.append((key, event))
            self.changed.notify_all()

    def compact(self):
        """Drops the history and interrupts all watches."""
        with self.changed:
            self.events.clear()
            self.compacted = self.revision
            self.interruptions += 1
            self.changed.notify_all()

    def copy(self):
        """Returns a copy for `restore`."""
        with self.changed:
            return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Continues from a copy in a later era. Open watches wait for revisions that are given out
        again."""
        with self.changed:
            self.items, self.events, self.revision = dict(copy[0]), list(copy[1]), copy[2]
            self.era += 1
            self.changed.notify_all()

    def answer(self, handler):
        target = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        self.request_count += 1
        if self.is_silent:
            # The request is lost, but its connection stays open.
            time.sleep(self.LOST_REQUEST_SECONDS)
            handler.close_connection = True
        elif self.is_down:
            handler.reply(503)
        elif target.path == "/v1/kv-range":
            self._list(handler, query)
        elif target.path == "/v1/kv-watch":
            self._watch(handler, query)
        else:
            handler.reply(404)

    def _list(self, handler, query):
        page = 3
        with self.changed:
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            body = {"items": [self.items[key] for key in keys[:page]],
                    "hasMore": len(keys) > page, "currentRev": self.revision}
        self._reply(handler, body)

    def _reply(self, handler, body):
        headers = [] if self.era is None else [("Store-Era", str(self.era))]
        text = json.dumps(body).encode()
        rate = self.small_rate if handler.server is self.small_server else self.rate
        if rate is None:
            handler.reply(410 if body is None else 200, headers, text)
            return
        headers.append(("Content-Length", str(len(text))))
        handler.reply(410 if body is None else 200, headers, framed=False)
        step = rate // 50
        for start in range(0, len(text), step):
            handler.wfile.write(text[start:start + step])
            time.sleep(len(text[start:start + step]) / rate)

    def _watch(self, handler, query):
        after, interruptions = int(query["after"]), self.interruptions
        limit = time.monotonic() + int(query["waitMs"]) / 1000

        def matching_events():
            return [event for key, event in self.events
                    if event["revision"] > after and key.startswith(query["prefix"])]

        with self.changed:
            if after < self.compacted or after > self.revision:
                self._reply(handler, None)
                return
            while not matching_events() and time.monotonic() < limit \
                    and self.interruptions == interruptions and not self.is_down:
                self.changed.wait(0.05)
            if self.interruptions != interruptions or self.is_down:
                handler.close_connection = True
                return
            body = {"events": matching_events(), "currentRev": self.revision}
        self._reply(handler, body)


def odd_registrations():
    """Returns registrations that another writer may have left: not JSON, deeply nested, with numbers
    that do not fit, and with an address that nothing can be sent to."""
    def registration(address="127.0.0.1:99999", born="1", slots="4"):
        return (f'{{"address":"{address}","born":{born},"info":{{"service":"reads","version":"v1",'
                f'"zone":"a","slots":{slots}}},"status":{{"state":"ready","seq":1,'
                f'"warmupLeft":"0ms"}}}}').encode()
    nested = b"[" * 100000
    return [b"\xff\x00", nested, nested + b"]" * 100000, registration(),
            registration("worker.example:80"), registration("127.0.0.1:80", "1e999"),
            registration("127.0.0.1:80", "18446744073709551615"),
            registration("127.0.0.1:80", "1", "1e999")]


def padded(entry, size):
    """Returns an entry as JSON that has this number of bytes, because of a field of no meaning."""
    return json.dumps({"note": "x" * (size - len(json.dumps({"note": "", **entry}))), **entry}).encode()


class OtherWriter:
    """Another writer to the store, which writes one entry again and again until it is stopped."""

    def __init__(self, store, key, value, interval):
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, args=(store, key, value, interval),
                                       daemon=True)
        self.thread.start()

    def _run(self, store, key, value, interval):
        while not self.stopping.wait(interval):
            store.put(key, value)

    def stop(self):
        self.stopping.set()
        self.thread.join()


def broken_responses():
    """Returns responses that break off, by the place where they do. ATTEMPT and NAME stand for the
    identifier of the request and the name of the worker."""
    seal = (b"X-Almondnotch-Attempt-Id: ATTEMPT\r\nX-Almondnotch-Server-Seal: seal-NAME\r\n"
            b"X-Almondnotch-Server-Load: 0,0,4,100\r\n")
    head = b"HTTP/1.1 200 OK\r\n" + seal
    length, chunked = b"Content-Length: 40\r\n", b"Transfer-Encoding: chunked\r\n"
    return {
        "within the status line": b"HTTP/1.1 20",
        "after the status": b"HTTP/1.1 200",
        "after the status line": b"HTTP/1.1 200 OK\r\n",
        "within a header name": head + b"Content-Le",
        "after a header name": head + b"Content-Length:",
        "within a header value": head + b"Content-Length: 4",
        "within the seal": b"HTTP/1.1 200 OK\r\nX-Almondnotch-Attempt-Id: ATTEMPT\r\n"
                           b"X-Almondnotch-Server-Seal: se",
        "after the headers": head + length,
        "after headers without a length": head,
        "within the blank line": head + length + b"\r",
        "before a body with a length": head + length + b"\r\n",
        "within a body with a length": head + length + b"\r\nNAME ATT",
        "within a body of HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + seal + length + b"\r\nNAME",
        "before the chunks": head + chunked + b"\r\n",
        "within a chunk size": head + chunked + b"\r\n1",
        "within a chunk": head + chunked + b"\r\n10\r\nNAME",
        "between chunks": head + chunked + b"\r\n4\r\nNAME\r\n",
        "within the last chunk": head + chunked + b"\r\n4\r\nNAME\r\n0\r\n",
        "within a trailer": head + chunked + b"\r\n4\r\nNAME\r\n0\r\nX-Trail",
    }


BROKEN_RESPONSES = broken_responses()


class Worker:
    """A fake worker that registers itself in the store. `mode` selects its behaviour:

    healthy         runs the request and sends a response with the seal header
    extra           sends the response twice
    extra-late      sends it a second time after 20 ms
    unframed        sends a response without a length and closes the connection
    unframed-reset  the same, but resets the connection
    unsealed        sends a response without the seal header
    reset           runs the request, then resets the connection without a response
    silent          the same, but only after 2 s
    failing         runs the request and responds with status 500
    shed            rejects the request without running it
    pausing         the same, and asks for no requests for PAUSE_SECONDS
    early           rejects it likewise, but before it has read the request body
    refusal-again   rejects the first request of a connection; writes this rejection once more before
                    it responds to each later one, which it runs
    unnamed-refusal-again  the same, with rejections that do not name their request
    broken          runs the request and sends the part of a response that `broken_response` holds, then
                    closes the connection, or resets it if `resets` is set
    odd-status      runs the request and sends a whole response whose status code is `odd_status`, on a
                    connection that it keeps open
    large           the same as healthy, with a body of LARGE_BYTES
    extra-half      sends the response and then half of it once more
    endless-head, endless-body, endless-noise  never stops sending header lines, chunks of a body, or
                    bytes that are no response, until the gateway closes the connection; also in
                    response to probes
    """

    PAUSE_SECONDS = 1.5
    LARGE_BYTES = 4_000_000
    ENDLESS = {"endless-head": (b"HTTP/1.1 200 X\r\n", b"X-More: " + b"x" * 500 + b"\r\n"),
               "endless-body": (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
                                b"1000\r\n" + b"x" * 4096 + b"\r\n"),
               "endless-noise": (b"", b"x" * 4096)}

    def __init__(self, store, name, service, zone="a", port=None):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.mode, self.service_time, self.slowdown, self.runs = "healthy", 0.0, 100, []
        self.headers = []
        # Says in all responses that it leaves.
        self.is_leaving = False
        # Identifier and time of each request, and of each rejection that asked for a pause.
        self.arrivals, self.pauses = [], []
        self.broken_response, self.resets = BROKEN_RESPONSES["within the status line"], False
        self.odd_status = "000"
        # Path of the requests that crash the worker as soon as they run.
        self.crashing_path = None
        self.is_up = True
        self.lock = threading.Lock()
        self.running = 0
        worker = self

        class WorkerHandler(Handler):
            def do_GET(self):
                worker.answer(self)

            do_POST = do_PUT = do_GET

        self.handler = WorkerHandler
        self.start()

    def start(self):
        """Starts a lifetime, at an address of its own, and registers it."""
        self.server = Server(self.handler)
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.register()

    def crash(self):
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
        self.server.crash()

    def register(self, state="ready"):
        self.store.put(f"servers/{self.name}", {
            "address": self.server.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 4},
            "status": {"state": state, "seq": 1, "warmupLeft": "0ms"}})

    def load(self):
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        return [("X-Almondnotch-Server-Load", f"{self.running},0,4,{self.slowdown}")] + leaving

    def answer(self, handler):
        if self.mode in self.ENDLESS:
            self._read(handler)
            self._send_endlessly(handler)
            return
        wanted = handler.headers.get("X-Almondnotch-Target-Instance", self.name)
        if wanted != self.name:
            self._read(handler)
            handler.reply(421, self._echo(handler) + [("X-Almondnotch-Instance-Id", self.name)])
            return
        if handler.path == "/health":
            handler.reply(200, [("X-Almondnotch-Instance-Id", self.name)] + self.load())
            return
        attempt = handler.headers["X-Almondnotch-Attempt-Id"]
        self.arrivals.append((attempt, time.monotonic()))
        if self.mode == "pausing":
            self._read(handler)
            self.pauses.append((attempt, time.monotonic()))
            handler.reply(503, self._echo(handler) + self.load() + [
                ("X-Almondnotch-Not-Executed", "1"), ("Retry-After", str(self.PAUSE_SECONDS))])
            return
        if self.mode == "early":
            # Rejects the request before its body is read. The body still arrives on the connection.
            self._refuse(handler)
            self._read(handler)
            return
        body = self._read(handler)
        if self.mode == "shed":
            self._refuse(handler)
            return
        if self.mode.endswith("refusal-again") and self._refuses_again(handler):
            return
        self._run(handler, body)

    def _send_endlessly(self, handler):
        head, repeated = self.ENDLESS[self.mode]
        handler.close_connection = True
        try:
            handler.wfile.write(head)
            while True:
                handler.wfile.write(repeated)
        except OSError:
            pass

    @staticmethod
    def _echo(handler):
        return [("X-Almondnotch-Attempt-Id", handler.headers["X-Almondnotch-Attempt-Id"])]

    def _refuse(self, handler):
        handler.reply(503, self._echo(handler) + [("X-Almondnotch-Not-Executed", "1")])

    def _refuses_again(self, handler):
        """Writes the first rejection of the connection. Returns true if it is for this request."""
        first = getattr(handler, "refusal", None)
        echo = [] if self.mode.startswith("unnamed") else self._echo(handler)
        handler.refusal = first or echo + [("X-Almondnotch-Not-Executed", "1")]
        handler.reply(503, handler.refusal)
        handler.wfile.flush()
        return first is None

    def _read(self, handler):
        return handler.rfile.read(int(handler.headers.get("Content-Length", 0)))

    def _run(self, handler, body):
        attempt = handler.headers["X-Almondnotch-Attempt-Id"]
        with self.lock:
            self.runs.append((attempt, handler.command, handler.path, body, time.monotonic()))
            self.headers.append(dict(handler.headers))
            self.running += 1
        if self.crashing_path == handler.path:
            self.crash()
        time.sleep(self.service_time)
        with self.lock:
            self.running -= 1
        head = [("X-Almondnotch-Attempt-Id", attempt),
                ("X-Almondnotch-Server-Seal", f"seal-{self.name}")] + self.load()
        text = f"{self.name} {attempt}".encode()
        if self.mode == "large":
            text = text.ljust(self.LARGE_BYTES, b"x")
        if self.mode == "reset":
            handler.reset()
        elif self.mode == "broken":
            handler.wfile.write(self.broken_response.replace(b"ATTEMPT", attempt.encode())
                                .replace(b"NAME", self.name.encode()))
            handler.wfile.flush()
            handler.close_connection = True
            if self.resets:
                time.sleep(0.02)
                handler.reset()
        elif self.mode == "silent":
            time.sleep(2)
            handler.reset()
        elif self.mode == "odd-status":
            handler.reply(self.odd_status, head, text)
        elif self.mode == "failing":
            handler.reply(500, head, text)
        elif self.mode == "unsealed":
            handler.reply(200, head[:1], text)
        elif self.mode == "unframed":
            handler.reply(200, head, text, framed=False)
            handler.close_connection = True
        elif self.mode == "unframed-reset":
            handler.reply(200, head, text, framed=False)
            handler.wfile.flush()
            time.sleep(0.05)
            handler.reset()
        else:
            handler.reply(200, head, text)
            if self.mode == "extra-half":
                handler.wfile.write(b"HTTP/1.1 200 X\r\nX-Almondnotch-Attempt-Id: " + attempt.encode())
            elif self.mode == "extra":
                handler.reply(200, head, text)
            elif self.mode == "extra-late":
                handler.wfile.flush()
                time.sleep(0.02)
                handler.reply(200, head, text)


def configuration(version, **extra_routes):
    """Returns a configuration with the routes /read/ (safe) and /book/ (unsafe). `extra_routes` adds
    or replaces routes."""
    def route(prefix, kind, service):
        return {"host": HOST, "prefix": prefix, "kind": kind, "timeout": "1500ms",
                "targetLatency": "500ms", "priority": 1, "service": service, "maxAttempts": 2}
    table = {"r-read": route("/read/", "safe", "reads"), "r-book": route("/book/", "unsafe", "books")}
    table.update(extra_routes)
    service = {"healthPath": "/health", "maxConns": 220, "protocol": "h1", "tls": False}
    return {"version": f"{version:08x}", "routes": table,
            "services": {"reads": service, "books": service},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}


class Gateway:
    """An almondnotchd process that listens on loopback addresses. On a small machine it has less of a
    processor than on others, and reads the store at its `small_server`."""

    def __init__(self, daemon, store, name, seeds=None, is_small=False):
        server, share = (store.small_server, 0.1) if is_small else (store.server, 0.5)
        self.entry_port, self.readiness_port, self.directory_port, self.peer_port, \
            self.operator_port = ports.reserve_ports(5)
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""[vm]
name = "{name}"
failure_domain = "a"
processor_share = {share}
[entry]
address = "127.0.0.1:{self.entry_port}"
[operator]
address = "127.0.0.1:{self.operator_port}"
[peer]
address = "127.0.0.1:{self.peer_port}"
seeds = "{seeds or ''}"
keys = "k1:0123456789abcdef"
[platform]
address = "{server.address}"
[fleet]
exchange_interval_ms = 200
gateways_assumed = 1
[routing]
# The retry budget has its own tests. Here it must never prevent the retry of a read.
retry_slack = 2000
configuration = "items"
directory_addresses = "127.0.0.1:{self.readiness_port},127.0.0.1:{self.directory_port}"
grace = "3s"
""")
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen(daemon + ["--settings", path], stdout=self.log,
                                        stderr=self.log)

    def get(self, port, target):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.get(self.readiness_port, "/v1/readiness")[0] == 200
        except OSError:
            return False

    def addresses(self):
        status, body = self.get(self.directory_port, f"/v1/resolve?name={HOST}&region=r&zone=a")
        return json.loads(body)["addresses"] if status == 200 else []

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def kill_and_clean_up(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def output(self):
        self.log.seek(0)
        return self.log.read().decode(errors="replace")


class Caller:
    """A caller that reuses one connection."""

    def __init__(self, port):
        self.port, self.connection = port, None

    def send(self, method, path, attempt, body=None, deadline=1500):
        """Returns (status, headers, body). Raises OSError or HTTPException without a response."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        try:
            self.connection.request(method, path, body, {
                "Host": HOST, "X-Almondnotch-Attempt-Id": attempt,
                "X-Almondnotch-Deadline-Remaining": str(deadline)})
            response = self.connection.getresponse()
            answer = response.status, response.headers, response.read()
        except (OSError, http.client.HTTPException):
            self.close()
            raise
        if response.headers.get("Connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def wait_for(condition, limit=10.0, message="the condition was not met within the time limit"):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(message)
        time.sleep(0.01)
