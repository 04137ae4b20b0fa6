"""A host is stopped while the store is slow: what does it answer to requests whose
write is under way when it ends?"""
import asyncio
import signal
import time

import world
from http11 import Connection

CLIENTS = 20          # connections that are open when the host is stopped
SLOW_FACTOR = 60.0    # platform_slow, as in the site file
SLOW_S = 4.4          # 4.5 s at most
SLOW_FROM_S = 1.2     # after the signal
FIRST_S = 2.3         # after the signal: the first of the requests
GAP_S = 0.16          # between two requests
REQUESTS = 19
SUBMISSIONS = (1, 5, 9, 13, 16, 17)   # of the requests; the others ask for a state
WAIT_S = 10.0         # for the jobs to start, if they do


async def play(w):
    room = {"cpu": 64000, "memMb": 262144, "gpu": 8}
    await w.start([("w%d" % i, room, ["a", "r0"], "render") for i in range(8)], 3,
                  [{"name": "nest", "service": "render", "priority": 2, "attempts": 4}])
    leader = await w.leader()
    host = next(h for h in w.hosts if h is not leader)
    connections = []
    for _ in range(CLIENTS):
        c = Connection(host.front)
        status, _, _ = await c.call("GET", "/nest/", {
            "Host": world.HOST, "Authorization": "Bearer " + world.KEY})
        if status != 200:
            raise world.CannotRun("the host does not answer")
        connections.append(c)

    # A job that runs on, whose state the clients ask for.
    known = w.job(100, "nest", [{"count": 1, "cpu": 5600, "memMb": 29000, "gpu": 1,
                                 "estimateMs": 9000}], {"ms": 9000})
    if await w.submit(host, known) != 200:
        raise world.CannotRun("the first job was not accepted")

    signal_at = time.monotonic()
    if w.trouble:
        host.signal(signal.SIGTERM)
    await asyncio.sleep(SLOW_FROM_S)
    if w.trouble:
        w.log("the store is slow")
        w.store.slow_factor = SLOW_FACTOR
        asyncio.get_running_loop().call_later(SLOW_S, setattr, w.store, "slow_factor", 1.0)

    jobs, tasks = [], []
    for i in range(REQUESTS):
        await asyncio.sleep(max(0, signal_at + FIRST_S + i * GAP_S - time.monotonic()))
        if i not in SUBMISSIONS:
            tasks.append(asyncio.ensure_future(w.state(host, known, connections[i])))
            continue
        job = w.job(i + 1, "nest", [{"count": 2, "cpu": 5600, "memMb": 29000, "gpu": 1,
                                     "estimateMs": 800}], {"ms": 800})
        jobs.append(job)
        tasks.append(asyncio.ensure_future(
            w.submit(host, job, connection=connections[i])))
    await asyncio.gather(*tasks)
    for c in connections:
        c.close()
    if w.trouble:
        await host.ended(3)
        await host.start()
    await asyncio.sleep(WAIT_S)

    accepted = [j for j in jobs if j.answers == [200]]
    w.log("%d of %d accepted" % (len(accepted), len(jobs)))
    if not accepted:
        raise world.CannotRun("no job was accepted")
    for job in jobs:
        if job.starts and all(status in (429, 503) for status in job.answers):
            w.broken("REFUSED: job %s was answered %s only, and has started %d tasks"
                     % (job.id, job.answers, len(job.starts)))


world.main(__file__, play)
