#!/usr/bin/env python3
"""A randomized soak of real processes on loopback: the platform's stand-in,
its runners behind a proxy, entry hosts whose way to the store leads through
the proxy.  Faults come from outside: signals and the proxy.  What callers
were told and what the runners ran is checked against the promises.

  soak.py [--seed N] [--seconds S] [--hosts N] [--runners N] [--keep DIR]

Ends with "soak: seed N ok", or with what was broken and exit status 1."""
import argparse
import asyncio
import json
import random
import re
import shutil
import sys
import tempfile
import time

import checks
from faults import Faults
from processes import Ports, Runner, free_ports, make_host, make_platform, now_ms
from proxy import Link

TOKEN = "soak-token"
SETTLE_S = 45  # for everything accepted to end once the faults are over
LONG_MS = (3000, 11000)  # a task that outlasts an entry and a lease
SHORT_MS = (200, 2500)
MOST_LINES = 20  # of what was broken


class Soak:
    def __init__(self, options, work):
        self.rng = random.Random(options.seed)
        self.o = options
        self.work = work
        self.ports = (Ports(options.port, options.hosts, options.runners) if options.port
                      else free_ports(options.hosts, options.runners))
        self.offset = int(time.time() * 1000) - now_ms()
        self.log = []
        self.doubts = []
        self.freed = []
        self.jobs = {}  # id: {"answers": [...], "cancelled": bool}
        self.hosts = []
        self.runners = [Runner(self.ports, i, work) for i in range(options.runners)]
        self.store_links = [Link(self.ports.host(i, 9), self.ports.store)
                            for i in range(options.hosts)]
        self.platform = make_platform(self.ports, work, options.seconds + SETTLE_S + 90)

    def note(self, text):
        at = now_ms()
        self.log.append("%d ts=%d %s" % (at, at + self.offset, text))

    def links(self):
        return self.store_links + [link for r in self.runners for link in (r.link, r.store_link)]

    async def set_up(self):
        await self.platform.start()
        for link in self.links():
            await link.start()
        await self.until(self.configure, 10)
        for runner in self.runners:
            await runner.begin(self.rng)
        for i in range(self.o.hosts):
            self.hosts.append(make_host(self.ports, i, self.work))
            await self.hosts[i].start()
        await self.until(lambda: self.get(0, "/api/readyz", 1), 10)

    async def configure(self):
        config = {"version": 1, "limits": {}, "services": [{"name": "render"}],
                  "tenants": [{"name": "t", "apiKeys": [TOKEN], "guaranteed": {"gpu": 8}}],
                  "routes": [{"name": "q%d" % p, "host": "soak", "prefix": "/q%d/" % p,
                              "service": "render", "priority": p, "attempts": 4, "stretch": 3,
                              "targetLatencyMs": 1000} for p in range(3)]}
        return await self.http(self.ports.store, "POST", "/standin/config", json.dumps(config))

    async def until(self, attempt, seconds):
        for _ in range(seconds * 10):
            if await attempt() == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not reached: %s" % attempt)

    def get(self, i, path, k=0):
        return self.http(self.ports.host(i, k), "GET", path)

    async def http(self, port, method, path, body="", limit=5.0):
        """Returns the status, 0 when no whole answer came."""
        status, _ = await self.fetch(port, method, path, body, limit)
        return status

    async def fetch(self, port, method, path, body="", limit=5.0):
        """Returns the status, 0 when no whole answer came, and the answer."""
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(("%s %s HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer %s\r\n"
                              "Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
                              % (method, path, TOKEN, len(body), body)).encode())
                data = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        found = re.match(rb"HTTP/1.1 (\d+)", data)
        return (int(found.group(1)) if found else 0), data

    async def submit(self):
        job = "%016x" % (len(self.jobs) + 1)
        gang = self.rng.random() < 0.3
        count = self.rng.randint(1, 4)
        length = self.rng.randint(*(LONG_MS if self.rng.random() < 0.45 else SHORT_MS))
        step = {"count": count, "cpu": 8000, "gpu": 1, "estimateMs": length}
        text = "ms=%d" % length
        if gang:
            step["gang"] = True
        steps = [step]
        if self.rng.random() < 0.3:
            steps.append({"count": 1, "cpu": 1000, "estimateMs": 300, "after": [0]})
        body = json.dumps({"spec": text, "steps": steps})
        kept = self.jobs[job] = {"answers": [], "cancelled": False, "queue": self.rng.randrange(3)}
        for _ in range(4):
            status = await self.http(self.ports.host(self.rng.randrange(self.o.hosts)), "POST",
                                     "/q%d/%s" % (kept["queue"], job), body, 3.0)
            kept["answers"].append(status)
            if status == 200:
                break
            await asyncio.sleep(0.2)
        if kept["answers"][-1] == 200 and self.rng.random() < 0.1:
            kept["cancelled"] = True
            await self.http(self.ports.host(self.rng.randrange(self.o.hosts)), "DELETE",
                            "/q%d/%s" % (kept["queue"], job))

    async def traffic(self, end):
        tasks = []
        pace = max(1.0, len(self.runners) / 8)
        while asyncio.get_running_loop().time() < end:
            tasks.append(asyncio.create_task(self.submit()))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5) / pace)
        await asyncio.gather(*tasks)

    async def scheduler(self):
        """Returns the host that schedules, None if none says so."""
        for i, host in enumerate(self.hosts):
            _, text = await self.fetch(self.ports.host(i, 2), "GET", "/metrics", limit=0.2)
            if b"\nwagtailpass_is_scheduler 1" in text:
                return host
        return None

    async def calm(self, faults):
        for host in self.hosts:
            await host.revive()
        await asyncio.gather(asyncio.sleep(8), faults.finish())  # who was told to stop is gone
        for link in self.links():
            await link.heal()
        for host in self.hosts:
            await host.revive()

    async def state(self, job):
        path = "/q%d/%s" % (self.jobs[job]["queue"], job)
        status, answer = await self.fetch(self.ports.host(0), "GET", path)
        found = re.search(rb'"state": ?"(\w+)"', answer)
        return found.group(1).decode() if status == 200 and found else str(status)

    async def check_ends(self):
        left = [j for j, kept in self.jobs.items() if 200 in kept["answers"]]
        for _ in range(SETTLE_S):
            states = {j: await self.state(j) for j in left}
            left = [j for j in left if states[j] not in ("completed", "cancelled", "failed")]
            if not left:
                break
            await asyncio.sleep(1)
        broken = ["LOST %s is %s" % (j, states[j]) for j in left]
        return broken

    def check_runs(self):
        runs = [run for runner in self.runners for life in runner.lives
                for run in checks.read_life(*life)]
        broken, self.doubts = checks.check_twice(runs)
        self.freed = checks.find_freed(runs, [host.log for host in self.hosts], self.offset)
        return broken + checks.check_asked(runs, self.jobs)

    async def tear_down(self):
        for process in self.hosts + self.runners + [self.platform]:
            process.go_on()
            await process.end()
        for link in self.links():
            await link.stop()

    async def run(self):
        try:
            await self.set_up()
            end = asyncio.get_running_loop().time() + self.o.seconds
            faults = Faults(self, self.o.seed, self.o.only and self.o.only.split(","))
            await asyncio.gather(self.traffic(end), faults.run(self.o.seconds))
            self.note("calm")
            await self.calm(faults)
            broken = await self.check_ends()
            return broken + self.check_runs()
        finally:
            await self.tear_down()


