"""The soak's processes: started, signalled and ended by their own ids."""
import asyncio
import json
import os
import signal
import socket
import time

from ledger import now_ms
from proxy import Link

BUILD = os.environ.get("BUILD", "build")
HOST_PORTS = 10


class Process:
    """A program of ours.  What is done to it stands in LEDGER."""

    def __init__(self, name, argv, log, ledger):
        self.name, self.argv, self.log, self.ledger = name, argv, log, ledger
        self.subject = name  # of its troubles
        self.process = None
        self.stopped = False
        self.told_to_end = False
        self.own_ends = []  # when it was found to have ended by itself
        self.lock = asyncio.Lock()

    async def start(self):
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *self.argv, stdout=out, stderr=out)
        self.stopped = self.told_to_end = False
        self.ledger.end(self.subject, "down")
        self.ledger.end(self.subject, "term")
        self.ledger.end(self.subject, "stop")

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if not self.alive():
            return
        self.process.send_signal(number)
        if number == signal.SIGSTOP:
            self.stopped = True
            self.ledger.begin(self.subject, "stop")
        elif number == signal.SIGCONT:
            self.stopped = False
            self.ledger.end(self.subject, "stop")
        elif number == signal.SIGTERM:
            self.told_to_end = True
            self.ledger.begin(self.subject, "term")
        elif number == signal.SIGKILL:
            self.told_to_end = True
            self.ledger.begin(self.subject, "down")
        elif number == signal.SIGHUP:
            self.ledger.at(self.subject, "hup")

    def go_on(self):
        if self.stopped:
            self.signal(signal.SIGCONT)

    async def revive(self):
        async with self.lock:
            self.go_on()
            if self.alive():
                return
            if not self.told_to_end:
                self.own_ends.append(now_ms())
                self.ledger.begin(self.subject, "down")
            await self.start()

    async def end(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def terminate(self):
        """Has the process end as the platform does: told to, and killed only
        after the time of grace."""
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), self.ledger.bounds["graceS"])
        except TimeoutError:
            process.kill()
            await process.wait()


class Runner(Process):
    """The machine of a runner, or of a rack of them that share their faults:
    one life after the other, each with its own log.  Hosts reach each runner by
    a link, all of them reach the store by another."""

    def __init__(self, ports, index, first, place, ledger):
        """The runners' ports are PLACE's from number FIRST on."""
        super().__init__("w%d" % index, [], "", ledger)
        self.ports, self.index, self.first, self.place = ports, index, first, place
        self.subject = "runner %d" % index
        self.links = [Link(ports.runner_link(first + i), ports.runner(first + i), ledger,
                           self.subject, place.latency_ms) for i in range(place.size)]
        self.store_link = Link(ports.runner_store(index), ports.store, ledger, self.subject,
                               place.latency_ms)
        self.lives = []  # [id, log, time of its kill or None]
        self.drained_at = 0.0
        self.drain_ms = self.linger_ms = 0

    async def begin(self, rng, new_id=False):
        """Starts the next life, under the id before unless NEW_ID."""
        if new_id:
            self.name = "w%d-%d" % (self.index, len(self.lives))
        self.log = "%s/%s.life%d.log" % (self.place.work, self.name, len(self.lives))
        self.lives.append([self.name, self.log, None])
        self.drain_ms, self.linger_ms = rng.randint(4000, 10000), rng.randint(100, 1200)
        self.argv = [BUILD + "/wagtailpass-standin", "runner", "--id", self.name,
                     "--port", str(self.ports.runner(self.first)),
                     "--advertise", str(self.links[0].port), *self.place.options(),
                     "--store", "127.0.0.1:%d" % self.store_link.port,
                     "--slow", str(rng.choice([0, 0, 10, 20])), "--drain", str(self.drain_ms),
                     "--linger", str(self.linger_ms), "--seconds", "600"]
        await self.start()
        await self.set_down(False)
        self.ledger.end(self.subject, "away")

    async def set_down(self, down):
        for link in self.links:
            await link.set_down(down)

    def each_life(self):
        """Yields id, log and time of the kill of each life of each runner."""
        for name, log, killed_at in self.lives:
            for i in range(len(self.links)):
                member = "%s.%d" % (name, i) if len(self.links) > 1 else name
                yield member, log, killed_at

    async def crash(self):
        """What runs there ends when the signal is sent, at the latest."""
        self.lives[-1][2] = now_ms()
        self.ledger.begin(self.subject, "away")
        await self.end()
        await self.set_down(True)

    async def crash_silently(self):
        """Like crash, but hosts don't see their connections end."""
        self.lives[-1][2] = now_ms()
        self.ledger.begin(self.subject, "away")
        for link in self.links:
            link.lose_target()
        await self.end()

    def drain(self):
        self.drained_at = time.monotonic()
        self.ledger.begin(self.subject, "away")
        self.signal(signal.SIGUSR1)

    async def leave(self):
        """Waits until the process is gone; its port is closed first."""
        self.signal(signal.SIGTERM)
        await self.set_down(True)
        await self.process.wait()

    async def cut(self, kind):
        for link in self.links + [self.store_link]:
            await link.cut_off(kind)

    async def heal(self):
        for link in self.links + [self.store_link]:
            await link.heal()

    def busy(self):
        """Tells whether anything runs here, by the log."""
        with open(self.log, encoding="utf-8") as f:
            text = f.read()
        return text.count(" start ") > text.count(" end ")


