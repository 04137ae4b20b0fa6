#!/usr/bin/env python3
"""A randomized soak of real processes on loopback: the platform's stand-in,
its runners behind a proxy, entry hosts whose way to the store leads through
the proxy.  Faults come from outside: signals, the proxy, the stand-in.  What
callers were told and what the runners ran is checked against the promises.

  soak.py [--seed N] [--seconds S] [--hosts N] [--runners N] [--keep DIR]
  soak.py --site FILE [--scale F] ...

With --site it plays the hosts, runners, jobs and bounds of a site file.

Ends with "soak: seed N ok", or with what was broken and exit status 1."""
import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
import time

import answers
import checks
import standing
from clients import TOKEN, Caller, Callers, Lag, fetch
from faults import Faults
from closing import Closing
from deployment import LINK_MBPS, Deployment, read_site
from jobs import CANCEL_SHARE, FINAL, LASTING_SHARE, draw_job, draw_of_class, hand_in
from ledger import EVACUATED, Ledger, now_ms
from processes import BUILD, Ports, Runner, RunnerPlace, free_ports, make_host, make_platform
from proxy import Link

SETTLE_S = 45  # for everything accepted to end once the faults are over
STAND_S = 12  # after healing, for tasks that stand to be seen
MOST_LINES = 20  # of what was broken
MOST_LASTING = 3  # jobs at a time
MOST_CALLERS = 24
ASKS_PER_S = 60  # of all who ask for accepted jobs, while the faults go on
ASK_RECENT = 40  # jobs, mostly