def main():
    p = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--seconds", type=int, default=15)
    p.add_argument("--hosts", type=int, default=3)
    p.add_argument("--runners", type=int, default=8)
    p.add_argument("--port", type=int, help="the first port; else free ones are looked for")
    p.add_argument("--only", help="the series of faults to play, by their names in faults.py")
    p.add_argument("--keep", help="keep logs of a broken seed here")
    options = p.parse_args()
    work = tempfile.mkdtemp(prefix="wagtailpass-soak")
    soak = Soak(options, work)
    broken = asyncio.run(soak.run())
    accepted = sum(200 in kept["answers"] for kept in soak.jobs.values())
    lines = broken[:MOST_LINES] + soak.freed + ["in doubt: " + d for d in soak.doubts] + soak.log
    if broken:
        print("\n".join(lines))
    if options.keep and (broken or soak.freed):
        keep(work, options, lines)
    print("soak: seed %d %s, %d jobs, %d accepted, %d faults, %d freed early, %d in doubt" % (
        options.seed, "BROKEN" if broken else "ok", len(soak.jobs), accepted, len(soak.log),
        len(soak.freed), len(soak.doubts)))
    shutil.rmtree(work)
    sys.exit(1 if broken else 0)


def keep(work, options, lines):
    with open(work + "/soak.log", "w", encoding="utf-8") as f:
        f.write("\n".join(lines) + "\n")
    shutil.copytree(work, "%s/seed-%d" % (options.keep, options.seed), dirs_exist_ok=True)


if __name__ == "__main__":
    main()
