#!/usr/bin/env python3
"""Runs hosts before crowds of callers that send much and stop, one case after the other.
Usage: tests/callers/callers.py [CASE...], from the root of the repository."""
import collections
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import crowd
import processes

MEMORY = {"cpuShare": 0.5, "memoryMb": 64, "maxFds": 4100}
MANY_CONNECTIONS = {"cpuShare": 0.5, "memoryMb": 160, "maxFds": 4100}
FEW_DESCRIPTORS = {"cpuShare": 0.5, "memoryMb": 160, "maxFds": 400}
BODIES = {"max_body_bytes": 262144, "max_bodies_bytes": 8 * processes.MIB,
          "max_connections": 1000}
# What wagtailpassd needs by itself, with its sockets and heads, beside the bodies.
DAEMON_BYTES = 48 * processes.MIB

SAMPLES = 15  # after the last byte was sent
# What a host still has by then is kept.  Well under the idle time-outs: 15 s of
# wagtailpass-node, 30 s of wagtailpassd.
LEAVE_S = 6
SPARE_DESCRIPTORS = 32  # that a host may have opened meanwhile for its own calls
STOP_S = 20  # a host that has not ended by then hangs


def node(work):
    return processes.NodeHost(work, MEMORY)


def larger_node(work):
    return processes.NodeHost(work, MANY_CONNECTIONS)


def unconfigured(work):
    return processes.NodeHost(work, MEMORY, configured=False)


def few_descriptors(work):
    return processes.NodeHost(work, FEW_DESCRIPTORS)


def daemon(work):
    return processes.DaemonHost(work, BODIES)


def busy_daemon(work):
    return processes.BusyDaemonHost(work, BODIES)


def paired_daemon(work):
    return processes.PairedHost(work, BODIES)


def bodies(n, size):
    return lambda host: crowd.short(
        [crowd.whole_body(host.head % i, size) for i in range(n)], 1)


def chunks(n, size, chunk):
    return lambda host: crowd.short(
        [crowd.chunked_body(host.head % i, size, chunk) for i in range(n)], 8)


def door_chunks(n, size, chunk):
    """Bodies for a page that has none."""
    return lambda host: crowd.short(
        [crowd.chunked_body(host.page, size, chunk) for i in range(n)], 8)


def pipelined(n, requests, size, chunk):
    """Many whole requests on each connection."""
    return lambda host: [b"".join(
        crowd.chunked_body(host.head % (i * requests + k), size, chunk)
        for k in range(requests)) for i in range(n)]


def silent(n):
    """Begins of a frame, of which nothing more comes."""
    return lambda host: [b"\0\0"] * n


def heads(n, size):
    """Heads without an end; their last 200 bytes come one by one."""
    return lambda host: [(host.head % i + "X-Pad: ").encode() + b"x" * size
                         for i in range(n)]


