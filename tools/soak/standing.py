"""Tasks that stand: by the runners' logs, a job that could run and doesn't."""
import collections

from deployment import USUAL_ROOM
from ledger import NEVER

STAND_MS = 3000
LASTING_MS = 6000  # after its last run, a lasting task should be back
STEP_MS = 50  # between looks
IDLE_SHARE = 0.5  # of the room in use
ROOMS_NEEDED = 2  # "capacity for it twice over"


class Stand:
    """The longest times for which a job, or a lasting task, stood: however
    full the service was, and while less than half of its room was in use."""

    def __init__(self, name):
        self.name = name
        self.ms = self.until = self.idle_ms = 0

    def __str__(self):
        return "%s could run and doesn't for %d ms up to %d, for %d ms while the room was %s" % (
            self.name, self.ms, self.until, self.idle_ms, "less than half in use")

    def note(self, at, ms, idle_ms):
        if ms >= self.ms:
            self.ms, self.until = ms, at
        self.idle_ms = max(self.idle_ms, idle_ms)


class Task:
    """A task of JOB with all of its runs."""

    def __init__(self, job, step, index, runs):
        self.job, self.number = job, step
        self.name = "%s.0.%d.%d" % (job.name, step, index)
        self.step = job.steps[step]
        self.runs = runs.get(self.name, [])
        self.lasting = bool(self.step.get("perpetual"))

    def runs_at(self, at):
        return any(run.start <= at < run.end for run in self.runs)

    def is_done(self, at):
        """A success that nobody took note of goes with its runner's life."""
        return not self.lasting and any(
            run.how == "done" and run.end <= at and (run.acked is not None or at < run.gone)
            for run in self.runs)

    def last_end(self, at):
        return max([run.end for run in self.runs if run.end <= at], default=self.job.acked)


def tasks_of(job, runs):
    return [[Task(job, number, index, runs) for index in range(step["count"])]
            for number, step in enumerate(job.steps)]


def step_is_done(tasks, at):
    """One success of a gang stands for all of it."""
    done = [task.is_done(at) for task in tasks]
    return any(done) if tasks[0].step.get("gang") else all(done)


def due_tasks(steps, at):
    """Returns the tasks whose turn has come and that aren't done."""
    done = [step_is_done(tasks, at) for tasks in steps]
    return [task for tasks, over in zip(steps, done) if not over
            and all(done[before] for before in tasks[0].step.get("after", []))
            for task in tasks if not task.is_done(at)]


class Room:
    """What is free on each runner, at one moment."""

    def __init__(self, lives, running, at, whole):
        self.whole, self.held = whole, {}
        self.free = {life.key: dict(whole) for life in lives if life.serves(at)}
        for run, step in running:
            for kind in whole:
                if run.life in self.free:
                    self.free[run.life][kind] -= step.get(kind, 0)

    def used(self):
        """Returns the share of the scarcest resource that is in use."""
        n = len(self.free)
        return max((1 - sum(free[kind] for free in self.free.values()) / (n * self.whole[kind])
                    for kind in self.whole), default=1) if n else 1

    def holds(self, step):
        """Tells whether STEP, a gang as a whole or one of its tasks, fits
        ROOMS_NEEDED times."""
        wanted = ROOMS_NEEDED * (step["count"] if step.get("gang") else 1)
        needs = tuple((kind, step[kind]) for kind in self.whole if step.get(kind))
        if needs not in self.held:
            self.held[needs] = sum(max(0, min(free[kind] // n for kind, n in needs))
                                   for free in self.free.values())
        return self.held[needs] >= wanted


def over_at(job, steps):
    """Returns from when on JOB is owed nothing more.  That is the end of its
    last run if it has come to its end by itself, whenever that was asked: a
    success that was listed may have counted without an acknowledgement."""
    ends = [run.end for tasks in steps for task in tasks for run in task.runs]
    by_itself = job.state in ("completed", "failed") and ends
    return min(job.cancelled or NEVER, job.final or NEVER, max(ends) if by_itself else NEVER)


def standing(steps, at, room):
    """Yields the names of what stands of a job at AT, given free ROOM.  A
    lasting task stands by itself, whether others of its job run or not."""
    idle = not any(task.runs_at(at) for tasks in steps for task in tasks)
    if not idle and not steps[0][0].job.lasting:
        return
    due = [task for task in due_tasks(steps, at) if room.holds(task.step)]
    if idle and not all(task.lasting for task in due):
        yield due[0].job.name
    for task in due:
        if task.lasting and not task.runs_at(at) and at >= task.last_end(at) + LASTING_MS:
            yield task.name


def find_stands(jobs, runs, lives, calm, room=None):
    """Returns what stood in the spans that CALM names, the longest stand of
    each job or lasting task.  Each runner has ROOM."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    steps = [tasks_of(job, by_task) for job in jobs.values() if job.acked]
    wanted = {run: task.step for tasks in steps for step in tasks for task in step
              for run in task.runs}
    stands = {}
    owed = [(tasks, tasks[0][0].job.acked, over_at(tasks[0][0].job, tasks)) for tasks in steps]
    for since, until in calm:
        look_through(stands, owed, wanted, lives, (since, until), room or USUAL_ROOM)
    return list(stands.values())


def look_through(stands, owed, wanted, lives, span, whole):
    """Adds what stood in a calm SPAN to STANDS, by name.  OWED has the steps
    of jobs, and from when to when they are owed."""
    since, until = span
    begun, idle = {}, {}  # of what stands: since when; so, in an idle service
    for at in range(since, until, STEP_MS):
        running = [(run, step) for run, step in wanted.items() if run.start <= at < run.end]
        room = Room(lives, running, at, whole)
        names = {name for steps, acked, over in owed if acked <= at < over
                 for name in standing(steps, at, room)}
        begun = {name: begun.get(name, at) for name in names}
        idle = {name: idle.get(name, at) for name in names if room.used() < IDLE_SHARE}
        for name in names:
            stand = stands.setdefault(name, Stand(name))
            stand.note(at, at - begun[name], at - idle.get(name, at))


def check_standing(stands, jobs):
    """Returns what stood too long.  A lasting task may not stand however
    full the service is; another job is in doubt then.  So is a hopeless one:
    the time near it isn't calm by the rules, which count it as a disruption."""
    broken, doubts = [], []
    for stand in stands:
        job = jobs[stand.name.split(".")[0]]
        if not job.hopeless and (stand.ms if job.lasting else stand.idle_ms) >= STAND_MS:
            broken.append("LOST %s" % stand)
        elif stand.ms >= STAND_MS:
            doubts.append("stood, %s: %s" % (
                "but fails whenever it runs" if job.hopeless else "in a full service", stand))
    return broken, doubts
