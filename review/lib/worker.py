"""A worker as a process of its own, so that a script can crash it with SIGKILL.

Usage: worker.py NAME PORT SLOTS SERVICE_MS [GARBLED_SHARE]

It speaks what the users' pages say of workers: it runs `SLOTS` requests at a time, queues as many
more, rejects others with 503 and X-Almondnotch-Not-Executed, answers 421 to a request for another
instance, drops a request whose connection closes, tells its load, and seals its answers. A request
whose path contains /error/ is answered with a sealed 500. It writes one line for each request that
it begins to run to its standard output: the time (CLOCK_MONOTONIC), the word "runs" and the
identifier of the request. PORT 0 takes a free port; the first line it writes names the port.

In periods of 5 s with pauses of 1 s between them, it sends additional bytes on the connection after
the share GARBLED_SHARE of its answers, late: the whole answer once more when the next request has
arrived, and up to 60 ms later the beginning of the answer, 1 to 64 bytes. It then writes the word
"garbles" with the identifier of that answer.
"""
import asyncio
import random
import sys
import time

NAME, PORT, SLOTS, SERVICE_MS = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
GARBLED_SHARE = float(sys.argv[5]) if len(sys.argv) > 5 else 0.0
# How long the worker waits for the next request of the connection, and the greatest delay and length
# of the part.
NEXT_REQUEST_S, PART_DELAY_S, PART_BYTES = 1.0, 0.06, 64
GARBLING_S, PAUSE_S = 5.0, 1.0
STARTED = time.monotonic()


def garbles():
    is_period = (time.monotonic() - STARTED) % (GARBLING_S + PAUSE_S) < GARBLING_S
    return is_period and random.random() < GARBLED_SHARE


class Worker:
    def __init__(self):
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        # For each connection, whether a request has arrived since the last answer.
        self.arrived = {}
        self.tasks = set()

    def load(self):
        return f"X-Almondnotch-Server-Load: {self.running},{self.waiting},{SLOTS},100\r\n"

    async def serve(self, reader, writer):
        self.arrived[writer] = asyncio.Event()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.arrived[writer].set()
                line, *rows = head.decode("latin-1").split("\r\n")
                _, path, _ = line.split(" ")
                fields = dict((name.lower(), value.strip())
                              for name, value in (row.split(":", 1) for row in rows if row))
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.answer(reader, writer, path, fields)
        except (OSError, ValueError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.arrived[writer]
            writer.close()

    async def answer(self, reader, writer, path, fields):
        attempt = fields.get("x-almondnotch-attempt-id", "")
        echo = f"X-Almondnotch-Attempt-Id: {attempt}\r\n" if attempt else ""
        if fields.get("x-almondnotch-target-instance", NAME) != NAME:
            self.reply(writer, "421 Misdirected Request",
                       echo + f"X-Almondnotch-Instance-Id: {NAME}\r\n")
        elif path == "/health":
            self.reply(writer, "200 OK", f"X-Almondnotch-Instance-Id: {NAME}\r\n" + self.load())
        elif self.waiting >= SLOTS:
            self.reply(writer, "503 Service Unavailable",
                       echo + "X-Almondnotch-Not-Executed: 1\r\n" + self.load())
        else:
            self.waiting += 1
            await self.slots.acquire()
            self.waiting -= 1
            try:
                await self.run(reader, writer, path, attempt, echo)
            finally:
                self.slots.release()

    async def run(self, reader, writer, path, attempt, echo):
        print(f"{time.monotonic():.6f} runs {attempt}", flush=True)
        self.running += 1
        try:
            await asyncio.sleep(SERVICE_MS / 1000)
        finally:
            self.running -= 1
        if reader.at_eof():
            raise EOFError
        status = "500 Internal Server Error" if "/error/" in path else "200 OK"
        sent = self.reply(writer, status, echo + f"X-Almondnotch-Server-Seal: seal-{NAME}\r\n"
                          + self.load(), f"{NAME} {attempt}")
        if garbles():
            print(f"{time.monotonic():.6f} garbles {attempt}", flush=True)
            task = asyncio.create_task(self.send_late(writer, sent))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_late(self, writer, answer):
        """Sends the answer again, and a part of it after that."""
        arrived = self.arrived.get(writer)
        if arrived is None:
            return
        arrived.clear()
        try:
            await asyncio.wait_for(arrived.wait(), NEXT_REQUEST_S)
        except asyncio.TimeoutError:
            return
        writer.write(answer)
        await asyncio.sleep(random.uniform(0, PART_DELAY_S))
        writer.write(answer[:random.randint(1, PART_BYTES)])

    @staticmethod
    def reply(writer, status, fields, body=""):
        answer = (f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n{body}"
                  .encode("latin-1"))
        writer.write(answer)
        return answer


async def main():
    server = await asyncio.start_server(Worker().serve, "127.0.0.1", PORT, backlog=256)
    print(f"port {server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


asyncio.run(main())
