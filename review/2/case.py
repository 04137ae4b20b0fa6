"""A runner starts again while it is cut off from the store, is given a task, and is then
cut off from all machines: is the task started elsewhere while it still runs?"""
import asyncio
import time

import world

ROOM = {"cpu": 64000, "memMb": 262144, "gpu": 8}
RUNNERS = 8           # one of them is cut off: a share of 0.125
QUIET_S = 4.0         # nothing runs before
STORE_CUT_S = 4.8     # srv_cut reborn: 5 s at most
DOWN_S = 1.0          # from the crash to the next start
SILENT_S = 5.4        # node_cut servers: 5.5 s at most
HEARD_S = 0.6         # from the start to that cut


async def play(w):
    await w.start([("w%d" % i, ROOM, ["b" if i < 2 else "a", "r0"], "render")
                   for i in range(RUNNERS)], 3,
                  [{"name": "proof", "service": "render", "priority": 1, "attempts": 3}])
    victim = w.runners[0]
    await asyncio.sleep(QUIET_S)
    if w.trouble:
        w.log("%s is cut off from the store" % victim.name)
        victim.registers = False
        cut_at = time.monotonic()
        await asyncio.sleep(0.3)
        await victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await asyncio.sleep(1.0)
    job = w.job(1, "proof", [{"count": 1, "cpu": 26000, "memMb": 50000, "gpu": 8,
                              "estimateMs": 11000, "requiredLabel": "b"}], {"ms": 11000})
    if await w.submit(w.hosts[0], job) != 200:
        raise world.CannotRun("the job was not accepted")
    await w.until(3, lambda: job.starts, "the job does not start")
    if job.starts[0][3] is not victim:
        raise world.CannotRun("another runner was chosen")
    if w.trouble:
        await asyncio.sleep(HEARD_S)
        w.log("%s is cut off from all machines" % victim.name)
        victim.silent = True
        silent_at = time.monotonic()
        await asyncio.sleep(cut_at + STORE_CUT_S - silent_at)
        victim.registers = True
        await asyncio.sleep(silent_at + SILENT_S - time.monotonic())
        victim.silent = False
        victim.report()
        w.log("%s reaches all machines" % victim.name)
    await asyncio.sleep(14.0)
    w.log("state %s" % await w.state(w.hosts[1], job))


world.main(__file__, play)