class RunnerPlace:
    """Where SIZE runners of a process stand, and what each of them has."""

    def __init__(self, deployment, group, work):
        rack = deployment.groups[group]
        self.work, self.size, self.zone = work, rack.size, rack.zone
        self.rack = group // deployment.per_rack
        self.latency_ms = deployment.store_latency_ms(rack.zone)
        self.room, self.max_lease_ms = deployment.room, deployment.bounds["holdMaxMs"]

    def options(self):
        return ["--members", str(self.size), "--rack", str(self.rack), "--zone", self.zone,
                "--cpu", str(self.room["cpu"]), "--memory", str(self.room["memMb"]),
                "--accelerators", str(self.room["gpu"]), "--max-lease", str(self.max_lease_ms)]


class Ports:
    """Where everything listens: the store, runners, links, hosts."""

    def __init__(self, first, hosts, runners):
        self.store, self.runners = first, runners
        self.hosts = first + 1 + 3 * runners
        self.n = 1 + 3 * runners + HOST_PORTS * hosts

    def runner(self, i):
        return self.store + 1 + i

    def runner_link(self, i):
        return self.store + 1 + self.runners + i

    def runner_store(self, i):
        return self.store + 1 + 2 * self.runners + i

    def host(self, i, k=0):
        return self.hosts + i * HOST_PORTS + k

    def are_free(self):
        return all(is_free(self.store + i) for i in range(self.n))


def is_free(port):
    with socket.socket() as s:
        try:
            s.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(hosts, runners):
    """Returns ports that no program listens on.  Soaks that run side by side
    begin to look at different ones."""
    step = Ports(0, hosts, runners).n
    bases = list(range(18000, 30000 - step, step))
    first = os.getpid() % len(bases)
    for base in bases[first:] + bases[:first]:
        ports = Ports(base, hosts, runners)
        if ports.are_free():
            return ports
    raise RuntimeError("no free ports")


def make_host(program, ports, i, work, deployment, ledger):
    place = deployment.hosts[i]
    settings = {"node": "h%d" % i, "zone": place.zone, "region": place.region,
                "zones": deployment.regions, "ip": "127.0.0.1",
                "listen": {"front": "127.0.0.1:%d" % ports.host(i),
                           "readiness": "127.0.0.1:%d" % ports.host(i, 1)},
                "portRange": [ports.host(i, 2), ports.host(i, 8)],
                "limits": {"cpuShare": place.cpu_share, "linkMbps": place.link_mbps},
                "bounds": deployment.bounds,
                "platform": {"address": "127.0.0.1:%d" % ports.host(i, 9)}}
    path = "%s/h%d.json" % (work, i)
    with open(path, "w", encoding="utf-8") as f:
        json.dump(settings, f)
    host = Process("h%d" % i, [program, "--settings", path],
                   "%s/h%d.log" % (work, i), ledger)
    host.settings = path
    return host


def make_platform(ports, work, seconds, ledger):
    return Process("platform", [BUILD + "/wagtailpass-standin", "platform", "--port",
                                str(ports.store), "--runners", "0", "--seconds", str(seconds)],
                   work + "/platform.log", ledger)
