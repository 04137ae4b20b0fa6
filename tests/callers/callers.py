#!/usr/bin/env python3
"""Runs hosts before crowds of callers that send much and stop, one case after the other.
Usage: tests/callers/callers.py [CASE...], from the root of the repository."""
import shutil
import sys
import tempfile
import time

import crowd
import processes

MEMORY = {"cpuShare": 0.5, "memoryMb": 64, "maxFds": 4100}
FEW_DESCRIPTORS = {"cpuShare": 0.5, "memoryMb": 160, "maxFds": 400}
BODIES = {"max_body_bytes": 262144, "max_bodies_bytes": 8 * processes.MIB,
          "max_connections": 1000}
# What wagtailpassd needs by itself, with its sockets and heads, beside the bodies.
DAEMON_BYTES = 48 * processes.MIB

SAMPLES = 15  # after the last byte was sent
LEAVE_S = 4  # memory that a host still has by then is kept


def node(work):
    return processes.NodeHost(work, MEMORY)


def unconfigured(work):
    return processes.NodeHost(work, MEMORY, configured=False)


def few_descriptors(work):
    return processes.NodeHost(work, FEW_DESCRIPTORS)


def daemon(work):
    return processes.DaemonHost(work, BODIES)


def bodies(n, size):
    return lambda host: crowd.short(
        [crowd.whole_body(host.head % i, size) for i in range(n)], 1)


def chunks(n, size, chunk):
    return lambda host: crowd.short(
        [crowd.chunked_body(host.head % i, size, chunk) for i in range(n)], 8)


def heads(n, size):
    """Heads without an end; their last 200 bytes come one by one."""
    return lambda host: [(host.head % i + "X-Pad: ").encode() + b"x" * size
                         for i in range(n)]


def questions(n, size):
    return lambda host: [host.question.encode() * (size // len(host.question))
                         for _ in range(n)]


WHOLE = 1 << 20
# name: (host, texts of the crowd, bytes sent at once).
CASES = {
    "bodies-whole": (node, bodies(700, 250000), WHOLE),
    "bodies-in-pieces": (node, bodies(700, 250000), 2000),
    "large-chunks": (node, chunks(700, 250000, 16000), WHOLE),
    "tiny-chunks": (node, chunks(1200, 40000, 4), WHOLE),
    "no-configuration": (unconfigured, bodies(700, 250000), WHOLE),
    "heads-by-the-byte": (node, heads(2800, 15000), "head"),
    "answers-unread": (node, questions(1000, 120000), WHOLE),
    "descriptors": (few_descriptors, bodies(600, 1000), WHOLE),
    "daemon-bodies-whole": (daemon, bodies(700, 250000), WHOLE),
    "daemon-bodies-in-pieces": (daemon, bodies(700, 250000), 2000),
    "daemon-large-chunks": (daemon, chunks(700, 250000, 16000), WHOLE),
    "daemon-tiny-chunks": (daemon, chunks(900, 40000, 4), WHOLE),
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


def run(name):
    """Returns what was wrong in case NAME, and prints its figures."""
    make_host, texts, piece = CASES[name]
    work = tempfile.mkdtemp()
    host = make_host(work)
    held, descriptors = [0], [0]

    def sample():
        if host.is_alive():
            held.append(host.queued() + host.resident("VmRSS:"))
            descriptors.append(host.descriptors())

    try:
        host.begin()
        callers = (HeadCrowd(host.port, texts(host)) if piece == "head"
                   else crowd.Crowd(host.port, texts(host), piece))
        callers.send(sample)
        for _ in range(SAMPLES):
            time.sleep(0.1)
            sample()
        faults = check(name, host, max(held), max(descriptors))
        callers.close()
        faults += check_after(host)
    finally:
        host.end()
        shutil.rmtree(work)
    return faults


def bound(host):
    """The bytes that HOST may hold, from its settings."""
    if "memoryMb" in host.limits:
        return host.limits["memoryMb"] * processes.MIB
    return DAEMON_BYTES + host.limits["max_bodies_bytes"]


def check(name, host, held, descriptors):
    if not host.is_alive():
        return ["the process has ended"]
    limits = host.limits
    memory = bound(host)
    most = limits.get("maxFds", limits.get("max_connections", 0) + 200)
    serves, watched = host.serves(), host.is_watched()
    held = max(held, host.resident("VmHWM:"))
    print("%s: holds %.1f MB of %.1f, descriptors %d of %d, ordinary request %s" % (
        name, held / 1e6, memory / 1e6, descriptors, most,
        "answered" if serves else "not answered"))
    return ([] if held <= memory else ["memory"]) + (
        [] if descriptors <= most else ["descriptors"]) + (
        [] if serves else ["an ordinary request is not answered"]) + (
        [] if watched else ["readiness or metrics is not answered"]) + (
        [] if host.is_alive() else ["the process has ended"])


def check_after(host):
    """Memory goes back once the crowd has left: half of what was allowed remains at most."""
    most = bound(host) // 2
    try:
        processes.until(lambda: not host.is_alive() or host.resident("VmRSS:") <= most, "kept",
                        LEAVE_S)
    except RuntimeError:
        return ["%.1f MB are kept afterwards" % (host.resident("VmRSS:") / 1e6)]
    return []


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
