"""What goes wrong in a soak: series of faults, each on one runner, host or
link, that overlap with others."""
import asyncio
import random
import signal
import time

from crashes import CRASH_SERIES, Crashes
from evacuations import EVACUATE_SERIES, Evacuations
from site_faults import ALONE, SITE_SERIES, SiteFaults

STALL_S = (0.05, 0.9)
REVIVE_S = (0.2, 2)
SITE_PAUSE_S = (1, 4)  # between series that concern the site

HOST_SERIES = ["host_down", "host_pause", "host_stall", "link_trouble"]
RUNNER_SERIES = ["drain", "restart", "cut", "stall", "drain_cut", "restart_cut", "cut_restart",
                 "drain_kill", "cut_kill", "cut_stall", "drain_cut_kill", "restart_stall",
                 "stutter_cut"]
GROUPS = {"hosts": HOST_SERIES, "runners": RUNNER_SERIES, "crashes": CRASH_SERIES,
          "site": SITE_SERIES, "evacuate": EVACUATE_SERIES}
HOST_SHARE = 0.35
GROUP_S = 4  # of faults, before a stretch of calm


def chosen(series, only):
    """Returns those of SERIES that ONLY names, by name or group."""
    names = {name for word in only for name in GROUPS.get(word, [word])}
    return [s for s in series if s in names]


