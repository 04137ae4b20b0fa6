"""What a soak plays: hosts, racks of runners, tenants, classes of jobs, bounds.
Either the usual one, or one with the figures of a site file."""
import collections
import tomllib

Class = collections.namedtuple(
    "Class", "name queue priority attempts share target_ms stretch length_ms width steps needs "
    "accelerators gang same_rack affinity spread saves errors hopeless cancelled")
Place = collections.namedtuple("Place", "zone region link_mbps cpu_share")
Rack = collections.namedtuple("Rack", "zone size")

USUAL_ROOM = {"cpu": 64000, "memMb": 256000, "gpu": 8}
USUAL_BOUNDS = {"graceS": 6, "stableMs": 4000, "configApplyMs": 2500, "visibleMs": 3000,
                "finishS": 14, "holdMaxMs": 10000, "revokeMs": 5000}
USUAL_EVACUATE_MS = 5000
USUAL_DOMAINS = ("za", "zb", "zc")
USUAL_ATTEMPTS = 4
N_QUEUES = 3
RUNNERS_PER_RACK = 4
LINK_MBPS = (2, 10, 1000)  # of a host, by its settings: calls wait for the link
MOST_LENGTH_MS = 20000  # a longer job would outlast the soak


class Deployment:
    """The usual one: runners that are processes of their own, four a rack, racks
    and hosts in turn in three failure domains of a region, and jobs that are drawn by
    jobs.py."""

    def __init__(self, hosts, runners, link_mbps):
        self.bounds = USUAL_BOUNDS | {"evacuateMs": USUAL_EVACUATE_MS}
        self.room = USUAL_ROOM
        self.regions = dict.fromkeys(USUAL_DOMAINS, "r")
        self.hosts = [Place(usual_domain(i), "r", link_mbps, 0.25) for i in range(hosts)]
        self.groups = [Rack(usual_domain(i // RUNNERS_PER_RACK), 1) for i in range(runners)]
        self.per_rack = RUNNERS_PER_RACK
        self.tenants, self.guaranteed = 1, 8
        self.classes = []
        self.per_s = max(1.0, runners / 8) / 0.3

    def domains(self):
        """Returns the failure domains that have runners and may be evacuated."""
        return sorted({rack.zone for rack in self.groups}) if "evacuateMs" in self.bounds else []

    def queues(self):
        """Returns priority, attempts, stretch and target of each queue."""
        if not self.classes:
            return [(p, USUAL_ATTEMPTS, 3, 1000) for p in range(N_QUEUES)]
        return [(c.priority, c.attempts, c.stretch, c.target_ms) for c in self.classes]

    def store_latency_ms(self, _zone):
        """Returns the time one way from a zone to the store."""
        return 0


class Site(Deployment):
    """Figures of a site file.  Each rack is a process, so that its runners
    share their faults."""

    def __init__(self, site, scale):
        service = site["services"][0]
        node = service["node"]
        self.regions = {zone["name"]: zone["region"] for zone in site["zones"]}
        self.bounds = read_bounds(site)
        self.room = {"cpu": node["cpu"], "memMb": node["mem_mb"], "gpu": node["gpu"]}
        self.hosts = [Place(m["zone"], self.regions[m["zone"]], m["link_mbps"], m["cpu_share"])
                      for m in site["machines"] for _ in range(scaled(m["count"], scale))]
        self.groups = [Rack(s["zone"], size) for s in service["servers"]
                       for size in racks(scaled(s["count"], scale), node["rack"])]
        self.per_rack = 1
        runners = sum(rack.size for rack in self.groups)
        tenants = site.get("tenants", {})
        self.tenants = tenants.get("count", 1)
        self.guaranteed = int(tenants.get("sure", 0) * runners * node["gpu"] / self.tenants)
        self.classes = read_classes(site)
        self.per_s = sum(t["per_s"] for t in site["traffic"]) * scale
        self.net = site["net"]

    def store_latency_ms(self, zone):
        """The store stands in the first zone."""
        home = next(iter(self.regions))
        if zone == home:
            return self.net["in_zone_ms"]
        near = self.regions[zone] == self.regions[home]
        return self.net["cross_zone_ms" if near else "cross_region_ms"]


def usual_domain(i):
    return USUAL_DOMAINS[i % len(USUAL_DOMAINS)]


def scaled(count, scale):
    return max(1, round(count * scale))


def racks(runners, size):
    return [size] * (runners // size) + [runners % size] * (runners % size > 0)


def read_bounds(site):
    bounds, timing = site["bounds"], site["timing"]
    found = {"graceS": bounds["grace_s"], "stableMs": bounds["touch_ms"],
             "configApplyMs": bounds["config_ms"], "finishS": timing["finish_s"],
             "holdMaxMs": int(timing["hold_max_ms"])}
    if "evacuate_ms" in bounds:
        found["evacuateMs"] = bounds["evacuate_ms"]
    return USUAL_BOUNDS | found


def read_classes(site):
    """The share of a class of all jobs is that of the traffic's mixes."""
    shares = collections.Counter()
    for traffic in site["traffic"]:
        whole = sum(traffic["mix"].values())
        for name, part in traffic["mix"].items():
            shares[name] += traffic["per_s"] * part / whole
    return [read_class(c, queue, shares[c["name"]] / shares.total())
            for queue, c in enumerate(site["classes"])]


def read_class(c, queue, share):
    jobs = c["jobs"]
    return Class(name=c["name"], queue=queue, priority=c["priority"], attempts=c["attempts"],
                 share=share, target_ms=int(c["aim_ms"]), stretch=jobs["stretch"],
                 length_ms=c["work_ms"], width=jobs["width"], steps=jobs["steps"],
                 needs={"cpu": int(jobs["cpu"]["mean"]), "memMb": int(jobs["mem_mb"]["mean"])},
                 accelerators=jobs["gpu"], gang=jobs.get("gang", 0),
                 same_rack=jobs.get("tight", 0), affinity=jobs.get("needs", 0),
                 spread=jobs.get("apart", 0), saves=jobs.get("saves", 0),
                 errors=c["error_share"], hopeless=c["poison"], cancelled=jobs.get("cancel", 0))


def read_site(path, scale):
    with open(path, "rb") as f:
        return Site(tomllib.load(f), scale)