class Soak:
    def __init__(self, options, work):
        self.rng = random.Random(options.seed)
        self.job_rng = random.Random("%d/jobs" % options.seed)  # drawn from in their order only
        self.o = options
        self.work = work
        self.deployment = read_site(options.site, options.scale) if options.site else Deployment(
            options.hosts, options.runners,
            random.Random("%d/link" % options.seed).choice(LINK_MBPS))
        self.n_hosts = len(self.deployment.hosts)
        n_runners = sum(rack.size for rack in self.deployment.groups)
        self.ports = (Ports(options.port, self.n_hosts, n_runners) if options.port
                      else free_ports(self.n_hosts, n_runners))
        self.offset = int(time.time() * 1000) - now_ms()
        self.ledger = Ledger(self.deployment.bounds)
        self.log = []
        self.doubts = []
        self.freed = []
        self.stands = []
        self.evacuated_starts = []
        self.jobs = {}  # by name, in the order in which they came
        self.accepted = []
        self.waiters = []  # for the next acceptance
        self.requests = []
        self.lag = Lag()
        self.version = 0
        self.closing = (Closing(self, random.Random("%d/closing" % options.seed))
                        if options.closing else None)
        self.hosts = []
        self.runners = self.make_runners()
        self.store_links = [Link(self.ports.host(i, 9), self.ports.store, self.ledger, "h%d" % i,
                                 self.deployment.store_latency_ms(place.zone))
                            for i, place in enumerate(self.deployment.hosts)]
        self.platform = make_platform(self.ports, work, options.seconds + SETTLE_S + 120,
                                      self.ledger)
        self.callers = Callers([Caller(self.pick_host, self.requests, self.lag, self.is_once(i))
                                for i in range(min(4 + 2 * self.n_hosts, MOST_CALLERS))])
        self.askers = []  # one a host

    def make_host(self, i):
        return make_host(self.o.program, self.ports, i, self.work, self.deployment, self.ledger)

    def make_runners(self):
        runners, first = [], 0
        for i, rack in enumerate(self.deployment.groups):
            place = RunnerPlace(self.deployment, i, self.work)
            runners.append(Runner(self.ports, i, first, place, self.ledger))
            first += rack.size
        return runners

    def note(self, text):
        at = now_ms()
        self.log.append("%d ts=%d %s" % (at, at + self.offset, text))

    def links(self):
        return self.store_links + [link for r in self.runners for link in r.links + [r.store_link]]

    def address(self, i):
        return "h%d" % i, self.ports.host(i)

    def pick_host(self):
        return self.address(self.rng.randrange(self.n_hosts))

    def caller_of(self, host):
        """Returns a caller that goes to HOST only."""
        where = self.address(self.hosts.index(host))
        return Caller(lambda: where, self.requests, self.lag)

    @staticmethod
    def is_once(i):
        """Tells whether caller I uses a connection for one request only."""
        return i % 10 in (2, 5, 8)

    async def set_up(self):
        await self.platform.start()
        for link in self.links():
            await link.start()
        await self.until(lambda: self.configure(1), 10)
        for runner in self.runners:
            await runner.begin(self.rng)
        for i in range(self.n_hosts):
            self.hosts.append(self.make_host(i))
            await self.hosts[i].start()
        for i in range(self.n_hosts):
            await self.until(lambda i=i: self.is_ready(i), 20)

    async def is_ready(self, i):
        return (await fetch(self.ports.host(i, 1), "GET", "/api/readyz"))[0]

    async def configure(self, version, extra=()):
        """Sets a configuration with a route and a key more for each EXTRA."""
        self.version = version
        queues = self.deployment.queues()
        routes = ["q%d" % p for p in range(len(queues))] + ["x%d" % x for x in extra]
        config = {"version": version, "limits": {}, "services": [{"name": "render"}],
                  "tenants": [{"name": "t%d" % i, "apiKeys": keys,
                               "guaranteed": {"gpu": self.deployment.guaranteed}}
                              for i, keys in enumerate(self.keys(extra))],
                  "routes": [self.route(name, *queues[p % len(queues)])
                             for p, name in enumerate(routes)]}
        return (await fetch(self.ports.store, "POST", "/standin/config", json.dumps(config)))[0]

    def tokens(self):
        return [TOKEN + "-%d" % i if i else TOKEN for i in range(self.deployment.tenants)]

    def keys(self, extra):
        """Returns the keys of each tenant; the first has a key for each EXTRA."""
        keys = [[token] for token in self.tokens()]
        keys[0] += ["key%d" % x for x in extra]
        return keys

    @staticmethod
    def route(name, priority, attempts, stretch, target_ms):
        return {"name": name, "host": "soak", "prefix": "/%s/" % name, "service": "render",
                "priority": priority, "attempts": attempts, "stretch": stretch,
                "targetLatencyMs": target_ms}

    async def until(self, attempt, seconds):
        for _ in range(seconds * 10):
            if await attempt() == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not reached: %s" % attempt)

    # Callers.

    def draw(self):
        """Draws the next job, and whether it will be cancelled."""
        name = "%016x" % (len(self.jobs) + 1)
        job, cancel = self.draw_of_site(name) if self.deployment.classes else self.draw_usual(name)
        self.jobs[name] = job
        return job, cancel

    def draw_of_site(self, name):
        classes = self.deployment.classes
        of = self.job_rng.choices(classes, [c.share for c in classes])[0]
        return draw_of_class(self.job_rng, name, of, len(self.runners), self.tokens())

    def draw_usual(self, name):
        active = sum(job.lasting and not job.cancelled for job in self.jobs.values())
        lasting = self.job_rng.random() < LASTING_SHARE and active < MOST_LASTING
        job = draw_job(self.job_rng, name, lasting)
        return job, not lasting and self.job_rng.random() < CANCEL_SHARE

    async def submit(self):
        job, cancel = self.draw()
        await hand_in(self.callers, job, cancel, self.on_accepted)

    def on_accepted(self, job):
        self.accepted.append(job)
        for waiter in self.waiters:
            waiter.set_result(job)
        self.waiters = []

    async def next_accepted(self):
        """Returns the job that is accepted next, None if none is for long."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        done, _ = await asyncio.wait([waiter], timeout=10)
        if not done:
            self.waiters.remove(waiter)
        return waiter.result() if done else None

    async def traffic(self, over):
        """Hands jobs in until OVER is set."""
        tasks = []
        mean_s = 1 / self.deployment.per_s
        while not over.is_set():
            tasks.append(asyncio.create_task(self.submit()))
            await asyncio.sleep(self.rng.uniform(1 / 3, 5 / 3) * mean_s)
        await asyncio.gather(*tasks)

    async def keep_asking(self, asker, rng, pause, enough):
        """Asks one host for accepted jobs, mostly recent ones, until ENOUGH
        is set."""
        while not enough.is_set():
            recent = self.accepted[-ASK_RECENT:] if rng.random() < 0.8 else self.accepted
            if recent:
                job = rng.choice(recent)
                job.note(await asker.ask("GET", job.path, job=job))
            await asyncio.sleep(rng.uniform(0.5, 1.5) * pause)

    async def scheduler(self):
        """Returns the host that schedules, None if none says so."""
        for i, host in enumerate(self.hosts):
            _, text = await fetch(self.ports.host(i, 2), "GET", "/metrics", limit=0.2)
            if b"\nwagtailpass_is_scheduler 1" in text:
                return host
        return None

    # The end.

    async def heal(self, faults):
        for host in self.hosts:
            await host.revive()
        await asyncio.gather(asyncio.sleep(8), faults.finish())  # who was told to stop is gone
        for link in self.links():
            await link.heal()
        for host in self.hosts:
            await host.revive()
        self.note("healed")

    async def play_with_traffic(self, faults):
        """Plays the faults, and the closing one if there is one."""
        over = asyncio.Event()
        traffic = asyncio.create_task(self.traffic(over))
        await asyncio.gather(asyncio.sleep(self.o.seconds), faults.run(self.o.seconds))
        if self.closing:
            await self.heal(faults)
            await asyncio.sleep(self.ledger.stable_ms / 1000)
            await self.closing.lose_power()
        over.set()
        await traffic
        self.note("calm")

    async def check_closing(self):
        """Returns what the hosts don't know once they should."""
        if not self.closing:
            return []
        self.note(self.closing.summary())
        return await self.closing.check_known()

    async def cancel_lasting(self):
        for job in self.accepted:
            if job.lasting:
                job.cancelled = now_ms()
                await self.callers.ask("DELETE", job.path, job=job)

    async def ask_all(self, asker, left):
        """Asks one host for all jobs that are LEFT to come to their end
        there, and keeps the others."""
        for name in list(left):
            request = await asker.ask("GET", self.jobs[name].path, job=self.jobs[name])
            self.jobs[name].note(request)
            left[name] = request.state() or "%s %d" % (request.how, request.status)
            if left[name] in FINAL:
                del left[name]

    async def check_ends(self):
        """Every host says of every accepted job that it has come to its end."""
        left = [{job.name: "" for job in self.accepted} for _ in self.hosts]
        for _ in range(SETTLE_S):
            await asyncio.gather(*[self.ask_all(asker, names)
                                   for asker, names in zip(self.askers, left)])
            if not any(left):
                break
            await asyncio.sleep(1)
        return ["LOST %s is %s at h%d" % (name, state, i)
                for i, names in enumerate(left) for name, state in names.items()]

    def read_lives(self, runner):
        """Returns the lives of RUNNER, and takes note of their starts while its
        domain was evacuated."""
        domain = runner.place.zone
        lives = [checks.Life(*life) for life in runner.each_life()]
        for life in lives:
            life.closed = self.ledger.evacuated(domain)
            self.evacuated_starts += checks.find_evacuated_starts(
                life.runs.values(), domain, runner.subject, self.ledger)
        return lives

    def check_logs(self, since):
        """What the runners logged and callers were told, against the rules."""
        lives = [life for runner in self.runners for life in self.read_lives(runner)]
        runs = [run for life in lives for run in life.runs.values()]
        broken, self.doubts = checks.check_twice(runs, self.jobs)
        broken += checks.check_asked(runs, self.jobs)
        broken += answers.check_states(self.requests, self.jobs, runs)
        calm = self.ledger.calm_spans(since, now_ms())
        self.stands = standing.find_stands(self.jobs, runs, lives, calm, self.deployment.room)
        for found, doubts in (answers.check_owed(self.requests, self.ledger),
                              answers.check_known(self.requests, self.jobs, self.ledger),
                              standing.check_standing(self.stands, self.jobs)):
            broken += found
            self.doubts += doubts
        self.freed = checks.find_freed(runs, [host.log for host in self.hosts], self.offset)
        broken += ["FAULT %s ended by itself, seen at %d" % (host.name, at)
                   for host in self.hosts for at in host.own_ends]
        return broken + checks.check_evacuated(self.evacuated_starts,
                                               self.deployment.bounds.get("evacuateMs"))

    async def tear_down(self):
        closing = self.closing.askers if self.closing else []
        for caller in self.askers + self.callers.all + closing:
            caller.close()
        for process in self.hosts + self.runners + [self.platform]:
            process.go_on()
            await process.end()
        for link in self.links():
            await link.stop()

    async def play(self):
        """Returns what was broken."""
        since = now_ms()
        faults = Faults(self, self.o.seed, self.o.only and self.o.only.split(","), self.o.calm)
        self.askers = [self.caller_of(host) for host in self.hosts]
        pause = self.n_hosts / ASKS_PER_S
        enough = asyncio.Event()
        asking = [asyncio.create_task(self.keep_asking(asker, random.Random(i), pause, enough))
                  for i, asker in enumerate(self.askers)]
        await self.play_with_traffic(faults)
        if self.closing:
            await asyncio.sleep(self.deployment.bounds["finishS"])
        else:
            await self.heal(faults)
            await asyncio.sleep(STAND_S)
        broken = await self.check_closing()
        await self.cancel_lasting()
        enough.set()
        await asyncio.gather(*asking)
        broken += await self.check_ends()
        return broken + self.check_logs(since)

    async def run(self):
        lag = asyncio.create_task(self.lag.run())
        try:
            await self.set_up()
            return await self.play()
        finally:
            lag.cancel()
            await self.tear_down()

    def summary(self):
        longest = max(self.stands, key=lambda stand: stand.ms, default=None)
        closing = "; " + self.closing.summary() if self.closing else ""
        evacuations = sum(span[3] == EVACUATED for span in self.ledger.spans)
        last_ms = max([ms for ms, _ in self.evacuated_starts], default=0)
        return ("%d jobs, %d accepted, %d faults, %d freed early, %d in doubt; longest stand %s; "
                "%d evacuations, last start there after %d ms; answers: %s" % (
                    len(self.jobs), len(self.accepted), len(self.log), len(self.freed),
                    len(self.doubts),
                    "%d ms, %s" % (longest.ms, longest.name) if longest else "none",
                    evacuations, last_ms, answers.describe(self.requests)) + closing)