def questions(n, size):
    return lambda host: [host.question.encode() * (size // len(host.question))
                         for _ in range(n)]


WHOLE = 1 << 20
Case = collections.namedtuple("Case", "host texts piece door returns beside stops",
                              defaults=(WHOLE, "callers", False, False, False))
HEADS = "head"  # a piece: the last bytes of a head come one by one
CASES = {
    "bodies-whole": Case(node, bodies(700, 250000)),
    "bodies-in-pieces": Case(node, bodies(700, 250000), 2000),
    "large-chunks": Case(node, chunks(700, 250000, 16000)),
    "tiny-chunks": Case(node, chunks(1200, 40000, 4)),
    "no-configuration": Case(unconfigured, bodies(700, 250000)),
    "heads-by-the-byte": Case(node, heads(2800, 15000), HEADS),
    "answers-unread": Case(node, questions(1000, 120000)),
    "descriptors": Case(few_descriptors, bodies(600, 1000)),
    "single-byte-chunks": Case(larger_node, chunks(1200, 30000, 1)),
    "single-byte-chunks-returning": Case(larger_node, chunks(1500, 30000, 1), returns=True),
    "large-chunks-returning": Case(larger_node, chunks(1500, 250000, 16000), returns=True),
    "pipelined": Case(node, pipelined(300, 200, 400, 4)),
    "readiness-chunks": Case(node, door_chunks(150, 250000, 16000), door="readiness"),
    "readiness-tiny-chunks": Case(node, door_chunks(150, 40000, 4), door="readiness"),
    "metrics-chunks": Case(node, door_chunks(150, 250000, 16000), door="metrics"),
    "readiness-silent": Case(node, silent(150), door="readiness"),
    "stop": Case(node, chunks(700, 250000, 16000), stops=True),
    "daemon-bodies-whole": Case(daemon, bodies(700, 250000)),
    "daemon-bodies-in-pieces": Case(daemon, bodies(700, 250000), 2000),
    "daemon-large-chunks": Case(daemon, chunks(700, 250000, 16000)),
    "daemon-tiny-chunks": Case(daemon, chunks(900, 40000, 4)),
    "daemon-single-byte-chunks": Case(daemon, chunks(900, 30000, 1)),
    "daemon-large-chunks-returning": Case(daemon, chunks(1500, 250000, 16000), returns=True),
    "daemon-tiny-chunks-returning": Case(daemon, chunks(1500, 40000, 4), returns=True),
    "daemon-heads-by-the-byte": Case(daemon, heads(1500, 12000), HEADS),
    "daemon-pipelined": Case(busy_daemon, pipelined(300, 200, 400, 4)),
    "daemon-operators-chunks": Case(daemon, door_chunks(700, 250000, 16000),
                                    door="operators"),
    "daemon-peers-silent": Case(paired_daemon, silent(150), door="peers", returns=True,
                                beside=True),
    "daemon-stop": Case(daemon, chunks(700, 250000, 16000), stops=True),
}


class HeadCrowd(crowd.Crowd):
    def __init__(self, port, texts):
        super().__init__(port, texts, None)

    def send(self, sample):
        texts, self.texts, self.piece = self.texts, [t[:-200] for t in self.texts], WHOLE
        super().send(sample)
        for caller, text in zip(self.callers, texts):
            caller.text, caller.piece = text, 1
        for _ in range(200):
            for caller in self.callers:
                if not caller.is_done():
                    caller.send()
        sample()


class Watch:
    """The most that HOST has held."""

    def __init__(self, host):
        self.host, self.held, self.descriptors = host, 0, 0

    def sample(self):
        if self.host.is_alive():
            self.held = max(self.held, self.host.queued() + self.host.resident("VmRSS:"))
            self.descriptors = max(self.descriptors, self.host.descriptors())


def make_crowd(case, host):
    port, texts = host.doors()[case.door], case.texts(host)
    if case.piece == HEADS:
        return HeadCrowd(port, texts)
    kind = crowd.ReturningCrowd if case.returns else crowd.Crowd
    return kind(port, texts, case.piece)


def send_all(callers, watch):
    callers.send(watch.sample)
    for _ in range(SAMPLES):
        time.sleep(0.1)
        watch.sample()


def check_beside(name, host, callers, watch):
    """Checks while the crowd keeps coming."""
    checked = threading.Event()
    thread = threading.Thread(target=callers.send, args=(watch.sample, checked.is_set))
    thread.start()
    time.sleep(crowd.STAY_S)
    try:
        return check(name, host, watch)
    finally:
        checked.set()
        thread.join()


def run(name):
    """Returns what was wrong in case NAME, and prints its figures."""
    case = CASES[name]
    work = tempfile.mkdtemp()
    host = case.host(work)
    try:
        host.begin()
        watch = Watch(host)
        began = host.descriptors()
        callers = make_crowd(case, host)
        if case.beside:
            faults = check_beside(name, host, callers, watch)
        else:
            send_all(callers, watch)
            if case.stops:
                return check_stop(name, host)
            faults = check(name, host, watch)
        callers.close()
        faults += check_after(host, began)
    finally:
        host.end()
        shutil.rmtree(work)
    return faults


def bound(host):
    """The bytes that HOST may hold, from its settings."""
    if "memoryMb" in host.limits:
        return host.limits["memoryMb"] * processes.MIB
    return DAEMON_BYTES + host.limits["max_bodies_bytes"]


def check(name, host, watch):
    if not host.is_alive():
        return ["the process has ended"]
    limits = host.limits
    memory = bound(host)
    most = limits.get("maxFds", limits.get("max_connections", 0) + 200)
    serves, watched = host.serves(), host.is_watched()
    held = max(watch.held, host.resident("VmHWM:"))
    print("%s: holds %.1f MB of %.1f, descriptors %d of %d, ordinary request %s" % (
        name, held / 1e6, memory / 1e6, watch.descriptors, most,
        "answered" if serves else "not answered"))
    return ([] if held <= memory else ["memory"]) + (
        [] if watch.descriptors <= most else ["descriptors"]) + (
        [] if serves else ["an ordinary request is not answered"]) + (
        [] if watched else ["a door beside the callers' is not answered"]) + (
        [] if host.is_alive() else ["the process has ended"])


def check_after(host, began):
    """Memory and descriptors go back once the crowd has left: half of the memory that was
    allowed, and as many descriptors as at the beginning, remain at most."""
    most = bound(host) // 2

    def is_free():
        return not host.is_alive() or (
            host.resident("VmRSS:") <= most and
            host.descriptors() <= began + SPARE_DESCRIPTORS + host.undelivered_ends())

    try:
        processes.until(is_free, "kept", LEAVE_S)
    except RuntimeError:
        return ["%.1f MB and %d descriptors (%d at the beginning) are kept afterwards" % (
            host.resident("VmRSS:") / 1e6, host.descriptors(), began)]
    return [] if host.is_alive() else ["the process has ended"]


def check_stop(name, host):
    """A host that is told to stop before a crowd that stays ends, and ends well."""
    if not host.is_alive():
        return ["the process has ended"]
    host.host.send_signal(signal.SIGTERM)
    try:
        code = host.host.wait(STOP_S)
    except subprocess.TimeoutExpired:
        return ["the process does not end"]
    print("%s: ended with code %d" % (name, code))
    return [] if code == 0 else ["ended with code %d" % code]


def main():
    failed = []
    for name in sys.argv[1:] or CASES:
        faults = run(name)
        if faults:
            print("%s: FAILED: %s" % (name, ", ".join(faults)))
            failed.append(name)
        sys.stdout.flush()
    print("callers: %s" % ("failed: " + " ".join(failed) if failed else "ok"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
