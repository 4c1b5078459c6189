"""Callers of the cases of the second review."""
import http.client
import threading
import time

import standins


class Answer:
    """What a caller saw of one request: `status` is None if it got no answer."""

    def __init__(self, attempt, sent_at):
        self.attempt, self.sent_at = attempt, sent_at
        self.status, self.headers, self.body = None, {}, b""
        self.ended_at, self.failure = None, None

    def __str__(self):
        seal = self.headers.get("X-Almondnotch-Server-Seal")
        end = self.failure or f"{self.status} seal={seal}"
        return f"{self.attempt} sent at {self.sent_at:.3f} ended at {self.ended_at:.3f}: {end}"


class Traffic:
    """Callers that send requests at a steady rate, each on a connection that it keeps. Attempt
    identifiers are unique. ATTEMPT in the path stands for the identifier."""

    def __init__(self, record, ports, method, path, deadline_ms=1500, body=None):
        self.record, self.ports, self.method, self.path = record, ports, method, path
        self.deadline_ms, self.body = deadline_ms, body
        self.answers, self.lock, self.threads = [], threading.Lock(), []
        self.stopping = threading.Event()

    def start(self, name, callers, interval):
        """Starts this many callers, each of which sends a request every `interval` seconds, or as soon
        as the one before has ended."""
        for index in range(callers):
            port = self.ports[index % len(self.ports)]
            thread = threading.Thread(target=self._run, daemon=True,
                                      args=(f"{name}-{index}", port, interval))
            self.threads.append(thread)
            thread.start()

    def _run(self, name, port, interval):
        caller, count = standins.Caller(port), 0
        due = time.monotonic() + interval * (hash(name) % 100) / 100
        while not self.stopping.wait(max(0.0, due - time.monotonic())):
            due = max(due + interval, time.monotonic())
            count += 1
            self.send(caller, f"{name}-{count}")
        caller.close()

    def send(self, caller, attempt):
        """Sends one request and waits for its end."""
        answer = Answer(attempt, self.record.now())
        with self.lock:
            self.answers.append(answer)
        try:
            answer.status, answer.headers, answer.body = caller.send(
                self.method, self.path.replace("ATTEMPT", attempt), attempt, self.body, self.deadline_ms)
        except (OSError, http.client.HTTPException) as failure:
            answer.failure = repr(failure)
        answer.ended_at = self.record.now()
        self.record.add(f"caller   {answer}")
        return answer

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(10)

    def ended(self):
        with self.lock:
            return [answer for answer in self.answers if answer.ended_at is not None]
