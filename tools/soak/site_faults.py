"""Series of faults that concern the site as a whole, and planned work."""
import asyncio
import json
import os
import signal

from clients import fetch
from ledger import STORE

SITE_SERIES = ["term_roll", "power_loss", "host_term", "host_hup", "config_storm",
               "store_trouble", "runner_late", "runner_hang"]
ALONE = {"term_roll"}  # with nothing else wrong
POWER_MS = 300  # after an acceptance was acknowledged
ROLL_PAUSE_S = (0.2, 2)
MOST_ROLLED = 24  # hosts in a series
N_PRESSING = 3  # callers of a host that ends
PRESS_PAUSE_S = 0.005
KEYS_KEPT = 2


class SiteFaults:
    """What Faults plays besides series on single processes."""

    def __init__(self, soak):
        self.soak = soak
        self.alone = False  # no series on a process begins

    # Signals that announce what they do.

    async def term_roll(self, rng):
        """SIGTERM to all hosts, one after the other, nothing else wrong."""
        self.alone = True
        while self.victims:
            await asyncio.sleep(0.1)
        await self.wait(self.soak.ledger.stable_ms / 1000)
        for host in rng.sample(self.soak.hosts, min(len(self.soak.hosts), MOST_ROLLED)):
            if self.enough.is_set():
                break
            await self.replace(rng, host)
            await self.wait(rng.uniform(*ROLL_PAUSE_S))
        self.alone = False

    async def replace(self, rng, host):
        """Ends HOST by SIGTERM, while callers press it on connections that
        they keep, and starts it again."""
        gone = asyncio.Event()
        pressing = [asyncio.create_task(self.soak.keep_asking(
            self.soak.caller_of(host), rng, PRESS_PAUSE_S, gone)) for _ in range(N_PRESSING)]
        self.soak.note("term %s" % host.name)
        await host.terminate()
        gone.set()
        await asyncio.gather(*pressing)
        await self.wait(rng.uniform(0.1, 1))
        await host.revive()

    def pick_host(self, rng):
        free = [h for h in self.soak.hosts if h not in self.victims and h.alive()]
        return rng.choice(free) if free else None

    async def host_term(self, rng):
        host = self.pick_host(rng)
        if host:
            self.victims.add(host)
            await self.replace(rng, host)
            self.victims.discard(host)

    async def host_hup(self, rng):
        """SIGHUP several times; the settings file is new for some of them."""
        host = self.pick_host(rng)
        for _ in range(rng.randint(1, 5) if host else 0):
            if rng.random() < 0.5:
                os.utime(host.settings)
            self.soak.note("hup %s" % host.name)
            host.signal(signal.SIGHUP)
            await self.wait(rng.uniform(0, 0.4))

    # The site.

    async def power_loss(self, rng):
        """Ends all hosts at once, soon after an acceptance."""
        job = await self.soak.next_accepted()
        if not job:
            return
        await asyncio.sleep(rng.uniform(0, POWER_MS / 1000))
        self.soak.note("power loss after %s" % job.name)
        await asyncio.gather(*[host.end() for host in self.soak.hosts])
        await self.wait(rng.uniform(0.2, 2))
        for host in rng.sample(self.soak.hosts, len(self.soak.hosts)):
            await host.revive()

    async def config_storm(self, rng):
        """Versions in quick succession, with routes and keys that come and
        go; those that callers use stay."""
        self.soak.ledger.begin(STORE, "config")
        for _ in range(rng.randint(3, 10)):
            version = self.soak.version + rng.randint(1, 5)
            self.soak.note("config %d" % version)
            extra = [rng.randrange(100) for _ in range(rng.randrange(KEYS_KEPT + 1))]
            await self.soak.configure(version, extra)
            await self.wait(rng.uniform(0, 0.3))
        self.soak.ledger.end(STORE, "config")

    # What the stand-in injects.

    async def store_trouble(self, rng):
        """The store is slow, refuses, loses answers, is late, forgets."""
        fault = {"forMs": rng.randint(800, 5000)}
        kind = rng.choice(["slowMs", "refuse", "loseAnswers", "late", "mixed"])
        if kind in ("slowMs", "mixed"):
            fault["slowMs"] = rng.randint(20, 900)
        if kind in ("late", "mixed"):
            fault |= {"late": 0.2, "lateMs": [100, rng.randint(500, 4000)]}
        if kind in ("refuse", "loseAnswers", "mixed"):
            fault["refuse" if kind == "refuse" else "loseAnswers"] = rng.uniform(0.1, 0.7)
        fault["reports"] = rng.random() < 0.3
        fault["forgetHistory"] = rng.random() < 0.4
        await self.inject(rng, self.soak.ports.store, STORE, fault)

    async def runner_late(self, rng):
        """Runners leave orders unanswered and carry them out later."""
        await self.inject_some(rng, lambda: {
            "late": rng.uniform(0.2, 0.8), "lateMs": [50, rng.randint(400, 7000)],
            "loseAnswers": rng.choice([0, 0.2])})

    async def runner_hang(self, rng):
        """Runners leave calls unanswered, or lose the answers."""
        await self.inject_some(rng, lambda: {
            rng.choice(["hang", "hang", "loseAnswers"]): rng.uniform(0.2, 1)})

    async def inject_some(self, rng, draw):
        runners = rng.sample(self.soak.runners, rng.randint(1, 1 + len(self.soak.runners) // 4))
        members = [(runner.first + i, runner.subject)
                   for runner in runners for i in range(len(runner.links))]
        await asyncio.gather(*[
            self.inject(rng, self.soak.ports.runner(port), subject,
                        draw() | {"forMs": rng.randint(1000, 7000)})
            for port, subject in members])

    async def inject(self, rng, port, subject, fault):
        """Has the stand-in at PORT play FAULT, and waits until nothing of it
        is left."""
        self.soak.note("%s %s" % (subject, json.dumps(fault)))
        kind = "inject %d" % rng.randrange(1 << 32)  # as others may overlap
        self.soak.ledger.begin(subject, kind)
        fault["seed"] = rng.randrange(1 << 32)
        status, answer = await fetch(port, "POST", "/standin/fault", json.dumps(fault))
        if status == 400:
            raise ValueError(answer)
        await asyncio.sleep((fault["forMs"] + fault.get("lateMs", [0, 0])[1]) / 1000)
        self.soak.ledger.end(subject, kind)
