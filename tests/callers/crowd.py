"""A crowd of callers on loopback, each of which sends a text and then stays open."""
import random
import selectors
import socket
import time

HOST = "127.0.0.1"
SEND_S = 40  # a crowd that has not sent all by then is stopped there
STAY_S = 1.5  # of a caller that comes again
RETURN_S = 10
QUIET_S = 1.5  # nothing more is taken for so long: the rest will not be


class Caller:
    """Sends TEXT in pieces of PIECE bytes and reads nothing."""

    def __init__(self, port, text, piece):
        self.text, self.piece, self.sent, self.closed = text, piece, 0, False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.socket.connect_ex((HOST, port))

    def send(self):
        """Sends a piece; returns how much of it was taken."""
        try:
            n = self.socket.send(self.text[self.sent:self.sent + self.piece])
        except BlockingIOError:
            return 0
        except OSError:
            self.closed = True
            return 0
        self.sent += n
        return n

    def is_done(self):
        return self.closed or self.sent == len(self.text)


class Crowd:
    def __init__(self, port, texts, piece):
        self.port, self.texts, self.piece = port, texts, piece
        self.callers = []

    def send(self, sample):
        """Sends what the host takes, and calls SAMPLE as it does."""
        selector = selectors.DefaultSelector()
        for text in self.texts:
            caller = Caller(self.port, text, self.piece)
            self.callers.append(caller)
            selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        began = took = looked = time.monotonic()
        while selector.get_map() and time.monotonic() < min(began + SEND_S, took + QUIET_S):
            for key, _ in selector.select(0.1):
                if key.data.send() > 0:
                    took = time.monotonic()
                if key.data.is_done():
                    selector.unregister(key.fileobj)
            if time.monotonic() > looked + 0.2:
                sample()
                looked = time.monotonic()
        selector.close()
        sample()

    def close(self):
        for caller in self.callers:
            caller.socket.close()


class ReturningCrowd(Crowd):
    """Each of its callers leaves STAY_S after it has come, and comes again at once."""

    def send(self, sample, condition=None):
        """Keeps coming for RETURN_S, or until CONDITION comes true."""
        selector = selectors.DefaultSelector()
        rng = random.Random(2)
        for text in self.texts:
            caller = Caller(self.port, text, self.piece)
            caller.until = time.monotonic() + STAY_S * rng.uniform(0.5, 1)
            self.callers.append(caller)
            selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        end = time.monotonic() + RETURN_S
        looked = 0
        while not condition() if condition else time.monotonic() < end:
            for key, _ in selector.select(0.05):
                key.data.send()
                if key.data.is_done():
                    selector.unregister(key.fileobj)
            now = time.monotonic()
            for i, caller in enumerate(self.callers):
                if now > caller.until:
                    self.callers[i] = self.replace(caller, selector, now)
            if now > looked + 0.2:
                sample()
                looked = now
        selector.close()
        sample()

    def replace(self, caller, selector, now):
        if not caller.is_done():
            selector.unregister(caller.socket)
        caller.socket.close()
        fresh = Caller(self.port, caller.text, self.piece)
        fresh.until = now + STAY_S
        selector.register(fresh.socket, selectors.EVENT_WRITE, fresh)
        return fresh


def whole_body(head, size):
    return (head + "Content-Length: %d\r\n\r\n" % size).encode() + b"x" * size


def chunked_body(head, size, chunk):
    text = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    return ((head + "Transfer-Encoding: chunked\r\n\r\n").encode() + text * (size // chunk) +
            b"0\r\n\r\n")


def short(texts, missing):
    """Most of TEXTS, as chosen by a fixed seed, lack their last MISSING bytes."""
    rng = random.Random(1)
    return [text[:-missing] if rng.random() < 0.95 else text for text in texts]
