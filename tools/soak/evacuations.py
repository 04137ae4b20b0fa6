"""Series in which the operator evacuates failure domains and returns them to
service, beside trouble of those that have to know."""
import asyncio

from clients import fetch
from ledger import EVACUATED, STORE

EVACUATE_SERIES = ["evacuate"]
AFTER_BOUND_S = (0.5, 6)  # for which an evacuation lasts beyond its bound
RETURNED_S = (0.05, 0.9)  # between the return to service and the next evacuation
BEGIN_S = (0, 1.5)  # of evacuations and of the trouble beside them
OUTAGE_MS = (500, 7000)
CUT_S = (0.5, 8)
BESIDE = ["kill_scheduler", "outage", "store_trouble", "cut_scheduler", "cut_any", "nothing"]


class Evacuations:
    """What Faults plays besides."""

    async def evacuate(self, rng):
        """Evacuates one or two failure domains."""
        if self.enough.is_set():
            return
        domains = [d for d in self.soak.deployment.domains() if d not in self.evacuating]
        domains = rng.sample(domains, min(len(domains), rng.choice([1, 1, 2])))
        self.evacuating |= set(domains)
        await asyncio.gather(self.begin_beside(rng, rng.choice(BESIDE)),
                             *[self.evacuate_domain(rng, d) for d in domains])
        self.evacuating -= set(domains)

    async def begin_beside(self, rng, name):
        await self.wait(rng.uniform(*BEGIN_S))
        self.soak.note("beside evacuations: %s" % name)
        await getattr(self, name)(rng)

    async def evacuate_domain(self, rng, domain):
        """Evacuates DOMAIN beyond the bound, at times again right after its return."""
        await self.wait(rng.uniform(*BEGIN_S))
        for _ in range(rng.choice([1, 2])):
            await self.request_evacuation("POST", domain)
            self.soak.ledger.begin(domain, EVACUATED)
            await asyncio.sleep(self.soak.deployment.bounds["evacuateMs"] / 1000
                                + rng.uniform(*AFTER_BOUND_S))
            self.soak.ledger.end(domain, EVACUATED)
            await self.request_evacuation("DELETE", domain)
            await self.wait(rng.uniform(*RETURNED_S))
            if self.enough.is_set():
                break

    async def request_evacuation(self, method, domain):
        self.soak.note("%s evacuation of %s" % (method, domain))
        status, _ = await fetch(self.soak.ports.store, method, "/standin/evacuate/" + domain)
        if status != 200:
            raise RuntimeError("evacuation of %s: no acknowledgement (%d)" % (domain, status))

    async def nothing(self, _rng):
        pass

    async def outage(self, rng):
        """The store answers nothing, or refuses all calls, and may forget."""
        await self.inject(rng, self.soak.ports.store, STORE, {
            "forMs": rng.randint(*OUTAGE_MS), rng.choice(["hang", "refuse"]): 1,
            "forgetHistory": rng.random() < 0.4})

    async def cut_scheduler(self, rng):
        """The scheduler's way to the store is cut."""
        host = await self.soak.scheduler()
        if not host:
            return
        link = self.soak.store_links[self.soak.hosts.index(host)]
        await link.cut_off(rng.choice(["silent", "one_way", "refuse"]))
        await self.wait(rng.uniform(*CUT_S))
        await link.heal()

    async def cut_any(self, rng):
        runner = self.pick_runner(rng)
        if runner:
            self.victims.add(runner)
            await self.cut(rng, runner)
            self.victims.discard(runner)
