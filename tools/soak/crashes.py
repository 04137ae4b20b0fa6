"""Series of faults in which runners crash without a word: their connections
stay open and silent, they are back under their ids, and are cut off."""
import asyncio

CRASH_SERIES = ["silent_restart_cut", "restart_kill_cut", "unseen_restart_kill_cut"]
DOWN_S = (0.2, 0.6)
BACK_S = (0.2, 1.0)  # from the return to the kill of the scheduler and the cut
CUT_AFTER_KILL_S = (0, 0.1)
LATE_REPORT_S = (0, 0.1)  # after the kill
REVIVE_S = (0.1, 0.6)  # after the kill
CUT_S = (8, 12)  # about as long as the longest lease


class Crashes:
    """What Faults plays besides; each series is about half of the runners at
    most, which crash at the same time."""

    async def silent_restart_cut(self, rng):
        await self.restart_and_cut(rng)

    async def restart_kill_cut(self, rng):
        """The scheduler is killed between the restart and the cut; the store has
        heard of the new processes before."""
        await self.restart_and_cut(rng, kill=True)

    async def unseen_restart_kill_cut(self, rng):
        """The same, but the store hears of the new processes only after the
        scheduler has died, or never."""
        await self.restart_and_cut(rng, kill=True, unseen=True)

    async def restart_and_cut(self, rng, kill=False, unseen=False):
        runners = self.pick_for_crash(rng)
        back_s = rng.uniform(*BACK_S)
        await asyncio.gather(*[r.crash_silently() for r in runners])
        await self.wait(rng.uniform(*DOWN_S))
        for r in runners:
            r.store_link.slow_down(back_s + rng.uniform(*LATE_REPORT_S) if unseen
                                   else rng.uniform(0, back_s))
            await r.begin(rng)
        await asyncio.sleep(back_s)
        revival = asyncio.create_task(self.kill_scheduler_now(rng)) if kill else None
        await asyncio.sleep(rng.uniform(*CUT_AFTER_KILL_S))
        await asyncio.gather(*[self.cut_for(rng, r, *CUT_S) for r in runners])
        if revival:
            await revival
        self.victims -= set(runners)

    def pick_for_crash(self, rng):
        """Picks runners until half of all are about to meet trouble."""
        runners = []
        while r := self.pick_runner(rng):
            self.victims.add(r)
            runners.append(r)
        self.soak.note("crash %s" % " ".join(r.name for r in runners))
        return runners

    async def kill_scheduler_now(self, rng):
        host = await self.soak.scheduler()
        if host and host not in self.victims:
            self.soak.note("kill %s" % host.name)
            self.victims.add(host)
            await self.kill_host(rng, host, REVIVE_S)
            self.victims.discard(host)
