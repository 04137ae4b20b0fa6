"""A small deployment on loopback for the cases of the second review.

The store, the runners and the clients live in this process; the entry hosts
are processes of their own, started with the command of the deploy file.  The
stand-ins follow PROTOCOL.md; what a case disturbs, it disturbs from outside.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "wagtailpass-node")
HOLD_MAX_MS = 10000
STOP_MS = 200
GANG_MS = 3000
HEARTBEAT_MS = 1500
CHECKPOINT_MS = 2000
VALUE_BYTES = 1048576

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def now_ms():
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run, one line each, into record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.zero = now_ms()

    def at(self):
        return now_ms() - self.zero

    def add(self, *words):
        line = "%8.0f %s" % (self.at(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()


# Below the ports that connections are made from, other ones in each process.
_first_port = 20000 + os.getpid() % 60 * 200
_ports = iter(random.sample(range(_first_port, _first_port + 200), 200))


def free_port():
    for port in _ports:
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass
    raise NotRun("no free port")


# HTTP


class Hang(Exception):
    """The request gets no answer; its connection stays open."""


class Reset(Exception):
    """The connection is reset without an answer."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class HttpServer:
    """Serves HANDLE (method, path, headers, body) -> (status, object)."""

    def __init__(self, handle, port):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, backlog=500)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                try:
                    status, answer = await self.handle(method, path, headers,
                                                       body)
                except Hang:
                    await asyncio.sleep(600)
                    return
                text = json.dumps(answer).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json"
                              "\r\nContent-Length: %d\r\n\r\n"
                              % (status, len(text))).encode() + text)
                await writer.drain()
        except Reset:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a process that crashes: all connections are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, object); status 0 without a whole answer."""
    try:
        return await asyncio.wait_for(
            _call(port, method, path, body, headers or {}), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError, OSError, ValueError):
        return 0, None


async def _call(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % h for h in headers.items()]
        lines += ["Content-Type: application/json",
                  "Content-Length: %d" % len(data), "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        first, _, answer = await read_message(reader)
        status = int(first.split(" ")[1])
        return status, json.loads(answer) if answer else None
    finally:
        writer.close()


# The store


class Store:
    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.http = HttpServer(self.on_call, self.port)
        self.revision = 100
        self.oldest = 100
        self.items = {}  # key to (value bytes, revision, created, lease)
        self.history = []  # (revision, event)
        self.leases = {}  # id to [ttl, until]
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.fault = None  # async function (method, path, body), may raise
        self.lose = None  # function (path, body): lose the answer?

    async def start(self):
        await self.http.start()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            for number in [n for n, l in self.leases.items()
                           if l[1] <= now_ms()]:
                self.end_lease(number)

    def end_lease(self, number):
        del self.leases[number]
        keys = [k for k, i in self.items.items() if i[3] == number]
        if keys:
            self.apply([], keys)

    def apply(self, writes, deletes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, self.item(key)))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append(
                    (self.revision,
                     {"key": key, "revision": self.revision, "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """A write of the operator or of a runner."""
        return self.apply([(key, json.dumps(value).encode(), 0)], [])

    def delete(self, key):
        if key in self.items:
            self.apply([], [key])

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def on_call(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.fault:
            answer = await self.fault(method, url.path, body)
            if answer:
                return answer
        answer = await self.carry_out(method, url.path, query, body)
        if self.lose and self.lose(url.path, body):
            raise Reset
        return answer

    async def carry_out(self, method, path, query, body):
        if path == "/api/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, dict(self.item(query["key"]),
                             storeRevision=self.revision)
        if path == "/api/kv-range":
            return 200, self.range(query["prefix"], query.get("after", ""))
        if path == "/api/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["waitMs"]))
        if path == "/api/kv-txn":
            return self.txn(json.loads(body))
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[self.last_lease] = [ttl, now_ms() + ttl]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(number)
            return 200, {}
        self.leases[number][1] = now_ms() + self.leases[number][0]
        return 200, {"lease": number, "ttlMs": self.leases[number][0]}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix)
                      and k > after)
        return {"items": [self.item(k) for k in keys[:500]],
                "hasMore": len(keys) > 500, "storeRevision": self.revision}

    async def watch(self, prefix, after, wait):
        until = now_ms() + wait
        while True:
            if after < self.oldest:
                return 410, {}
            events = [e for r, e in self.history
                      if r > after and e["key"].startswith(prefix)]
            if events or now_ms() >= until:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, (until - now_ms()) / 1000))
            except asyncio.TimeoutError:
                pass

    def txn(self, o):
        held = True
        items = []
        for row in o.get("precondition", []):
            found = self.items.get(row["key"])
            held = held and (found[1] if found else 0) == row["revision"]
            if found:
                items.append(self.item(row["key"]))
        if not held:
            return 412, {"items": items}
        writes = [(w["key"], base64.b64decode(w["value"]), w.get("lease", 0))
                  for w in o.get("writes", [])]
        if any(len(w[1]) > VALUE_BYTES for w in writes):
            self.record.add("store refuses a value of", max(
                len(w[1]) for w in writes), "bytes")
            return 400, {}
        if any(w[2] and w[2] not in self.leases for w in writes):
            return 404, {}
        return 200, {"revision": self.apply(writes, o.get("deletes", []))}


# Runners


class Run:
    def __init__(self, task, number, spec, need):
        self.task, self.number, self.spec, self.need = task, number, spec, need
        self.begun = now_ms()
        self.ms = spec.get("ms", 300)
        if isinstance(self.ms, list):  # one for each step
            self.ms = self.ms[int(task.split(".")[2])]
        self.ends = self.begun + self.ms
        self.how = spec.get("how", "done")


class Runner:
    """One life of a runner.  A task is at work for "ms" of its spec, a JSON
    text, and then ends as "how" says (done).  NEED_OF tells what it needs."""

    def __init__(self, deployment, ident, port, cpu=64000, mem=256000, gpu=8,
                 labels=("a", "r1"), service="render", slow=1.0):
        self.deployment = deployment
        self.record = deployment.record
        self.id, self.port = ident, port
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.labels, self.service, self.slow = list(labels), service, slow
        self.born = int(time.time() * 1000)
        self.zero = now_ms()
        self.fence = 0
        self.runs, self.ends, self.over = {}, [], {}
        self.n_ends = 0
        self.listed_at = {}  # number of an end to when it was first listed
        self.deadline = None
        self.news = asyncio.Event()
        self.alive = False
        self.state = "ready"
        self.drain_until = 0
        self.http = HttpServer(self.on_call, port)
        self.fault = None

    def clock(self):
        return int((now_ms() - self.zero) * self.slow) + 1000

    async def start(self, first_report_ms=0):
        await self.http.start()
        self.alive = True
        self.record.add("runner", self.id, "born", self.born, "labels",
                        ",".join(self.labels), "capacity",
                        json.dumps(self.capacity))
        self.tasks = [asyncio.ensure_future(self.beat(first_report_ms)),
                      asyncio.ensure_future(self.work())]

    def crash(self):
        self.alive = False
        self.http.stop()
        for task in self.tasks:
            task.cancel()
        self.record.add("runner", self.id, "born", self.born, "crashes",
                        "with", len(self.runs), "runs")
        self.runs = {}

    def entry(self):
        e = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
             "zone": "z", "version": "v1", "slots": 8, "state": self.state,
             "coldRemainingMs": 0, "capacity": self.capacity,
             "labels": self.labels, "seq": self.clock() // HEARTBEAT_MS,
             "born": self.born}
        if self.state == "draining":
            e["drainRemainingMs"] = max(0, int(self.drain_until - now_ms()))
        return e

    def report(self):
        self.deployment.store.put("servers/" + self.id, self.entry())

    async def beat(self, first_ms):
        await asyncio.sleep(first_ms / 1000)
        while True:
            self.report()
            self.record.add("runner", self.id, "reports itself", self.state)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            if self.deadline and self.deadline < self.clock():
                self.deadline = None
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.ends <= now_ms():
                    self.end(run, run.how)

    def end(self, run, how):
        del self.runs[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.n_ends += 1
        self.ends.append([self.n_ends, run.task, run.number, how, ""])
        self.record.add("end", run.task, "run", run.number, how, "on", self.id)
        self.deployment.on_end(self, run, how)
        self.news.set()
        self.news = asyncio.Event()

    def base(self, **more):
        return dict({"clockMs": self.clock(), "born": self.born}, **more)

    def renew(self, o):
        if "deadlineMs" in o:
            asked = min(o["deadlineMs"], self.clock() + HOLD_MAX_MS)
            self.deadline = max(self.deadline or 0, asked)

    async def on_call(self, method, path, headers, body):
        if path == "/healthz":
            return 200, {}
        o = json.loads(body)
        if headers.get("expect-instance", self.id) != self.id:
            return 421, self.base()
        if self.fault:
            answer = await self.fault(path, o)
            if answer:
                return answer
        return await self.carry_out(path, o)

    async def carry_out(self, path, o):
        fence = o.get("fence", 0)
        if fence < self.fence:
            return 409, self.base(reason="fence")
        self.fence = fence
        if path == "/api/run-start":
            return self.take_start(o)
        if path == "/api/run-stop":
            return self.take_stop(o)
        return await self.hold(o)

    def take_start(self, o):
        task, number = o["task"], o["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            self.renew(o)
            return 200, self.base()
        if o["deadlineMs"] <= self.clock():
            return 409, self.base(reason="late")
        self.renew(o)
        if run or number <= self.over.get(task, 0):
            return 409, self.base(reason="old")
        run = Run(task, number, json.loads(o["spec"]),
                  self.deployment.need_of(task))
        run.checkpoint = o.get("checkpoint", "")
        self.runs[task] = run
        self.record.add("start", task, "run", number, "fence", o["fence"],
                        "on", self.id, "born", self.born)
        self.deployment.on_start(self, run, o)
        return 200, self.base()

    def saved_of(self, run):
        """Its checkpoint, by steps that say "checkpointing"."""
        if not self.deployment.step_of(run.task).get("checkpointing"):
            return ""
        n = int((now_ms() - run.begun) / CHECKPOINT_MS)
        if n == 0:
            return run.checkpoint
        return run.spec.get("checkpoint", "%s-" % run.task) + "%08d" % n

    def take_stop(self, o):
        task, number = o["task"], o["run"]
        self.over[task] = max(self.over.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and run.how != "stopped":
            run.how = "stopped"
            run.ends = now_ms() + STOP_MS / 2
        return 200, self.base()

    async def hold(self, o):
        self.renew(o)
        self.ends = [e for e in self.ends if e[0] > o.get("ackCursor", 0)]
        until = now_ms() + o.get("waitMs", 0)
        while not self.ends and now_ms() < until:
            try:
                await asyncio.wait_for(self.news.wait(),
                                       max(0.001, (until - now_ms()) / 1000))
            except asyncio.TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            share = (now_ms() - run.begun) / max(1, run.ms)
            running.append([run.task, run.number, self.saved_of(run),
                            min(100, int(100 * share)), 1000])
        for end in self.ends[:500]:
            self.listed_at.setdefault(end[0], now_ms())
        return 200, self.base(running=running, ended=self.ends[:500])


# Entry hosts


class Host:
    def __init__(self, deployment, index):
        self.deployment = deployment
        self.name = "h%d" % index
        self.process = None
        ports = [free_port() for _ in range(3)]
        self.front, self.readiness, self.metrics = ports
        self.settings = os.path.join(deployment.folder, self.name + ".json")
        self.store_port = deployment.store.port
        self.starts = 0

    def write_settings(self):
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({
                "node": self.name, "role": "entry", "class": "frontend",
                "serves": ["frontend"], "ip": "127.0.0.1", "zone": "z",
                "region": "z", "zones": {"z": "z"},
                "listen": {"front": "127.0.0.1:%d" % self.front,
                           "readiness": "127.0.0.1:%d" % self.readiness},
                "portRange": [self.metrics, self.metrics + 1],
                "bootstrap": True,
                "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                           "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
                "heartbeatMs": HEARTBEAT_MS,
                "bounds": {"graceS": 6, "revokeMs": 5000,
                           "holdMaxMs": HOLD_MAX_MS, "stopMs": STOP_MS,
                           "gangTimeoutMs": GANG_MS},
                "orders": "request",
                "platform": {"address": "127.0.0.1:%d" % self.store_port,
                             "form": "kv", "writesPerS": 400,
                             "readsPerS": 2000, "historyS": 20,
                             "valueBytes": VALUE_BYTES, "ttlMinMs": 1000}}, f)

    async def start(self):
        self.write_settings()
        self.starts += 1
        log = open(os.path.join(self.deployment.folder, "%s.%d.log"
                                % (self.name, self.starts)), "w")
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["WAGTAILPASS_BOOT"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            NODE, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        self.deployment.record.add("host", self.name, "started")

    def signal(self, number):
        self.deployment.record.add("host", self.name,
                                   signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        return (await call(self.readiness, "GET", "/api/readyz",
                           timeout=1.0))[0] == 200

    async def is_scheduler(self):
        try:
            text = await asyncio.wait_for(self._metrics(), 1.0)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            return False
        return "wagtailpass_is_scheduler 1" in text

    async def _metrics(self):
        reader, writer = await asyncio.open_connection("127.0.0.1",
                                                       self.metrics)
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            _, _, body = await read_message(reader)
            return body.decode()
        finally:
            writer.close()


# All together


class Deployment:
    host_name = "demo.example"

    def __init__(self, case, n_hosts=3):
        self.case = case
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.hosts = [Host(self, i) for i in range(n_hosts)]
        self.runners = []
        self.jobs = {}  # id to body
        self.breaks = []
        self.start_watchers, self.end_watchers = [], []
        self.version = 1

    def config(self, **more):
        o = {"version": self.version, "routes": [
                {"name": "q1", "host": self.host_name, "prefix": "/q1/",
                 "kind": "non_idempotent", "timeoutMs": 3000,
                 "targetLatencyMs": 3000, "priority": 1, "service": "render",
                 "attempts": 3, "stretch": 3.0, "public": False}],
             "services": [{"name": "render"}], "limits": {},
             "tenants": [{"name": "t1", "apiKeys": ["key-1"],
                          "guaranteed": {"gpu": 0}}]}
        o.update(more)
        return o

    def put_config(self, config=None):
        config = config or self.config()
        self.record.add("operator writes configuration", config["version"])
        self.store.put("op/config", config)

    def need_of(self, task):
        ident, _, step, _ = task.split(".")
        s = self.jobs[ident]["steps"][int(step)]
        return {"cpu": s.get("cpu", 0), "memMb": s.get("memMb", 0),
                "gpu": s.get("gpu", 0)}

    def step_of(self, task):
        ident, _, step, _ = task.split(".")
        return self.jobs[ident]["steps"][int(step)]

    def on_start(self, runner, run, order):
        for watcher in self.start_watchers:
            watcher(runner, run, order)

    def on_end(self, runner, run, how):
        for watcher in self.end_watchers:
            watcher(runner, run, how)

    def broken(self, rule, what):
        self.breaks.append((rule, what))
        self.record.add("BROKEN", rule, what)

    async def start(self):
        await self.store.start()
        self.put_config()
        for runner in self.runners:
            await runner.start()
        for host in self.hosts:
            await host.start()
        await self.until(self.all_ready, 10, "the hosts are ready")
        await self.until(self.scheduler, 10, "one schedules")

    async def all_ready(self):
        return all([await h.is_ready() for h in self.hosts])

    async def scheduler(self):
        for host in self.hosts:
            if host.process.returncode is None and await host.is_scheduler():
                return host
        return None

    async def until(self, condition, seconds, what):
        end = now_ms() + seconds * 1000
        while now_ms() < end:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise NotRun("not so within %g s: %s" % (seconds, what))

    def headers(self, key="key-1", deadline=3000):
        return {"Host": self.host_name, "Authorization": "Bearer " + key,
                "Deadline-Ms": str(deadline)}

    async def ask(self, host, method, path, body=None, key="key-1",
                  deadline=3000):
        status, answer = await call(host.front, method, path, body,
                                    self.headers(key, deadline),
                                    deadline / 1000)
        self.record.add(method, path, "at", host.name, "->", status,
                        json.dumps(answer) if answer else "")
        return status, answer

    async def submit(self, ident, body, hosts=None, path="/q1/", tries=5):
        """Hands a job in as a client does: no answer, 502 and 504 are tried
        again at the next host, and so are 429 and 503.  Returns the
        statuses."""
        self.jobs[ident] = body
        statuses = []
        hosts = hosts or self.hosts
        for i in range(tries):
            status, _ = await self.ask(hosts[i % len(hosts)], "POST",
                                       path + ident, body)
            statuses.append(status)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.1)
        return statuses

    async def state(self, ident, host=None, path="/q1/"):
        status, answer = await self.ask(host or self.hosts[0], "GET",
                                        path + ident)
        return answer.get("state") if status == 200 and answer else status

    async def stop(self):
        started = [h.process for h in self.hosts if h.process]
        for process in started:
            if process.returncode is None:
                process.kill()
        for process in started:
            await process.wait()

    def keep_logs(self):
        if os.environ.get("KEEP_LOGS"):
            for name in os.listdir(self.folder):
                shutil.copy(os.path.join(self.folder, name),
                            os.environ["KEEP_LOGS"])


class NotRun(Exception):
    """The case could not run."""


def main(case_file, play, n_hosts=3):
    """Plays PLAY (deployment, trouble) and exits by what it found."""
    case = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        d = Deployment(case, n_hosts)
        d.record.add("trouble" if trouble else "no trouble")
        try:
            if not os.path.exists(NODE):
                raise NotRun("target/wagtailpass-node is not built")
            await asyncio.wait_for(play(d, trouble), 110)
        except (NotRun, asyncio.TimeoutError, asyncio.CancelledError) as e:
            d.record.add("not run:", repr(e))
            print("not run: %r" % e)
            return EXIT_NOT_RUN
        finally:
            await d.stop()
            d.keep_logs()
            shutil.rmtree(d.folder, ignore_errors=True)
        for rule, what in d.breaks:
            print("%s broken: %s" % (rule, what))
        if not d.breaks:
            print("held")
        return EXIT_BROKEN if d.breaks else EXIT_HELD

    sys.exit(asyncio.run(run()))
