"""The processes of a test of callers: started, and ended by their own ids."""
import http.client
import json
import os
import socket
import subprocess
import time

BUILD = os.environ.get("BUILD", "build")
HOST = "127.0.0.1"
MIB = 1 << 20
TOKEN = "callers-token"
ESTABLISHED, LISTENING, END_NOT_ACKNOWLEDGED = "01", "0A", "04"  # states in /proc/net/tcp
START_S = 20  # a process that is not up by then has failed
CONFIG = {"version": 1, "limits": {}, "services": [{"name": "render"}],
          "routes": [{"name": "q1", "host": "callers.example", "prefix": "/q1/",
                      "service": "render", "priority": 1, "attempts": 3, "stretch": 3,
                      "targetLatencyMs": 1000}],
          "tenants": [{"name": "alpha", "apiKeys": [TOKEN], "guaranteed": {"gpu": 8}}]}


def free_ports(n):
    """Returns N ports of loopback that no program listens on."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(n)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def ask(port, method, path, body=None, headers=None):
    """Returns status and text of an answer on a connection of its own; None where no
    answer came."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def until(condition, what, seconds=START_S):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(what)
        time.sleep(0.05)


class Host:
    """A host and what it needs around it.  Its kind says how it is set up."""

    def __init__(self, work):
        self.work, self.processes = work, []
        self.host = None  # the process under test

    def start(self, name, *argv):
        with open("%s/%s.log" % (self.work, name), "ab") as log:
            process = subprocess.Popen(argv, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def write(self, name, settings):
        path = "%s/%s.json" % (self.work, name)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        return path

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def is_alive(self):
        return self.host.poll() is None

    def resident(self, name):
        """The bytes of memory that the process has (VmRSS), or the most that it has had at
        once (VmHWM)."""
        with open("/proc/%d/status" % self.host.pid, encoding="ascii") as f:
            for line in f:
                if line.startswith(name):
                    return int(line.split()[1]) * 1024
        return 0

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.host.pid))

    def doors(self):
        """The port of each listener of the process under test, by its name."""
        raise NotImplementedError

    def kernel_sockets(self):
        """Yields local address, remote address, state and queues of each TCP socket."""
        with open("/proc/net/tcp", encoding="ascii") as f:
            for line in f:
                yield line.split()[1:5]

    def addresses(self):
        return {"0100007F:%04X" % port for port in self.doors().values()}

    def queued(self):
        """The bytes that wait in the kernel on the connections of all its listeners."""
        doors, n = self.addresses(), 0
        for local, _, state, queues in self.kernel_sockets():
            if local in doors and state != LISTENING:
                sent, received = queues.split(":")
                n += int(sent, 16) + int(received, 16)
        return n

    def undelivered_ends(self):
        """How many connections are open for the host that their clients have closed, as the
        kernel has not delivered the end: it tries again ever later where the host's backlog
        was full."""
        doors, sockets = self.addresses(), list(self.kernel_sockets())
        closed = {local for local, remote, state, _ in sockets
                  if remote in doors and state == END_NOT_ACKNOWLEDGED}
        return sum(local in doors and state == ESTABLISHED and remote in closed
                   for local, remote, state, _ in sockets)


class NodeHost(Host):
    """wagtailpass-node before a stand-in of its platform."""

    def __init__(self, work, limits, configured=True):
        super().__init__(work)
        self.limits, self.configured = limits, configured

    def begin(self):
        store, self.port, self.ready_port, self.metrics_port = free_ports(4)
        self.start("platform", BUILD + "/wagtailpass-standin", "platform", "--port",
                   str(store), "--runners", "0", "--seconds", "300")
        until(lambda: ask(store, "GET", "/"), "the store does not answer")
        if self.configured:
            ask(store, "POST", "/standin/config", json.dumps(CONFIG))
        path = self.write("host", {
            "node": "h0", "zone": "z", "ip": HOST, "limits": self.limits,
            "listen": {"front": "%s:%d" % (HOST, self.port),
                       "readiness": "%s:%d" % (HOST, self.ready_port)},
            "portRange": [self.metrics_port, self.metrics_port + 1],
            "platform": {"address": "%s:%d" % (HOST, store)}})
        self.host = self.start("host", BUILD + "/wagtailpass-node", "--settings", path)
        expected = 200 if self.configured else 503
        until(lambda: (ask(self.ready_port, "GET", "/api/readyz") or [0])[0] == expected,
              "the host is not ready")

    head = ("POST /q1/%016x HTTP/1.1\r\nHost: callers.example\r\n"
            "Authorization: Bearer " + TOKEN + "\r\n")
    question = ("GET /q1/ HTTP/1.1\r\nHost: callers.example\r\n"
                "Authorization: Bearer " + TOKEN + "\r\n\r\n")

    page = "POST /api/readyz HTTP/1.1\r\nHost: h\r\n"

    def doors(self):
        return {"callers": self.port, "readiness": self.ready_port,
                "metrics": self.metrics_port}

    def serves(self):
        """Whether an ordinary request is answered as it should be."""
        job = {"spec": "ms=1", "steps": [{"count": 1, "cpu": 1000, "estimateMs": 1}]}
        answer = ask(self.port, "POST", "/q1/00000000000000ff", json.dumps(job),
                     {"Host": "callers.example", "Authorization": "Bearer " + TOKEN})
        return answer is not None and answer[0] == (200 if self.configured else 503)

    def is_watched(self):
        return all(ask(port, "GET", path) is not None for port, path in
                   ((self.ready_port, "/api/readyz"), (self.metrics_port, "/metrics")))


