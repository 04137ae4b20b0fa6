"""The end of a day: all hosts and runners lose power at one moment, and later
every host is asked for every accepted job."""
import asyncio

from clients import COMPLETE
from ledger import now_ms

POWER_MS = 300  # after an acceptance was acknowledged
DOWN_S = (0.3, 2.0)
TRAFFIC_S = 5  # from the return on
ANSWER_PAUSE_S = 0.05
ANSWER_S = 60  # for the first right answer
IN_TIME_MS = 3000


class Closing:
    """The closing fault of a soak, and what came of it."""

    def __init__(self, soak, rng):
        self.soak, self.rng = soak, rng
        self.askers = []  # one a host, besides those that ask all the time
        self.first_ms = {}  # by host, from its start to its first right answer

    async def lose_power(self):
        """Ends all hosts and runners soon after an acceptance, starts them
        again and waits until every host has given a right answer."""
        soak = self.soak
        self.askers = [soak.caller_of(host) for host in soak.hosts]
        job = await soak.next_accepted()
        await asyncio.sleep(self.rng.uniform(0, POWER_MS / 1000))
        known = [job for job in soak.accepted if not job.cancelled]
        soak.note("all power lost after %s" % (job.name if job else "no job"))
        await asyncio.gather(*[host.end() for host in soak.hosts],
                             *[runner.crash() for runner in soak.runners])
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        soak.note("power is back")
        await asyncio.gather(asyncio.sleep(TRAFFIC_S),
                             *[runner.begin(self.rng) for runner in soak.runners],
                             *[self.bring_back(asker, host, known)
                               for asker, host in zip(self.askers, soak.hosts)])

    async def bring_back(self, asker, host, known):
        """Starts HOST and asks it for jobs of KNOWN until it knows one."""
        since = now_ms()
        await host.revive()
        while known and now_ms() < since + ANSWER_S * 1000:
            job = known[-1 - len(self.first_ms) % len(known)]
            request = await asker.ask("GET", job.path, job=job)
            if request.state():
                self.first_ms[host.name] = request.ended - since
                return
            await asyncio.sleep(ANSWER_PAUSE_S)

    async def check_known(self):
        """Asks every host for every accepted job.  Returns what is broken:
        one that isn't known, or gets no answer in time."""
        jobs = [job for job in self.soak.accepted if not job.cancelled]
        found = await asyncio.gather(*[self.ask_host(asker, jobs) for asker in self.askers])
        silent = ["LOST no answer for %d s at %s after the return of power" % (ANSWER_S, host.name)
                  for host in self.soak.hosts if jobs and host.name not in self.first_ms]
        return silent + ["LOST at the end: %s" % request for part in found for request in part]

    async def ask_host(self, asker, jobs):
        """Returns the last request for each job that wasn't known in time."""
        missed = []
        for job in jobs:
            until = now_ms() + IN_TIME_MS
            while True:
                request = await asker.ask("GET", job.path, job=job)
                job.note(request)
                if request.how == COMPLETE and request.state():
                    break
                if now_ms() >= until:
                    missed.append(request)
                    break
                await asyncio.sleep(ANSWER_PAUSE_S)
        return missed

    def summary(self):
        times = sorted(self.first_ms.values())
        return "first right answers after the return: %d of %d hosts, median %d ms, last %d ms" % (
            len(times), len(self.soak.hosts), times[len(times) // 2] if times else 0,
            times[-1] if times else 0)
