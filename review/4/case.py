"""Only one runner has the label that a job requires, and the job's first run there
fails: is the task started again?"""
import asyncio
import time

import world

RUNNERS = 12          # one of them fails what it starts: a share of 0.083
GREY_S = 5.0          # srv_grey errors
FINISH_S = 14.0       # finish_s
IDLE_S = 3.0          # how long a job may have nothing running
ROOM = {"cpu": 64000, "memMb": 262144, "gpu": 8}


async def play(w):
    await w.start([("w%d" % i, ROOM, ["b" if i == 0 else "a", "r0"], "render")
                   for i in range(RUNNERS)], 2,
                  [{"name": "proof", "service": "render", "priority": 1, "attempts": 3}])
    only = w.runners[0]
    if w.trouble:
        w.log("%s fails what it starts" % only.name)
        only.grey_until = time.monotonic() + GREY_S
    job = w.job(1, "proof", [{"count": 1, "cpu": 5600, "memMb": 29000, "gpu": 1,
                              "estimateMs": 2500, "requiredLabel": "b"}], {"ms": 2500})
    if await w.submit(w.hosts[0], job) != 200:
        raise world.CannotRun("the job was not accepted")
    await w.until(5, lambda: job.starts, "the job does not start")
    # The traffic has ended.
    await asyncio.sleep(FINISH_S)
    before = len(job.starts)
    idle = not only.runs
    states = [await w.state(w.hosts[0], job)]
    for _ in range(int((IDLE_S + 1.0) / 0.1)):
        idle = idle and not any(r.runs for r in w.runners) and len(job.starts) == before
        await asyncio.sleep(0.1)
    states.append(await w.state(w.hosts[0], job))
    failed = [e for e in job.ends if e[4] == "failed"]
    w.log("states %s, %d runs, %d failed of 3 attempts" % (states, len(job.starts),
                                                           len(failed)))
    if idle and all(s in ("queued", "running") for s in states) and len(failed) < 3:
        w.broken("LOST: job %s has had nothing running for over %.0f s, %.0f s after the end"
                 " of the traffic, after %d of 3 attempts, on an idle service"
                 % (job.id, IDLE_S, FINISH_S, len(failed)))


world.main(__file__, play)
