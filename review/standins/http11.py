"""A small HTTP/1.1 server and client on asyncio, for the review's stand-ins."""
import asyncio
import json
import socket
import struct


class Request:
    """One request as a server has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


def reset(writer):
    """Closes a connection with a reset, as a process that crashes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """Serves HANDLER, which returns (status, object), or None for no answer:
    the connection then stays open and nothing more is said on it."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


class Connection:
    """A client's connection, kept open until the server closes it."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def call(self, method, path, headers=None, value=None, timeout=5.0):
        """Returns (status, headers, object); raises OSError, EOFError or
        asyncio.TimeoutError when there is no whole answer."""
        data = json.dumps(value).encode() if value is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % item for item in (headers or {}).items()]
        if data:
            lines += ["Content-Type: application/json", "Content-Length: %d" % len(data)]
        if self.writer is None:
            await self.open()
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        first, answered, body = await asyncio.wait_for(read_message(self.reader), timeout)
        return int(first.split(" ")[1]), answered, json.loads(body) if body else None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None
