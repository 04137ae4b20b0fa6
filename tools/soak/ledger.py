"""What the soak disturbed and when, so that checks judge only what was calm."""
import time

from deployment import USUAL_BOUNDS

NEVER = 1 << 60
STORE = "store"  # the subject of what concerns all hosts
PLANNED = {"term", "hup", "config"}  # all else is unplanned
EVACUATED = "evacuated"  # kind of a span whose subject is a failure domain; not trouble
HELD_MS = 1000  # for which a call may be on its way after trouble has ended


def now_ms():
    """The clock of the runners' logs, common to all processes."""
    return int(time.monotonic() * 1000)


class Ledger:
    """Spans of trouble, each of a subject (a host's or runner's name, or
    STORE) and a kind."""

    def __init__(self, bounds=None):
        self.bounds = bounds or USUAL_BOUNDS
        self.stable_ms = self.bounds["stableMs"]  # calm for so long, a machine is in touch
        self.spans = []  # [from, to, subject, kind]
        self.open = {}

    def at(self, subject, kind, from_ms=None):
        """Notes trouble of one moment, or that has lasted since FROM_MS."""
        now = now_ms()
        self.spans.append([now if from_ms is None else from_ms, now, subject, kind])

    def begin(self, subject, kind):
        if (subject, kind) not in self.open:
            self.open[subject, kind] = span = [now_ms(), NEVER, subject, kind]
            self.spans.append(span)

    def end(self, subject, kind):
        span = self.open.pop((subject, kind), None)
        if span:
            span[1] = now_ms()

    def during(self, since, until, subjects=None):
        """Returns the spans that touch SINCE to UNTIL, of all SUBJECTS or
        some."""
        return [s for s in self.spans if s[0] <= until and s[1] >= since
                and (subjects is None or s[2] in subjects)]

    def disrupted(self, host, since, until):
        """Tells whether anything unplanned happened to HOST or the store from
        stable_ms before SINCE until UNTIL."""
        return any(s[3] not in PLANNED
                   for s in self.during(since - self.stable_ms, until, (host, STORE)))

    def in_touch(self, host, since, until):
        """Tells whether HOST was in touch all the while: it ran, and neither
        it nor its way to the store was disturbed, as planned or not; changes
        of the configuration disturb nobody."""
        return not any(s[3] not in ("hup", "config")
                       for s in self.during(since - self.stable_ms, until, (host, STORE)))

    def evacuated(self, domain):
        """Returns from when to when DOMAIN was evacuated, each time."""
        return [(s[0], s[1]) for s in self.spans if s[2:] == [domain, EVACUATED]]

    def held(self, subject, since, until):
        """Tells whether trouble of SUBJECT can have held back until UNTIL what was
        sent by SINCE: it lasted all the while, with gaps of HELD_MS at most."""
        reach = None
        for start, end, _, _ in sorted(self.during(since - HELD_MS, until, (subject,))):
            if start <= (since if reach is None else reach + HELD_MS):
                reach = max(end, reach or end)
        return reach is not None and until <= reach + HELD_MS

    def calm_spans(self, since, until):
        """Returns the spans in which nothing at all was disturbed, nor for
        stable_ms before them."""
        calm, begin = [], since
        for start, end, _, _ in sorted(s for s in self.spans if s[3] != EVACUATED):
            if start > begin:
                calm.append((begin, min(start, until)))
            begin = max(begin, end + self.stable_ms)
        calm.append((begin, until))
        return [(a, b) for a, b in calm if a < b]
