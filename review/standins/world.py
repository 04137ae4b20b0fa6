"""A small deployment on loopback: the project's own hosts as processes of their
own, stand-ins for the store, the runners, the operator and the clients."""
import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

from http11 import Connection
from runner import Runner
from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "wagtailpass-node")
HOST = "queues.example"
KEY = "key-of-alpha"


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Job:
    def __init__(self, job, route, steps, spec):
        self.id = job
        self.route = route
        self.steps = steps
        self.spec = spec
        self.answers = []    # statuses of the attempts to hand it in
        self.starts = []     # (time, task, run, runner)
        self.ends = []       # (time, task, run, runner, how)


class Host:
    """One process of the project on one entry host."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.front, self.readiness, self.metrics = free_ports(3)
        self.settings = os.path.join(world.folder, name + ".json")
        self.process = None

    def write_settings(self):
        settings = {
            "node": self.name, "role": "entry", "class": "frontend",
            "serves": ["frontend"], "ip": "127.0.0.1", "zone": "zone-a",
            "region": "region", "zones": {"zone-a": "region"},
            "listen": {"front": "127.0.0.1:%d" % self.front,
                       "readiness": "127.0.0.1:%d" % self.readiness},
            "portRange": [self.metrics, self.metrics], "seeds": [], "bootstrap": True,
            "lossCounted": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1500,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 4000, "ackMs": 5000,
                       "catchUpS": 4, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": 2500, "rollbackSlackMs": 250, "maxSkewMs": 6000,
                       "strictRevoke": True, "revokeMs": 5000, "recoveryS": 12,
                       "holdMaxMs": 10000, "stopMs": 200, "gangTimeoutMs": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                       "finish_s": 14, "status_s": 120, "checkpointIntervalS": 2,
                       "restoreMs": 250, "leaseMs": 3000, "reclaimMs": 2700},
            "orders": "request",
            "platform": {"address": "127.0.0.1:%d" % self.world.store.server.port,
                         "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump(settings, f)

    async def start(self):
        self.write_settings()
        # The command of the deploy file, in the repository's root.
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder,
                       "LANG": "C.UTF-8", "WAGTAILPASS_BOOT": self.settings}
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/wagtailpass-node", cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.world.processes.append(self.process)
        self.world.log("host %s started, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.world.log("host %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ended(self, timeout):
        status = await asyncio.wait_for(self.process.wait(), timeout)
        self.world.log("host %s ended with status %d" % (self.name, status))
        return status

    async def _get(self, port, path):
        c = Connection(port)
        try:
            status, _, body = await c.call("GET", path, {"Host": HOST}, timeout=1.0)
            return status, body
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return 0, None
        finally:
            c.close()

    async def is_ready(self):
        return (await self._get(self.readiness, "/api/readyz"))[0] == 200

    async def leads(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.metrics)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            text = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
            return b"\nwagtailpass_is_scheduler 1" in text
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    def __init__(self, folder_of_case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zero = time.monotonic()
        self.record = open(os.path.join(folder_of_case, "record.txt"), "w",
                           encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self)
        self.runners = []
        self.hosts = []
        self.processes = []   # of hosts, all that were started
        self.jobs = {}
        self.checkpoints = {}
        self.faults = []      # broken rules, as text
        self.fails = lambda runner, run: False
        self.acked = []       # (task, run) of ends "done" that were acknowledged
        self.log("trouble: %s" % self.trouble)

    def log(self, text):
        self.record.write("%8.3f %s\n" % (time.monotonic() - self.zero, text))
        self.record.flush()

    def broken(self, text):
        self.faults.append(text)
        self.log("BROKEN " + text)

    # Set-up.

    async def start(self, runners, hosts, routes, keys=(KEY,), guaranteed=0):
        """RUNNERS: (name, capacity, labels, service); ROUTES: dicts with name,
        service, priority and attempts."""
        if not os.path.exists(NODE):
            raise CannotRun("target/wagtailpass-node is not built")
        await self.store.start()
        for name, capacity, labels, service in runners:
            self.runners.append(Runner(self, name, capacity, labels, service))
        for r in self.runners:
            await r.start()
        config = {
            "version": 1,
            "routes": [dict({"host": HOST, "prefix": "/%s/" % r["name"], "stretch": 3,
                             "targetLatencyMs": 1200}, **r) for r in routes],
            "services": [{"name": s} for s in sorted({r["service"] for r in routes})],
            "limits": {},
            "tenants": [{"name": "alpha", "apiKeys": list(keys),
                         "guaranteed": {"gpu": guaranteed}}]}
        self.store.put("op/config", config)
        for i in range(hosts):
            self.hosts.append(Host(self, "host-%d" % i))
        for h in self.hosts:
            await h.start()
        await self.until(10, self._all_ready, "the hosts are not ready")
        await self.until(10, self.leader, "no host leads")

    async def _all_ready(self):
        return all([await h.is_ready() for h in self.hosts])

    async def leader(self):
        for h in self.hosts:
            if h.process.returncode is None and await h.leads():
                return h
        return None

    async def until(self, seconds, condition, complaint):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(complaint)

    # Clients.

    def job(self, number, route, steps, spec):
        job = Job("%016x" % number, route, steps, json.dumps(spec))
        self.jobs[job.id] = job
        return job

    async def submit(self, host, job, deadline_ms=3000, connection=None):
        """Hands JOB in once; returns the status, 0 for none."""
        status, _ = await self._ask("POST", host, job, deadline_ms, connection,
                                    {"spec": job.spec, "steps": job.steps})
        job.answers.append(status)
        return status

    async def state(self, host, job, connection=None):
        status, body = await self._ask("GET", host, job, 3000, connection, None)
        return body.get("state") if status == 200 else status

    async def cancel(self, host, job):
        return (await self._ask("DELETE", host, job, 3000, None, None))[0]

    async def _ask(self, method, host, job, deadline_ms, connection, value):
        c = connection or Connection(host.front)
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY,
                   "Deadline-Ms": str(deadline_ms)}
        path = "/%s/%s" % (job.route, job.id)
        self.log("client sends %s %s to %s" % (method, path, host.name))
        try:
            status, _, body = await c.call(method, path, headers, value,
                                           deadline_ms / 1000)
        except (OSError, EOFError, asyncio.TimeoutError) as e:
            status, body = 0, str(type(e).__name__)
        finally:
            if connection is None:
                c.close()
        self.log("client is answered %s %s %s %s" % (method, path, status, body))
        return status, body

    # What the runners report.

    def on_start(self, runner, run, body):
        job = self.jobs.get(run.job)
        self.log("start %s run %d on %s fence %s" % (run.task, run.number, runner.name,
                                                     body.get("fence")))
        if job is None:
            self.broken("UNASKED: %s was started, which no client sent" % run.task)
            return
        if body["spec"] != job.spec:
            self.broken("UNASKED: %s was started with another spec: %r" % (
                run.task, body["spec"]))
        job.starts.append((time.monotonic(), run.task, run.number, runner))
        self._check_twice(runner, run)
        label = job.steps[int(run.step)].get("requiredLabel")
        if label and label not in runner.labels:
            self.broken("ROUTE: %s run %d, which requires label %s, is started on %s with"
                        " labels %s" % (run.task, run.number, label, runner.name,
                                        runner.labels))
        self._check_room(runner, run)

    def _check_twice(self, runner, run):
        for other in self.runners:
            if other.up and other is not runner and run.task in other.runs:
                self.broken("TWICE: %s runs on %s while run %d is started on %s" % (
                    run.task, other.name, run.number, runner.name))
        for task, number in self.acked:
            if task == run.task:
                self.broken("TWICE: %s run %d is started on %s, though the end of run %d,"
                            " done, has been taken note of" % (run.task, run.number,
                                                               runner.name, number))

    def need(self, run):
        step = self.jobs[run.job].steps[int(run.step)]
        return {k: step.get(k, 0) for k in ("cpu", "memMb", "gpu")}

    def _check_room(self, runner, run):
        for kind, limit in runner.capacity.items():
            used = sum(self.need(r)[kind] for r in runner.runs.values()
                       if r.job in self.jobs)
            if used > limit:
                self.broken("LIMIT: the start of %s run %d brings %s to %d of %d %s" % (
                    run.task, run.number, runner.name, used, limit, kind))

    def on_end(self, runner, run, how):
        self.log("end %s run %d on %s %s" % (run.task, run.number, runner.name, how))
        if run.job in self.jobs:
            self.jobs[run.job].ends.append((time.monotonic(), run.task, run.number, runner,
                                            how))

    def on_ack(self, runner, end):
        self.log("ack of end %s run %d on %s" % (end[1], end[2], runner.name))
        if end[3] == "done":
            self.acked.append((end[1], end[2]))

    # The end.

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for r in self.runners:
            if r.up:
                await r.crash()
        self.store.stop()
        await self.store.server.crash()
        await asyncio.sleep(0.05)   # the transports close
        for h in self.hosts:
            path = os.path.join(self.folder, h.name + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as f:
                    for line in f:
                        self.record.write("log of %s: %s" % (h.name, line))
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play, seconds=110):
    """Plays PLAY, a coroutine function of a World, and exits with 1 if a rule was
    broken, 0 if all held, 2 if the case could not run."""
    async def run():
        world = World(os.path.dirname(os.path.abspath(case_file)))
        status = 2
        try:
            await asyncio.wait_for(play(world), seconds)
            status = 1 if world.faults else 0
        except Exception as e:  # whatever it is, it says nothing of the rule
            world.log("cannot run: %r" % e)
            print("cannot run: %r" % e)
        finally:
            world.log("exit status %d" % status)
            await world.close()
        for text in world.faults[:5]:
            print("broken: " + text)
        return status
    sys.exit(asyncio.run(run()))
