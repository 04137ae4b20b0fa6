"""What callers were answered, against rule LOST."""
import collections

from clients import COMPLETE, DEADLINE_MS, EOF, PARTIAL, RESET

LOSS_SLACK_MS = 200
STATUS_MS = 120000  # for which a job that is over is known
RATE_FACTOR = 3  # cuts beside a configuration count from here on
USED_SHARE = 0.7  # of its time; later cuts beside a configuration don't count


def is_cut(request):
    """Tells whether the host read all of REQUEST and then ended the
    connection without a complete answer, not at the deadline.  A reset
    without a byte of an answer says that it did not read all."""
    late = request.ended - request.lag - request.sent > LOSS_SLACK_MS
    return (request.how in (EOF, PARTIAL) and late
            and request.ended - request.sent < DEADLINE_MS)


def near_signal(request, ledger):
    """Returns the planned signal of the host beside which REQUEST ended."""
    grace_ms, apply_ms = ledger.bounds["graceS"] * 1000, ledger.bounds["configApplyMs"]
    for since, _, _, kind in ledger.during(request.sent - max(grace_ms + 1000, apply_ms),
                                           request.ended, (request.host,)):
        if kind == "term" and since <= request.ended <= since + grace_ms + 1000:
            return kind
        if kind == "hup" and request.sent <= since + apply_ms and request.ended >= since:
            return kind
    return None


def near_config(request, ledger):
    apply_ms = ledger.bounds["configApplyMs"]
    return any(kind == "config" and since <= request.ended <= until + apply_ms + 1000
               for since, until, _, kind in ledger.spans)


def check_config_cuts(requests, ledger):
    """Returns the cut requests beside configurations, of hosts that cut over
    RATE_FACTOR times as often then as else."""
    broken = []
    for host in sorted({r.host for r in requests}):
        of_host = [r for r in requests if r.host == host]
        beside = [r for r in of_host if near_config(r, ledger)]
        other = [r for r in of_host if not near_config(r, ledger)]
        cut = [r for r in beside if is_cut(r) and not near_signal(r, ledger)]
        rate = sum(map(is_cut, other)) / max(len(other), 1)
        if cut and len(cut) / len(beside) > RATE_FACTOR * rate:
            broken += [r for r in cut if r.ended - r.sent <= USED_SHARE * DEADLINE_MS]
    return broken


def check_owed(requests, ledger):
    """Every request that a host has read is answered while planned work goes
    on there.  Returns what is broken, and in doubt: connections reset late,
    whose requests the host seems not to have read."""
    calm = [r for r in requests if not ledger.disrupted(r.host, r.sent, r.ended)]
    broken, doubts = [], []
    for r in calm:
        kind = near_signal(r, ledger)
        if kind and is_cut(r):
            broken.append("LOST answer beside %s: %s" % (kind, r))
        elif kind and r.how == RESET and r.ended - r.lag - r.sent > LOSS_SLACK_MS:
            doubts.append("unread beside %s: %s" % (kind, r))
    broken += ["LOST answer beside config: %s" % r for r in check_config_cuts(calm, ledger)]
    return broken, doubts


def asks_for_accepted(requests, jobs):
    """Yields the answered GETs for jobs that were accepted and nobody has
    cancelled."""
    for r in requests:
        job = jobs.get(r.job)
        if r.method != "GET" or r.how != COMPLETE or not job or not job.acked:
            continue
        if not job.cancelled or r.ended < job.cancelled:
            yield r, job


def check_known(requests, jobs, ledger):
    """An accepted job is known to every host in touch, from visibleMs on."""
    visible_ms = ledger.bounds["visibleMs"]
    broken, doubts = [], []
    for r, job in asks_for_accepted(requests, jobs):
        gone = job.final and r.sent > job.final + STATUS_MS
        if r.status not in (404, 410) or r.sent <= job.acked + visible_ms or gone:
            continue
        certain = ledger.in_touch(r.host, r.sent, r.ended)
        (broken if certain else doubts).append(
            "LOST, accepted at %d: %s" % (job.acked, r))
    return broken, doubts


def failed_runs(job, runs):
    """Returns how often a task or a gang of JOB, which had RUNS, has ended
    failed, at most."""
    ends = {}
    for run in runs:
        _, _, step, index = run.task.split(".")
        if run.how == "failed":
            gang = job.steps[int(step)].get("gang")
            ends.setdefault((step, None if gang else index), set()).add(run.number)
    return max(map(len, ends.values()), default=0)


def check_states(requests, jobs, runs):
    """No job is shown as failed or cancelled without cause."""
    broken = {}
    by_job = collections.defaultdict(list)
    for run in runs:
        by_job[run.task.split(".")[0]].append(run)
    for r, job in asks_for_accepted(requests, jobs):
        state = r.state()
        if state == "cancelled" or (state == "failed" and failed_runs(job, by_job[job.name]) < job.attempts):
            broken.setdefault(job.name, "LOST %s without cause: %s" % (state, r))
    return list(broken.values())


def describe(requests):
    """Returns how many requests ended in which way."""
    counts = {}
    for r in requests:
        key = str(r.status) if r.how == COMPLETE else r.how
        counts[key] = counts.get(key, 0) + 1
    return ", ".join("%d %s" % (n, key) for key, n in sorted(counts.items()))
