"""Stands in for the platform's runners, as PROTOCOL.md describes them."""
import asyncio
import json
import time
import zlib

from http11 import Server

HOLD_MAX_MS = 10000
STOP_MS = 100
GANG_MS = 3000
CHECKPOINT_MS = 2000
HEARTBEAT_S = 1.5
TICK_S = 0.01


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.job, _, self.step, self.index = task.split(".")
        self.work = json.loads(spec)
        self.begun = time.monotonic()
        self.worked = 0.0      # milliseconds of work done
        self.checkpoint = checkpoint
        self.saved = 0.0       # of WORKED, what CHECKPOINT holds
        self.stops_at = None
        self.exits = None      # how a task that lasts ends by itself

    def length(self):
        """Returns how long its work takes, in milliseconds: a number for all
        tasks, or [first, more for each further task] for each step."""
        ms = self.work["ms"]
        if isinstance(ms, list):
            ms = ms[int(self.step)][0] + ms[int(self.step)][1] * int(self.index)
        return ms

    def percent(self):
        if self.work.get("lasts"):
            return 100
        return min(100, int(100 * self.worked / self.length()))


class Runner:
    """A runner under one id and port, through several lives."""

    def __init__(self, world, name, capacity, labels, service="render"):
        self.world = world
        self.name = name
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.port = 0
        self.up = False
        self.registers = True   # its way to the store is sound
        self.state = "ready"
        self.grey_until = 0.0   # until then each run fails soon after its start
        self.checkpoint_size = 16
        self.late_s = 0.0       # the next start is carried out so much later
        self.silent = False     # cut off from all machines: nothing comes or goes

    # Lives.

    async def start(self):
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs = {}
        self.over = {}
        self.ends = []
        self.n_ends = 0
        self.n_checkpoints = 0
        self.news = asyncio.Event()
        self.up = True
        self.state = "ready"
        self.server = Server(self.serve)
        self.port = await self.server.listen(self.port)
        self.world.log("runner %s up, capacity %s labels %s" % (self.name, self.capacity,
                                                                self.labels))
        self.ticker = asyncio.ensure_future(self._tick())
        self.reporter = asyncio.ensure_future(self._report())

    async def crash(self):
        self.up = False
        self.ticker.cancel()
        self.reporter.cancel()
        self.world.log("runner %s crashes with %d runs" % (self.name, len(self.runs)))
        self.runs = {}
        await self.server.crash()

    def entry(self):
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                 "zone": "zone-a", "version": "1", "slots": 8, "state": self.state,
                 "capacity": self.capacity, "labels": self.labels, "born": self.born}
        if self.state == "draining":
            entry["drainRemainingMs"] = max(0, int(1000 * (self.drains_until
                                                           - time.monotonic())))
        return entry

    async def _report(self):
        """Writes the entry at the start and every heartbeat, when it differs."""
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        key = "servers/" + self.name
        if self.registers and not self.silent and self.world.store.value_of(key) != json.dumps(
                self.entry()).encode():
            self.world.store.put(key, self.entry())

    async def drain(self, drain_s):
        """Announces that it drains, and leaves after DRAIN_S."""
        self.state = "draining"
        self.drains_until = time.monotonic() + drain_s
        self.world.log("runner %s drains for %.1f s" % (self.name, drain_s))
        self.report()
        await asyncio.sleep(drain_s)
        self.world.log("runner %s leaves" % self.name)
        await self.crash()
        self.world.store.put("servers/" + self.name, None)

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    # Calls.

    async def serve(self, request):
        answer = None if self.silent else await self._answer(request)
        return None if self.silent else answer

    async def _answer(self, request):
        if request.path == "/healthz":
            return 200, {}
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421, self._said({})
        body = request.json()
        if body.get("fence", 0) < self.fence:
            return 409, self._said({"reason": "fence"})
        self.fence = body.get("fence", 0)
        if request.path == "/api/hold":
            return await self._hold(body)
        if request.path == "/api/run-start":
            if self.late_s:
                self._take_late(body)
                return None
            return self._start(body)
        if request.path == "/api/run-stop":
            return self._stop(body)
        return 404, {}

    def _take_late(self, body):
        """Leaves a start unanswered; whatever life is up then carries it out."""
        self.world.log("start order for %s run %d to %s is not answered, and late by %.1f s"
                       % (body["task"], body["run"], self.name, self.late_s))
        asyncio.get_running_loop().call_later(self.late_s, self._carry_out, body)
        self.late_s = 0.0

    def _carry_out(self, body):
        if not self.up or self.silent:
            return
        if body.get("fence", 0) < self.fence:
            answer = 409, {"reason": "fence"}
        else:
            self.fence = body.get("fence", 0)
            answer = self._start(body)
        self.world.log("late start order for %s run %d on %s: %s" % (
            body["task"], body["run"], self.name, answer))

    def _said(self, value):
        return dict(value, clockMs=self.clock())

    def _renew(self, body):
        asked = min(body.get("deadlineMs", 0), self.clock() + HOLD_MAX_MS)
        self.deadline = max(self.deadline, asked)

    async def _hold(self, body):
        self._renew(body)
        ack = body.get("ackCursor", 0)
        for end in self.ends:
            if end[0] <= ack:
                self.world.on_ack(self, end)
        self.ends = [e for e in self.ends if e[0] > ack]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[r.task, r.number, r.checkpoint, r.percent(), 0]
                   for r in self.runs.values()]
        return 200, self._said({"running": running, "ended": self.ends[:500],
                                "born": self.born})

    def _start(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            self._renew(body)
            return 200, self._said({})
        if body["deadlineMs"] <= self.clock():
            return 409, self._said({"reason": "late"})
        self._renew(body)
        if run or number <= self.over.get(task, 0):
            return 409, self._said({"reason": "old"})
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        if run.checkpoint:
            run.worked = run.saved = self.world.checkpoints.get(run.checkpoint, 0.0)
        self.runs[task] = run
        self.world.on_start(self, run, body)
        return 200, self._said({})

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.over[task] = max(self.over.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_MS / 1000
            if run.work.get("saves"):
                self._save(run)
        return 200, self._said({})

    # Work.

    def _save(self, run):
        self.n_checkpoints += 1
        life = zlib.crc32(("%s %d" % (self.name, self.born)).encode())
        text = "%08x%08x" % (life, self.n_checkpoints)
        run.checkpoint = (text * (self.checkpoint_size // 16 + 1))[:self.checkpoint_size]
        run.saved = run.worked
        self.world.checkpoints[run.checkpoint] = run.worked

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.n_ends += 1
        row = [self.n_ends, run.task, run.number, how, run.checkpoint]
        self.ends.append(row)
        self.news.set()
        self.news = asyncio.Event()
        self.world.on_end(self, run, how)

    def _gang(self, run):
        """Returns the members of RUN's gang that are present."""
        return [(r, other) for r in self.world.runners if r.up
                for other in r.runs.values()
                if (other.job, other.step, other.number) == (run.job, run.step, run.number)]

    async def _tick(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            span, last = (now - last) * 1000, now
            if self.runs and self.deadline < self.clock():
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is run:
                    self._advance(run, now, span)

    def _advance(self, run, now, span):
        if run.stops_at is not None:
            if now >= run.stops_at:
                self.end(run, "stopped")
            return
        size = run.work.get("gang", 0)
        members = self._gang(run) if size else [(self, run)]
        if size and len(members) < size:
            if run.worked:
                self.end(run, "broken")
            elif (now - run.begun) * 1000 > GANG_MS:
                self.end(run, "alone")
            return
        if now < self.grey_until and now - run.begun > 0.2:
            self.end(run, "failed")
            return
        run.worked += span
        if run.work.get("saves") and run.worked - run.saved >= CHECKPOINT_MS:
            self._save(run)
        if run.work.get("lasts"):
            if run.exits is not None:
                self.end(run, run.exits)
            return
        if run.worked >= run.length():
            fails = self.world.fails(self, run)
            for runner, member in members:
                runner.end(member, "failed" if fails else "done")
