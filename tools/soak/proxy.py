"""A loopback proxy whose links can be delayed, reset, cut one way or both."""
import asyncio


class Link:
    """One listening port that forwards to another, and what is wrong with
    it."""

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.delay = 0.0  # seconds, each way
        self.silent_out = False  # bytes to the target are swallowed
        self.silent_in = False  # bytes from the target are swallowed
        self.refuse = False
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    async def stop(self):
        self.server.close()
        self.reset()

    def heal(self):
        """Ends every fault.  Connections that lost bytes are reset."""
        lost = self.silent_out or self.silent_in
        self.delay = 0.0
        self.silent_out = self.silent_in = self.refuse = False
        if lost:
            self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def accept(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "silent_out"),
                             self.pump(far_reader, writer, "silent_in"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, silent):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not getattr(self, silent):
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()
