"""The jobs of a soak: what is handed in, and what callers were told of it."""
import asyncio
import json
import math

from deployment import MOST_LENGTH_MS, N_QUEUES, USUAL_ATTEMPTS
from clients import TOKEN
from ledger import now_ms

LONG_MS = (3000, 11000)  # a task that outlasts an entry and a lease
SHORT_MS = (200, 2500)
LASTING_MS = (2000, 9000)  # after which a lasting task may fail
FINAL = ("completed", "cancelled", "failed")
TRIES = 4
CANCEL_SHARE = 0.1
LASTING_SHARE = 0.08
HOPELESS_SHARE = 0.04  # jobs whose every run fails
PERMILLE = 1000
MOST_WIDTH = 78  # tasks of a step, so that one job doesn't fill a small service


class Job:
    def __init__(self, name, queue, text, steps, attempts=USUAL_ATTEMPTS, token=TOKEN):
        self.name, self.queue, self.text, self.steps = name, queue, text, steps
        self.attempts, self.token = attempts, token
        self.answers = []  # of each attempt to hand it in
        self.acked = None  # when the first success came back
        self.cancelled = None  # when the first request to cancel it was sent
        self.final = None  # when a host first said that it is over
        self.state = None  # what was said then

    @property
    def path(self):
        return "/q%d/%s" % (self.queue, self.name)

    @property
    def lasting(self):
        return any(step.get("perpetual") for step in self.steps)

    @property
    def hopeless(self):
        """Fails whenever it runs; the rules count such a job as a disruption."""
        return "failat=" in self.text and not self.lasting

    def body(self):
        return json.dumps({"spec": self.text, "steps": self.steps})

    def note(self, request):
        """Takes note of what a GET was answered."""
        state = request.state()
        if state in FINAL and not self.final:
            self.final, self.state = request.ended, state


def draw_job(rng, name, lasting):
    """Returns a job that nobody has handed in yet."""
    if lasting:
        step = {"count": rng.randint(1, 2), "cpu": 4000, "gpu": 1, "perpetual": True}
        fails = " failat=%d" % rng.randint(*LASTING_MS) if rng.random() < 0.5 else ""
        return Job(name, rng.randrange(N_QUEUES), "perpetual ms=300" + fails, [step])
    gang = rng.random() < 0.3
    count = rng.randint(1, 4)
    length = rng.randint(*(LONG_MS if rng.random() < 0.45 else SHORT_MS))
    step = {"count": count, "cpu": 8000, "gpu": 1, "estimateMs": length}
    if gang:
        step["gang"] = True
    steps = [step]
    if rng.random() < 0.3:
        steps.append({"count": 1, "cpu": 1000, "estimateMs": 300, "after": [0]})
    fails = " failat=%d" % rng.randint(50, 150) if rng.random() < HOPELESS_SHARE else ""
    return Job(name, rng.randrange(N_QUEUES), "ms=%d%s" % (length, fails), steps)


def draw_around(rng, figure, least=1):
    """Returns a positive number around a mean, as a site gives it."""
    spread = figure.get("spread", 0)
    drawn = rng.lognormvariate(math.log(figure["mean"]) - spread * spread / 2, spread)
    return max(least, round(min(drawn, figure.get("max", drawn))))


def draw_step(rng, of, n_racks, length):
    """Returns a step of a class of a site."""
    step = {"count": min(draw_around(rng, of.width), MOST_WIDTH),
            "gpu": rng.choice(of.accelerators), "estimateMs": length, **of.needs}
    if rng.random() < of.gang:
        step["gang"] = True
        if rng.random() < of.same_rack:
            step["sameRack"] = True
    if rng.random() < of.affinity:
        step["affinity"] = "r%d" % rng.randrange(n_racks)
    if rng.random() < of.spread:
        step["maxPerServer"] = 1
    if rng.random() < of.saves:
        step["checkpointing"] = True
    return step


def draw_of_class(rng, name, of, n_racks, tokens):
    """Returns a job of a class of a site, and whether it will be cancelled."""
    length = min(draw_around(rng, of.length_ms), MOST_LENGTH_MS)
    steps = [draw_step(rng, of, n_racks, length) for _ in range(draw_around(rng, of.steps))]
    for i, step in enumerate(steps[1:]):
        step["after"] = [i]
    text = "ms=%d errors=%d" % (length, round(of.errors * PERMILLE))
    if any(step.get("gang") for step in steps):
        text += " gang"
    if rng.random() < of.hopeless:
        text += " failat=%d" % rng.randint(50, 150)
    job = Job(name, of.queue, text, steps, of.attempts, rng.choice(tokens))
    return job, rng.random() < of.cancelled


async def hand_in(callers, job, cancel, on_accepted):
    """Hands JOB in until it is accepted or TRIES are over; then has it
    cancelled if told so."""
    for _ in range(TRIES):
        request = await callers.ask("POST", job.path, job.body(), job=job)
        job.answers.append(request.status)
        if request.status == 200:
            job.acked = request.ended
            on_accepted(job)
            break
        await asyncio.sleep(0.2)
    if job.acked and cancel:
        job.cancelled = now_ms()
        await callers.ask("DELETE", job.path, job=job)
