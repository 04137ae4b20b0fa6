"""The soak's callers.  They keep their connections open and use each until
the process at its other end is gone; some close theirs after a request."""
import asyncio
import re

from ledger import now_ms

TOKEN = "soak-token"
DEADLINE_MS = 3000
GIVE_UP_S = 3.6  # a little later than the deadline that requests name
ONCE_SHARE = 0.3  # of callers that use a connection for one request
TICK_S = 0.02
COMPLETE, EOF, PARTIAL, RESET, GIVEN_UP, NOT_SENT = (
    "complete", "eof", "partial", "reset", "given up", "not sent")


class Request:
    """What became of one request.  EOF: the host closed the connection after
    it had read all that was sent, as a close with bytes unread shows as a
    reset."""

    def __init__(self, host, method, job=None):
        self.host, self.method, self.job = host, method, job
        self.sent = self.ended = now_ms()
        self.how, self.status, self.body, self.lag = NOT_SENT, 0, b"", 0

    def __str__(self):
        return "%s %s at %s, sent at %d, %s %d after %d ms" % (
            self.method, self.job, self.host, self.sent, self.how, self.status,
            self.ended - self.sent)

    def state(self):
        found = re.search(rb'"state": ?"(\w+)"', self.body)
        return found.group(1).decode() if self.status == 200 and found else None


class Lag:
    """How late this process itself looks at its sockets."""

    def __init__(self):
        self.gaps = []  # (from, to)

    async def run(self):
        last = now_ms()
        while True:
            await asyncio.sleep(TICK_S)
            now = now_ms()
            if now - last > 2 * TICK_S * 1000:
                self.gaps.append((last, now))
            last = now

    def between(self, since, until):
        """Returns the longest time without a look from SINCE to UNTIL."""
        return max([b - a for a, b in self.gaps[-200:] if a <= until and b >= since] or
                   [int(2 * TICK_S * 1000)])


class Connection(asyncio.Protocol):
    """One connection, with at most one request on its way."""

    def __init__(self):
        self.transport = self.answer = None
        self.buffer = b""
        self.over = None  # EOF or RESET once the other end is gone

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if found and length and len(body) >= int(length.group(1)):
            self.buffer = b""
            self.settle((COMPLETE, int(head.split()[1]), body))

    def eof_received(self):
        self.finish(EOF)

    def connection_lost(self, exc):
        self.finish(RESET if exc else EOF)

    def finish(self, how):
        self.over = self.over or how
        self.settle((PARTIAL if self.buffer else self.over, 0, b""))

    def settle(self, answer):
        if self.answer and not self.answer.done():
            self.answer.set_result(answer + (now_ms(),))

    async def ask(self, text):
        """Sends a request, returns how it ended, status, body and time."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(text)
        try:
            return await asyncio.wait_for(self.answer, GIVE_UP_S)
        except TimeoutError:
            self.close()
            return GIVEN_UP, 0, b"", now_ms()

    def close(self):
        self.over = self.over or EOF
        self.transport.abort()


async def connect(port):
    _, connection = await asyncio.get_running_loop().create_connection(
        Connection, "127.0.0.1", port)
    return connection


def request_text(method, path, body="", once=False, token=TOKEN):
    return ("%s %s HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n"
            "%sContent-Length: %d\r\n\r\n%s" % (
                method, path, token, DEADLINE_MS, "Connection: close\r\n" if once else "",
                len(body), body)).encode()


async def fetch(port, method, path, body="", limit=5.0):
    """One request on a connection of its own.  Returns the status, 0 when no
    whole answer came, and the answer."""
    try:
        async with asyncio.timeout(limit):
            connection = await connect(port)
            _, status, answer, _ = await connection.ask(request_text(method, path, body, True))
            connection.close()
            return status, answer
    except (OSError, TimeoutError):
        return 0, b""


class Caller:
    """A client.  It goes to the host that PICK names whenever it has no open
    connection; all that becomes of its requests is put into REQUESTS."""

    def __init__(self, pick, requests, lag, once=False):
        self.pick, self.requests, self.lag, self.once = pick, requests, lag, once
        self.connection = self.host = None

    async def open(self):
        """Connects if needed.  Returns whether there is a connection."""
        if self.connection and not self.connection.over:
            return True
        self.host, port = self.pick()
        try:
            self.connection = await connect(port)
        except OSError:
            self.connection = None
        return self.connection is not None

    async def ask(self, method, path, body="", job=None):
        """Sends a request about JOB."""
        opened = await self.open()
        request = Request(self.host, method, job.name)
        if opened:
            request.how, request.status, request.body, request.ended = (
                await self.connection.ask(
                    request_text(method, path, body, self.once, job.token)))
            request.lag = self.lag.between(request.sent, request.ended)
            self.requests.append(request)
            if self.once:
                self.connection.close()
        return request

    def close(self):
        if self.connection:
            self.connection.close()


class Callers:
    """A bounded number of callers, of whom each request takes a free one."""

    def __init__(self, callers):
        self.all = callers
        self.free = asyncio.Queue()
        for caller in callers:
            self.free.put_nowait(caller)

    async def ask(self, *request, **about):
        caller = await self.free.get()
        try:
            return await caller.ask(*request, **about)
        finally:
            self.free.put_nowait(caller)
