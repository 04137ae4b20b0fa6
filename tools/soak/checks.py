"""What the runners ran, read from their logs, against the promises."""
import collections
import re

from ledger import NEVER

LINE = re.compile(r"(\d+) (start|end|ack) (\S+) run (\d+) on (\S+) ?(\w*)")
LIFE = re.compile(r"(\d+) (born|drain|leave|lapse|gone) on (\S+)")
TICK_MS = 20  # by which stamps of different processes may differ


class Run:
    """One run of a task on one life of a runner.  Times in milliseconds of
    the clock that all processes share."""

    def __init__(self, task, number, runner, start):
        self.task, self.number, self.runner, self.start = task, number, runner, start
        self.end, self.how, self.acked = NEVER, "runs", None
        self.lapsed = False  # its lease, between its end and the acknowledgement
        self.late = False  # the runner carried out its start late by itself
        self.life, self.gone = None, NEVER  # its runner's life, and the end of that

    def __str__(self):
        return "%s run %s on %s from %d to %s %s" % (
            self.task, self.number, self.runner, self.start,
            self.end if self.end < NEVER else "now", self.how)


class Life:
    """One life of a runner: its runs, and when it took any.  Several runners
    may write one log."""

    def __init__(self, name, path, killed_at):
        self.name, self.key = name, "%s in %s" % (name, path)
        self.born, self.leaves, self.gone = NEVER, NEVER, killed_at or NEVER
        self.lapses, self.runs = [], {}
        self.closed = []  # from when to when its domain was evacuated
        with open(path, encoding="utf-8") as f:
            for line in f:
                self.read(line)
        for run in self.runs.values():
            self.end(run)

    def read(self, line):
        m = LINE.match(line)
        if m:
            if m.group(5) == self.name:
                read_line(self.runs, self.name, m)
            return
        m = LIFE.match(line)
        if not m or m.group(3) != self.name:
            return
        at, what = int(m.group(1)), m.group(2)
        if what == "lapse":
            self.lapses.append(at)
        elif what == "born":
            self.born = at
        elif what == "gone":
            self.gone = min(self.gone, at)
        else:
            self.leaves = min(self.leaves, at)

    def end(self, run):
        """What runs ends when the process is gone, by the log or at the time
        of its kill."""
        run.life, run.gone = self.key, self.gone
        if run.end > self.gone:
            run.end, run.how = max(self.gone, run.start), "gone"
        run.lapsed = run.acked is not None and any(
            run.end <= at <= run.acked for at in self.lapses)

    def serves(self, at):
        return (self.born <= at < min(self.leaves, self.gone)
                and not any(since <= at < until for since, until in self.closed))


def read_line(runs, runner, m):
    at, what, key = int(m.group(1)), m.group(2), (m.group(3), m.group(4))
    if what == "start":
        runs[key] = Run(key[0], key[1], runner, at)
        runs[key].late = m.group(6) == "late"
    elif what == "end":
        runs[key].end, runs[key].how = at, m.group(6)
    else:
        runs[key].acked = at


def compare(a, b, lasting):
    """Returns what is wrong with B, which started after A, and whether that
    is certain.  LASTING tasks are begun anew however they end.  A success counts from its end on if it was acknowledged and
    its runner held its lease until then: only a lease that is over or a life
    that ended lets the task be given to another meanwhile."""
    if b.start < a.end:
        return "TWICE at once, for %d ms" % (min(a.end, b.end) - b.start), True
    if a.how == "done" and not lasting:
        return "TWICE after done", a.acked is not None and not a.lapsed
    return None, False


def check_twice(runs, jobs):
    """Returns what is broken and what is in doubt."""
    by_task = collections.defaultdict(list)
    broken, doubts = [], []
    for run in runs:
        by_task[run.task].append(run)
    for task, same in by_task.items():
        job = jobs.get(task.split(".")[0])
        lasting = job is not None and job.lasting
        same.sort(key=lambda run: run.start)
        for i, b in enumerate(same):
            for a in same[:i]:
                what, certain = compare(a, b, lasting)
                if what:
                    (broken if certain else doubts).append("%s: %s; %s" % (what, a, b))
    return broken, doubts


def check_asked(runs, jobs):
    """No task that nobody asked for, none whose every attempt was refused."""
    broken = []
    for task in sorted({run.task for run in runs}):
        job = jobs.get(task.split(".")[0])
        if job is None:
            broken.append("UNASKED %s" % task)
        elif job.answers and all(a in (429, 503, 404, 401) for a in job.answers):
            broken.append("REFUSED %s" % task)
    return broken


def find_evacuated_starts(runs, domain, subject, ledger):
    """Returns the starts while DOMAIN was evacuated, each as milliseconds after
    the request and the run.  RUNS are of a runner there, whose trouble is SUBJECT's.
    Left out are those that the runner carried out late, and those that trouble may
    have held back from the bound on."""
    found = []
    for since, until in ledger.evacuated(domain):
        bound = since + ledger.bounds["evacuateMs"]
        found += [(run.start - since, run) for run in runs
                  if since <= run.start < until and not run.late
                  and not (run.start > bound and ledger.held(subject, bound, run.start))]
    return found


def check_evacuated(starts, bound_ms):
    """Returns those of STARTS in evacuated domains that came later than BOUND_MS
    after the request."""
    return ["EVAC start %d ms after the request: %s" % (ms, run)
            for ms, run in starts if ms > bound_ms]


def find_freed(runs, host_logs, offset):
    """Returns the lines by which a host freed all runs of a runner while some
    of them went on: tasks may start twice after it, or were lucky.  OFFSET is
    the hosts' clock less the runners'."""
    found = []
    for path in host_logs:
        with open(path, encoding="utf-8", errors="replace") as f:
            for m in re.finditer(r"^ts=(\d+) (.*event=worker_void worker=(\S+) .*)$", f.read(), re.M):
                at = int(m.group(1)) - offset
                ends = [run.end - at for run in runs if run.runner == m.group(3)
                        and run.start < at - TICK_MS and run.end > at + TICK_MS]
                if ends:
                    found.append("%d %s: %d went on for %d ms" % (at, m.group(2), len(ends), max(ends)))
    return found
