"""A loopback proxy whose links can be delayed, reset, cut one way or both."""
import asyncio
import socket

MOST_ON_THE_WAY = 64  # pieces that a connection holds in each direction
RETRY_S = 0.01  # between attempts to reach a target that has crashed silently


class Link:
    """One listening port that forwards to another, and what is wrong with
    it, which stands in LEDGER as trouble of SUBJECT."""

    def __init__(self, port, target, ledger, subject, latency_ms=0):
        self.ledger, self.subject = ledger, subject
        self.latency = latency_ms / 1000  # seconds, each way, always
        self.kind = "link %d" % port
        self.port = port
        self.target = target
        self.delay = 0.0  # seconds more, each way
        self.silent_out = False  # bytes to the target are swallowed
        self.silent_in = False  # bytes from the target are swallowed
        self.cut = None  # "silent" or "refuse": what becomes of connections
        self.down = False  # nobody listens at the target
        self.writers = set()
        self.crashes = 0  # silent ones: connections from before the last carry nothing
        self.awaits_target = False  # new connections wait until the target listens
        self.server = None
        self.hole = []  # sockets that keep a full queue, so that calls to it hang
        self.lock = asyncio.Lock()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    async def stop(self):
        await self.listen_as("refuse")
        self.reset()

    async def set_down(self, down):
        """Follows a target that has closed its port, or opened it again."""
        self.down = down
        await self.listen_as(self.cut or ("refuse" if down else None))

    async def cut_off(self, kind):
        """Cuts both ways: "silent", "refuse" (at once), or "one_way": what
        the target says is lost."""
        self.ledger.begin(self.subject, self.kind)
        self.silent_in = kind in ("silent", "one_way")
        self.silent_out = kind == "silent"
        self.cut = None if kind == "one_way" else kind
        await self.set_down(self.down)
        if kind == "refuse":
            self.reset()

    def lose_target(self):
        """Plays a target whose machine is gone without a word.  New connections
        wait until it listens again; open ones are silent, and end once the
        caller sends something to a machine that is back."""
        self.ledger.begin(self.subject, self.kind)
        self.crashes += 1
        self.awaits_target = True

    async def heal(self):
        """Ends every fault.  Connections that lost bytes are reset."""
        lost = self.silent_out or self.silent_in
        self.delay = 0.0
        self.awaits_target = False
        self.silent_out = self.silent_in = False
        self.cut = None
        await self.set_down(self.down)
        if lost:
            self.reset()
        self.ledger.end(self.subject, self.kind)

    async def listen_as(self, cut):
        async with self.lock:
            if self.server:
                self.server.close()
            for s in self.hole:
                s.close()
            self.server, self.hole = None, []
            if cut == "silent":
                self.dig_hole()
            elif cut is None:
                await self.start()

    def dig_hole(self):
        """Listens with a queue that is full: calls get no answer at all."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self.hole = [listener]
        for _ in range(2):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(("127.0.0.1", self.port))
            self.hole.append(caller)

    def slow_down(self, delay):
        self.ledger.begin(self.subject, self.kind)
        self.delay = delay

    def reset(self):
        self.ledger.at(self.subject, self.kind)
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await self.reach_target()
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "silent_out", self.crashes),
                             self.pump(far_reader, writer, "silent_in", self.crashes))
        for w in writer, far_writer:
            w.close()
        self.writers -= {writer, far_writer}

    async def reach_target(self):
        while True:
            try:
                opened = await asyncio.open_connection("127.0.0.1", self.target)
                self.awaits_target = False
                return opened
            except OSError:
                if not self.awaits_target:
                    raise
            await asyncio.sleep(RETRY_S)

    async def pump(self, reader, writer, silent, crashes):
        """Carries bytes one way: each piece comes out its delay after it went in.
        The connection was opened after the target's crash number CRASHES."""
        on_the_way = asyncio.Queue(MOST_ON_THE_WAY)
        delivery = asyncio.create_task(self.deliver(on_the_way, writer, silent, crashes))
        now = asyncio.get_running_loop().time
        try:
            while data := await reader.read(65536):
                if crashes != self.crashes and not self.awaits_target:
                    break
                await on_the_way.put((now() + self.latency + self.delay, data))
        except (ConnectionError, OSError):
            pass
        await on_the_way.put((now() + self.latency + self.delay, None))
        await delivery
        if crashes == self.crashes:
            writer.close()

    async def deliver(self, on_the_way, writer, silent, crashes):
        """Writes what is due, up to the end that None marks.  What can't be
        written any more is taken off the way all the same."""
        now = asyncio.get_running_loop().time
        while True:
            due, data = await on_the_way.get()
            if data is None:
                return
            await asyncio.sleep(max(0, due - now()))
            try:
                if crashes == self.crashes and not getattr(self, silent):
                    writer.write(data)
                    await writer.drain()
            except (ConnectionError, OSError):
                writer.transport.abort()