def main():
    p = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=int, default=15)
    p.add_argument("--hosts", type=int, default=3)
    p.add_argument("--runners", type=int, default=8)
    p.add_argument("--site", help="play the figures of this site file")
    p.add_argument("--scale", type=float, default=1.0,
                   help="of the site's hosts, runners and traffic")
    p.add_argument("--port", type=int, help="the first port; else free ones are looked for")
    p.add_argument("--program", help="of the hosts, from another build",
                   default=BUILD + "/wagtailpass-node")
    p.add_argument("--closing", action="store_true",
                   help="all hosts and runners lose power at the end")
    p.add_argument("--calm", type=float, default=0,
                   help="seconds of calm between groups of faults")
    p.add_argument("--only", help="the series of faults to play, by their names or groups in "
                   "faults.py")
    p.add_argument("--keep", help="keep logs of a broken seed here")
    options = p.parse_args()
    work = tempfile.mkdtemp(prefix="wagtailpass-soak")
    soak = Soak(options, work)
    broken = asyncio.run(soak.run())
    lines = (broken[:MOST_LINES] + soak.freed + ["in doubt: " + d for d in soak.doubts] +
             ["stood: %s" % s for s in soak.stands] + soak.log)
    if broken:
        print("\n".join(lines))
    if options.keep:
        keep(work, options, lines, soak.ledger)
    result = "BROKEN (%d)" % len(broken) if broken else "ok"
    print("soak: seed %d %s, %s" % (options.seed, result, soak.summary()))
    shutil.rmtree(work)
    sys.exit(1 if broken else 0)


def keep(work, options, lines, ledger):
    with open(work + "/soak.log", "w", encoding="utf-8") as f:
        f.write("\n".join(lines) + "\n")
    with open(work + "/ledger.log", "w", encoding="utf-8") as f:
        f.writelines("%d %d %s %s\n" % tuple(span) for span in ledger.spans)
    shutil.copytree(work, "%s/seed-%d" % (options.keep, options.seed), dirs_exist_ok=True)


if __name__ == "__main__":
    main()