class DaemonHost(Host):
    """wagtailpassd before stand-ins of its store and one upstream."""

    def __init__(self, work, limits):
        super().__init__(work)
        self.limits = limits

    def begin(self):
        store, upstream, self.port, self.operators, self.peers = free_ports(5)
        for name, port in (("store", store), ("upstream", upstream)):
            self.start(name, BUILD + "/wagtailpass-standin", name, "--port", str(port),
                       "--seconds", "300")
        self.fleet = {
            "domain": "a", "callers_address": HOST, "operators_address": HOST,
            "peer_key": "callers-key-0123456789", "store_address": HOST, "store_port": store,
            "hosts": [{"name": "m1", "domain": "a", "address": HOST, "port": self.peers}] +
                     self.other_hosts(),
            "upstreams": [{"name": "up-1", "domain": "a", "address": HOST, "port": upstream,
                           "slots": 8, "connections": 60}], "workers": []}
        self.host = self.start_daemon("m1", self.port, self.operators)
        until(lambda: (ask(self.operators, "GET", "/healthz") or [0])[0] == 200,
              "the host is not ready")
        table = self.work + "/table.csv"
        with open(table, "w", encoding="utf-8") as f:
            f.write("workspace,weight\nalpha,1\n")
        self.start("table", BUILD + "/wagtailpass", "-o", "%s:%d" % (HOST, self.operators),
                   "table", "apply", table).wait()
        until(self.serves, "the table is not in force")

    def other_hosts(self):
        return []

    def start_daemon(self, name, callers, operators):
        path = self.write(name, dict(self.fleet, **self.limits, host=name,
                                     callers_port=callers, operators_port=operators))
        return self.start(name, BUILD + "/wagtailpassd", "--settings", path)

    head = ("POST /v1/requests HTTP/1.1\r\nHost: h\r\nX-Workspace: alpha\r\n"
            "X-Repeatable: 1\r\nX-Caller: c%d\r\n")

    page = "POST /metrics HTTP/1.1\r\nHost: h\r\n"

    def doors(self):
        return {"callers": self.port, "operators": self.operators, "peers": self.peers}

    expected = (200,)

    def serves(self):
        answer = ask(self.port, "POST", "/v1/requests", "hello",
                     {"X-Workspace": "alpha", "X-Repeatable": "1"})
        return answer is not None and answer[0] in self.expected

    def is_watched(self):
        return ask(self.operators, "GET", "/metrics") is not None


class BusyDaemonHost(DaemonHost):
    """wagtailpassd with more requests of a workspace than its upstream takes: to refuse the
    next one is an answer, too."""
    expected = (200, 503)


class PairedHost(DaemonHost):
    """wagtailpassd, and another host of its domain that starts once a crowd is there."""

    def __init__(self, work, limits):
        super().__init__(work, limits)
        self.other_callers, self.other_operators, self.other_peers = free_ports(3)

    def other_hosts(self):
        return [{"name": "m2", "domain": "a", "address": HOST, "port": self.other_peers}]

    def is_watched(self):
        """Whether the other host reaches this one as its peer."""
        self.start_daemon("m2", self.other_callers, self.other_operators)
        try:
            until(self.is_linked, "no link")
        except RuntimeError:
            return False
        return super().is_watched()

    def is_linked(self):
        answer = ask(self.other_operators, "GET", "/metrics")
        return answer is not None and "\nwagtailpass_wire_peers 1\n" in answer[1]
