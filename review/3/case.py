"""Runners write checkpoints of 240 characters, and the host that leads is killed: does
its successor know what was done?"""
import asyncio
import signal

import world

CHECKPOINT_CHARACTERS = 240
DOWN_S = 3.5          # node_kill
ROOM = {"cpu": 64000, "memMb": 262144, "gpu": 8}


async def play(w):
    await w.start([("w%d" % i, ROOM, ["a", "r0"], "render") for i in range(4)], 3,
                  [{"name": "nest", "service": "render", "priority": 2, "attempts": 4},
                   {"name": "preview", "service": "render", "priority": 0, "attempts": 4}])
    for r in w.runners:
        r.checkpoint_size = CHECKPOINT_CHARACTERS
    leader = await w.leader()
    other = next(h for h in w.hosts if h is not leader)
    nest = w.job(1, "nest", [
        {"count": 8, "cpu": 5600, "memMb": 15000, "gpu": 1, "estimateMs": 4000},
        {"count": 24, "cpu": 5600, "memMb": 15000, "gpu": 1, "estimateMs": 9000,
         "checkpointing": True}], {"ms": [[1500, 500], [9000, 0]], "saves": 1})
    if await w.submit(other, nest) != 200:
        raise world.CannotRun("the job was not accepted")
    await asyncio.sleep(2.6)
    # Urgent work takes room from the job, whose tasks then wait with checkpoints.
    preview = w.job(2, "preview", [{"count": 16, "cpu": 5600, "memMb": 15000, "gpu": 1,
                                    "estimateMs": 6000, "gang": True}],
                    {"ms": 6000, "gang": 16})
    if await w.submit(other, preview) != 200:
        raise world.CannotRun("the urgent job was not accepted")
    await asyncio.sleep(2.4)
    w.log("progress in the store: %r" % w.store.value_of(
        "wagtailpass/job/%s/progress" % nest.id))
    if not w.acked:
        raise world.CannotRun("no end has been taken note of")
    if w.trouble:
        leader.signal(signal.SIGKILL)
        await leader.ended(2)
        await asyncio.sleep(DOWN_S)
        await leader.start()
    await asyncio.sleep(18.0)
    w.log("states: %s %s" % (await w.state(other, nest), await w.state(other, preview)))


world.main(__file__, play)