class Faults(Crashes, Evacuations, SiteFaults):
    def __init__(self, soak, seed, only=None, calm_s=0):
        """Plays the series that ONLY names, all of them without it, at once or
        in groups with CALM_S between them."""
        super().__init__(soak)
        only = only or list(GROUPS)
        self.seed = seed
        self.calm_s = calm_s
        self.of_hosts = chosen(HOST_SERIES, only)
        self.of_runners = chosen(RUNNER_SERIES, only)
        evacuate = EVACUATE_SERIES if soak.deployment.domains() else []
        self.of_site = chosen(SITE_SERIES + CRASH_SERIES + evacuate, only)
        self.rng = random.Random(seed)
        self.site_rng = random.Random("%d/site" % seed)
        self.victims = set()  # processes that a series is about
        self.evacuating = set()  # failure domains that a series is about
        self.enough = asyncio.Event()
        self.series = []

    async def run(self, seconds):
        """Begins series for so long, then has all of them end soon, but for
        runners that drain or are cut off: that takes its time."""
        now = asyncio.get_running_loop().time
        end = now() + seconds
        await self.run_group(seconds if not self.calm_s else min(seconds, GROUP_S))
        while self.calm_s and now() + self.calm_s < end:
            await self.finish()
            self.soak.note("calm between groups")
            await asyncio.sleep(self.calm_s)
            self.enough.clear()
            await self.run_group(min(GROUP_S, max(0, end - now())))

    async def run_group(self, seconds):
        asyncio.get_running_loop().call_later(seconds, self.enough.set)
        await asyncio.gather(self.run_of_processes(), self.run_of_site())

    async def run_of_processes(self):
        """Begins one series after the other, each on a process."""
        pace = 1 if self.soak.deployment.classes else max(1.0, len(self.soak.runners) / 8)
        while (self.of_hosts or self.of_runners) and not self.enough.is_set():
            await self.wait(self.rng.uniform(0.1, 0.9) / pace)
            rng = random.Random("%d/%d" % (self.seed, len(self.series)))
            self.series.append(asyncio.create_task(self.begin(rng)))

    async def run_of_site(self):
        """Plays the series that concern the site, two at a time at most, each
        once before any comes again."""
        rng = self.site_rng
        left, lanes = [], set()
        while self.of_site and not self.enough.is_set():
            await self.wait(rng.uniform(*SITE_PAUSE_S))
            left = left or rng.sample(self.of_site, len(self.of_site))
            name = left.pop()
            alone = name in ALONE or name in CRASH_SERIES
            while len(lanes) > (0 if alone else 1):
                _, lanes = await asyncio.wait(lanes, return_when=asyncio.FIRST_COMPLETED)
            lane = asyncio.create_task(self.begin_site(random.Random(rng.random()), name))
            self.series.append(lane)
            lanes.add(lane)
            if alone:
                await lane

    async def begin_site(self, rng, name):
        self.soak.note("begin %s" % name)
        await getattr(self, name)(rng)
        self.soak.note("end %s" % name)

    async def finish(self):
        await asyncio.gather(*self.series)

    async def wait(self, seconds):
        try:
            await asyncio.wait_for(self.enough.wait(), seconds)
        except TimeoutError:
            pass

    async def begin(self, rng):
        share = HOST_SHARE if self.of_hosts and self.of_runners else len(self.of_hosts)
        if rng.random() < share:
            victim, kind = rng.choice(self.soak.hosts), rng.choice(self.of_hosts)
        else:
            victim, kind = self.pick_runner(rng), rng.choice(self.of_runners)
        if self.alone or not victim or victim in self.victims:
            return
        self.soak.note("%s %s" % (kind, victim.name))
        self.victims.add(victim)
        await getattr(self, kind)(rng, victim)
        self.victims.discard(victim)

    def pick_runner(self, rng):
        """Half of the runners at least are left alone."""
        free = [r for r in self.soak.runners if r not in self.victims]
        if len(free) <= len(self.soak.runners) // 2:
            return None
        busy = [r for r in free if r.busy()]
        return rng.choice(busy if busy and rng.random() < 0.8 else free)

    # Hosts.

    async def host_down(self, rng, host):
        host.go_on()
        host.signal(rng.choice([signal.SIGKILL, signal.SIGTERM]))
        await self.wait(rng.uniform(0.3, 4))
        await host.end()
        await host.revive()

    async def host_pause(self, rng, host):
        host.signal(signal.SIGSTOP)
        await self.wait(rng.uniform(1, 8))
        host.go_on()

    async def host_stall(self, rng, host):
        await self.stall_series(rng, host, 6)

    async def stall_series(self, rng, process, most):
        for _ in range(rng.randint(1, most)):
            process.signal(signal.SIGSTOP)
            await self.wait(rng.uniform(*STALL_S))
            process.go_on()
            await self.wait(rng.uniform(0.02, 0.5))

    async def link_trouble(self, rng, host):
        link = rng.choice([link for r in self.soak.runners for link in r.links] +
                          [self.soak.store_links[self.soak.hosts.index(host)]] * 8)
        kind = rng.choice(["delay", "reset", "silent", "one_way", "refuse"])
        if kind == "delay":
            link.slow_down(rng.uniform(0.02, 0.4))
        elif kind == "reset":
            link.reset()
        else:
            await link.cut_off(kind)
        await self.wait(rng.uniform(0.5, 5))
        await link.heal()

    async def kill_scheduler(self, rng):
        """Kills the host that schedules, or has it stand still for moments."""
        host = await self.soak.scheduler()
        if not host or host in self.victims:
            return
        self.soak.note("scheduler is %s" % host.name)
        self.victims.add(host)
        if rng.random() < 0.3:
            await self.stall_series(rng, host, 6)
        else:
            await self.kill_host(rng, host, REVIVE_S)
        self.victims.discard(host)

    async def kill_host(self, rng, host, revive_s):
        await host.end()
        await self.wait(rng.uniform(*revive_s))
        await host.revive()

    # Runners.

    async def drain(self, rng, runner):
        runner.drain()
        await self.leave(rng, runner)

    async def leave(self, rng, runner):
        """Ends a drain, not before the time that was announced is over."""
        left_s = runner.drained_at + runner.drain_ms / 1000 - time.monotonic()
        await asyncio.sleep(max(left_s, 0) + rng.uniform(0.05, 2))
        self.soak.note("leave %s" % runner.name)
        await runner.leave()
        await self.wait(rng.uniform(0.1, 2))
        await runner.begin(rng, rng.random() < 0.7)

    async def restart(self, rng, runner):
        for _ in range(rng.choice([1, 1, 2])):
            await runner.crash()
            await self.wait(rng.uniform(0.1, 0.5))
            await runner.begin(rng)
            await self.wait(rng.uniform(0.1, 1.5))

    async def cut_for(self, rng, runner, least, most):
        kind = rng.choice(["silent", "silent", "refuse", "refuse", "one_way"])
        self.soak.note("cut %s %s" % (kind, runner.name))
        await runner.cut(kind)
        await asyncio.sleep(rng.uniform(least, most))
        await runner.heal()
        self.soak.note("healed %s" % runner.name)

    async def cut(self, rng, runner):
        await self.cut_for(rng, runner, 1, 9)

    async def stall(self, rng, runner):
        await self.stall_series(rng, runner, 4)

    async def drain_cut(self, rng, runner):
        runner.drain()
        await self.wait(rng.uniform(0, 1.2))
        await self.cut_for(rng, runner, 3, 8)
        await self.leave(rng, runner)

    async def restart_cut(self, rng, runner):
        await self.restart(rng, runner)
        await self.cut_for(rng, runner, 5, 9)

    async def cut_restart(self, rng, runner):
        cut = asyncio.create_task(self.cut_for(rng, runner, 0.5, 5))
        await self.wait(rng.uniform(0, 0.5))
        await self.restart(rng, runner)
        await cut

    async def drain_kill(self, rng, runner):
        await asyncio.gather(self.drain(rng, runner), self.kill_soon(rng))

    async def cut_kill(self, rng, runner):
        await asyncio.gather(self.cut(rng, runner), self.kill_soon(rng))

    async def drain_cut_kill(self, rng, runner):
        await asyncio.gather(self.drain_cut(rng, runner), self.kill_soon(rng))

    async def kill_soon(self, rng):
        await self.wait(rng.uniform(0.1, 5))
        await self.kill_scheduler(rng)

    async def cut_stall(self, rng, runner):
        """The scheduler stands still just when a runner falls silent."""
        host = await self.soak.scheduler()
        if host:
            await asyncio.gather(self.cut(rng, runner), self.stall_series(rng, host, 3))

    async def restart_stall(self, rng, runner):
        """The scheduler stands still just when a runner starts again."""
        host = await self.soak.scheduler()
        if host:
            await asyncio.gather(self.cut_restart(rng, runner), self.stall_series(rng, host, 4))

    async def stutter_cut(self, rng, runner):
        """The scheduler stands still twice, the second time just when it has
        begun to work off what it missed; then a runner falls silent."""
        host = await self.soak.scheduler()
        if not host:
            return
        host.signal(signal.SIGSTOP)
        await self.wait(rng.uniform(0.2, 0.6))
        host.go_on()
        time.sleep(rng.uniform(0.0002, 0.003))  # asyncio's sleep is coarser
        host.signal(signal.SIGSTOP)
        await self.wait(rng.uniform(0.45, 0.7))
        host.go_on()
        await self.wait(rng.uniform(0, 0.3))
        await self.cut_for(rng, runner, 6, 9)
