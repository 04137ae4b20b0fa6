#!/usr/bin/env python3
"""The soak's checks on fabricated logs: each is broken when it should be, and
isn't where the rule has an exception."""
import asyncio
import os
import random
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools/soak"))

import answers
import checks
import standing
from clients import COMPLETE, EOF, PARTIAL, RESET, Request
from deployment import read_site
from jobs import Job, draw_of_class
from ledger import NEVER, STORE, Ledger, now_ms
from processes import free_ports
from proxy import Link

TERM_AT = 100000
ACKED = 100000
STEP = {"count": 1, "cpu": 8000, "gpu": 1}


def make_ledger(*spans):
    ledger = Ledger()
    ledger.spans = [list(span) for span in spans]
    return ledger


def make_request(sent, ended, how, **fields):
    request = Request("h0", "GET", "a")
    request.sent, request.ended, request.how = sent, ended, how
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def make_job(*steps, **fields):
    job = Job("a", 0, "ms=1000", list(steps) or [STEP])
    job.acked = ACKED
    for name, value in fields.items():
        setattr(job, name, value)
    return job


class OwedTest(unittest.TestCase):
    TERM = (TERM_AT, NEVER, "h0", "term")

    def judge(self, request, *spans):
        return answers.check_owed([request], make_ledger(*spans))

    def broken(self, *args):
        return len(self.judge(*args)[0])

    def test_answer_that_a_terminated_host_owes(self):
        self.assertEqual(self.broken(make_request(101000, 101201, EOF), self.TERM), 1)
        self.assertEqual(self.broken(make_request(99000, 100500, EOF), self.TERM), 1)
        self.assertEqual(self.broken(make_request(106700, 106950, PARTIAL), self.TERM), 1)

    def test_connection_that_ends_within_the_slack(self):
        self.assertEqual(self.broken(make_request(101000, 101200, EOF), self.TERM), 0)

    def test_time_that_the_caller_did_not_look_is_not_counted(self):
        self.assertEqual(self.broken(make_request(101000, 101300, EOF, lag=150), self.TERM), 0)

    def test_request_that_was_not_read_is_in_doubt(self):
        broken, doubts = self.judge(make_request(101000, 101500, RESET), self.TERM)
        self.assertEqual((len(broken), len(doubts)), (0, 1))

    def test_answer_after_the_time_of_grace(self):
        self.assertEqual(self.broken(make_request(106900, 107201, EOF), self.TERM), 0)

    def test_connection_that_ended_before_the_signal(self):
        self.assertEqual(self.broken(make_request(99000, 99900, EOF), self.TERM), 0)

    def test_deadline(self):
        self.assertEqual(self.broken(make_request(100000, 103000, EOF), self.TERM), 0)

    def test_unplanned_disruption(self):
        late = make_request(101000, 101500, EOF)
        self.assertEqual(self.broken(late, self.TERM, (97100, 97200, "h0", "stop")), 0)
        self.assertEqual(self.broken(late, self.TERM, (96000, 97100, STORE, "inject")), 0)
        self.assertEqual(self.broken(late, self.TERM, (96000, 96900, "h0", "stop")), 1)
        self.assertEqual(self.broken(late, self.TERM, (97100, 97200, "h1", "stop")), 1)

    def test_hup(self):
        hup = (TERM_AT, TERM_AT, "h0", "hup")
        self.assertEqual(self.broken(make_request(102500, 102900, EOF), hup), 1)
        self.assertEqual(self.broken(make_request(102501, 102900, EOF), hup), 0)

    def test_config(self):
        change = (TERM_AT, TERM_AT + 500, STORE, "config")
        beside = make_request(101000, 101500, EOF)
        late = make_request(101000, 103101, EOF)
        calm = [make_request(200000 + i, 200300 + i, EOF) for i in range(2)]
        fine = [make_request(300000 + i, 300001 + i, COMPLETE) for i in range(4)]
        self.assertEqual(self.broken(beside, change), 1)
        self.assertEqual(self.broken(late, change), 0)
        for others, expected in (calm, 0), (calm + fine, 0), (calm + 2 * fine, 1):
            broken, _ = answers.check_owed([beside] + others, make_ledger(change))
            self.assertEqual(len(broken), expected)


class KnownTest(unittest.TestCase):
    def judge(self, request, *spans, **fields):
        broken, doubts = answers.check_known([request], {"a": make_job(**fields)},
                                             make_ledger(*spans))
        return len(broken), len(doubts)

    def gone(self, at=ACKED + 3001, status=410):
        return make_request(at, at + 5, COMPLETE, status=status)

    def test_accepted_job_that_is_gone(self):
        self.assertEqual(self.judge(self.gone()), (1, 0))
        self.assertEqual(self.judge(self.gone(status=404)), (1, 0))

    def test_not_visible_yet(self):
        self.assertEqual(self.judge(self.gone(ACKED + 3000)), (0, 0))

    def test_cancelled_job(self):
        self.assertEqual(self.judge(self.gone(), cancelled=ACKED + 10), (0, 0))

    def test_job_that_nobody_accepted(self):
        self.assertEqual(self.judge(self.gone(), acked=None), (0, 0))

    def test_host_out_of_touch(self):
        for subject, kind in ("h0", "stop"), ("h0", "term"), (STORE, "inject"), ("h0", "link 1"):
            span = (ACKED - 1000, ACKED - 999, subject, kind)
            self.assertEqual(self.judge(self.gone(), span), (0, 1))
        self.assertEqual(self.judge(self.gone(), (ACKED, NEVER, "h1", "down")), (1, 0))

    def test_job_that_was_over_long_ago(self):
        self.assertEqual(self.judge(self.gone(ACKED + 130000), final=ACKED + 5000), (0, 0))
        self.assertEqual(self.judge(self.gone(ACKED + 100000), final=ACKED + 5000), (1, 0))

    def shown(self, state, runs=(), **fields):
        request = make_request(ACKED + 10, ACKED + 12, COMPLETE, status=200,
                               body=b'{"state":"%s"}' % state)
        return len(answers.check_states([request], {"a": make_job(**fields)}, runs))

    def test_state_without_cause(self):
        runs = [checks.Run("a.0.0.0", i, "w0", ACKED) for i in range(4)]
        for run in runs:
            run.how = "failed"
        self.assertEqual(self.shown(b"cancelled"), 1)
        self.assertEqual(self.shown(b"failed"), 1)
        self.assertEqual(self.shown(b"failed", runs[:3]), 1)
        self.assertEqual(self.shown(b"failed", runs), 0)
        self.assertEqual(self.shown(b"cancelled", cancelled=ACKED + 5), 0)
        self.assertEqual(self.shown(b"running"), 0)


class StandTest(unittest.TestCase):
    """One or two runners, each a file of lines as the stand-in prints them."""

    UNTIL = ACKED + 20000

    def read(self, *logs):
        lives = []
        for i, lines in enumerate(logs):
            with tempfile.NamedTemporaryFile("w", suffix=".log") as f:
                f.write("%d born on w%d\n" % (ACKED - 9000, i))
                f.writelines("%d %s on w%d%s\n" % (at, what, i, how) for at, what, how in lines)
                f.flush()
                lives.append(checks.Life("w%d" % i, f.name, None))
        return lives

    def judge(self, jobs, *logs, calm=None):
        """Returns what is broken, and the longest stand that is not."""
        lives = self.read(*logs)
        runs = [run for life in lives for run in life.runs.values()]
        jobs = {job.name: job for job in jobs}
        stands = standing.find_stands(jobs, runs, lives, calm or [(ACKED - 5000, self.UNTIL)])
        broken, doubts = standing.check_standing(stands, jobs)
        return len(broken), len(doubts), max([s.ms for s in stands], default=0)

    @staticmethod
    def run_lines(task, start, end, how="done", number=1, acked=True):
        lines = [(start, "start %s run %d" % (task, number), ""),
                 (end, "end %s run %d" % (task, number), " " + how)]
        return lines + [(end + 5, "ack %s run %d" % (task, number), " " + how)][:acked]

    def test_job_that_never_begins(self):
        broken, doubts, ms = self.judge([make_job()], [])
        self.assertEqual((broken, doubts), (1, 0))
        self.assertGreater(ms, 19000)

    def test_job_that_begins_in_time(self):
        log = self.run_lines("a.0.0.0", ACKED + 2900, ACKED + 5000)
        broken, _, ms = self.judge([make_job()], log)
        self.assertEqual(broken, 0)
        self.assertTrue(2800 <= ms <= 2900)
        late = self.run_lines("a.0.0.0", ACKED + 3100, ACKED + 5000)
        self.assertEqual(self.judge([make_job()], late)[0], 1)

    def test_second_step_that_stands(self):
        job = make_job(STEP, dict(STEP, after=[0]))
        log = self.run_lines("a.0.0.0", ACKED + 100, ACKED + 5000)
        self.assertEqual(self.judge([job], log)[0], 1)

    def test_task_while_others_of_its_job_run(self):
        job = make_job(dict(STEP, count=2))
        log = self.run_lines("a.0.0.0", ACKED + 100, self.UNTIL)
        self.assertEqual(self.judge([job], log)[0], 0)

    def test_lost_success(self):
        """Nobody took note of the end before the runner was gone."""
        log = self.run_lines("a.0.0.0", ACKED + 100, ACKED + 2000, acked=False)
        log.append((ACKED + 2500, "gone", ""))
        self.assertEqual(self.judge([make_job()], log, [])[0], 1)
        self.assertEqual(self.judge([make_job()], log[:-1], [])[0], 0)

    def test_success_that_counted_though_not_acknowledged(self):
        log = self.run_lines("a.0.0.0", ACKED + 100, ACKED + 2000, acked=False)
        log.append((ACKED + 2500, "gone", ""))
        job = make_job(state="completed", final=self.UNTIL)
        self.assertEqual(self.judge([job], log, [])[0], 0)
        again = self.run_lines("a.0.0.0", ACKED + 9000, ACKED + 9500, number=2)
        self.assertEqual(self.judge([job], log, again)[0], 1)

    def test_failed_job_that_is_asked_for_late(self):
        log = self.run_lines("a.0.0.0", ACKED + 100, ACKED + 200, "failed")
        self.assertEqual(self.judge([make_job()], log)[0], 1)
        job = make_job(state="failed", final=self.UNTIL)
        self.assertEqual(self.judge([job], log)[0], 0)

    def test_hopeless_job_that_stands_is_in_doubt(self):
        job = make_job()
        job.text = "ms=1000 failat=100"
        self.assertEqual(self.judge([job], [])[:2], (0, 1))

    def test_without_room_for_it_twice(self):
        wide = make_job(dict(STEP, count=5, gang=True))
        self.assertEqual(self.judge([wide], [])[0], 0)
        self.assertEqual(self.judge([wide], [], [])[0], 1)

    def test_while_half_of_the_room_is_in_use(self):
        other = Job("b", 0, "", [dict(STEP, count=4)])
        other.acked = ACKED
        log = [line for i in range(4)
               for line in self.run_lines("b.0.0.%d" % i, ACKED, self.UNTIL)]
        self.assertEqual(self.judge([make_job(), other], log)[:2], (0, 1))

    def test_stand_that_the_service_was_full_for_a_part_of(self):
        other = Job("b", 0, "", [dict(STEP, count=4)])
        other.acked = ACKED
        log = [line for i in range(4)
               for line in self.run_lines("b.0.0.%d" % i, ACKED, ACKED + 17500)]
        self.assertEqual(self.judge([make_job(), other], log)[:2], (0, 1))
        other.acked = ACKED + 4000
        log = [line for i in range(4)
               for line in self.run_lines("b.0.0.%d" % i, ACKED + 4000, self.UNTIL)]
        self.assertEqual(self.judge([make_job(), other], log)[:2], (1, 0))

    def test_outside_calm(self):
        calm = [(ACKED + 1000, ACKED + 3900), (ACKED + 9000, ACKED + 11900)]
        self.assertEqual(self.judge([make_job()], [], calm=calm)[0], 0)

    def test_runner_that_takes_nothing(self):
        for what in "drain", "leave", "gone":
            log = [(ACKED + 2000, what, "")]
            self.assertEqual(self.judge([make_job()], log)[0], 0)

    def test_job_that_is_over(self):
        self.assertEqual(self.judge([make_job(cancelled=ACKED + 1000)], [])[0], 0)
        self.assertEqual(self.judge([make_job(final=ACKED + 1000)], [])[0], 0)

    def test_lasting_task(self):
        job = make_job(dict(STEP, count=2, perpetual=True))
        lines = (self.run_lines("a.0.0.0", ACKED + 100, self.UNTIL) +
                 self.run_lines("a.0.0.1", ACKED + 100, ACKED + 4000))
        back = self.run_lines("a.0.0.1", ACKED + 12900, self.UNTIL, number=2)
        self.assertEqual(self.judge([job], lines)[0], 1)
        self.assertEqual(self.judge([job], lines + back)[0], 0)

    def test_lasting_task_may_not_stand_however_full_the_service_is(self):
        job = make_job(dict(STEP, perpetual=True))
        other = Job("b", 0, "", [dict(STEP, count=5)])
        other.acked = ACKED
        log = [line for i in range(5)
               for line in self.run_lines("b.0.0.%d" % i, ACKED, self.UNTIL)]
        self.assertEqual(self.judge([job, other], log)[0], 1)


    def test_room_by_capacity(self):
        """Room for a whole runner's task is not the sum of pieces."""
        other = Job("b", 0, "", [{"count": 4, "memMb": 1000, "gpu": 1}])
        other.acked = ACKED
        logs = [self.run_lines("b.0.0.%d" % i, ACKED, self.UNTIL) for i in range(4)]
        for whole, expected in (8, 0), (7, 1):
            job = make_job({"count": 1, "cpu": 1, "memMb": 1, "gpu": whole})
            self.assertEqual(self.judge([job, other], *logs)[0], expected)
        job = make_job({"count": 1, "memMb": 255001, "gpu": 1})
        self.assertEqual(self.judge([job, other], *logs)[0], 0)

    def test_runners_that_share_a_log(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as f:
            for i in range(2):
                f.write("%d born on w0.%d\n%d start a.0.0.%d run 1 on w0.%d \n" % (
                    ACKED + i, i, ACKED + 10 + i, i, i))
            f.write("%d leave on w0.1\n" % (ACKED + 100))
            f.flush()
            first, second = [checks.Life("w0.%d" % i, f.name, None) for i in range(2)]
        self.assertEqual([run[0] for run in second.runs], ["a.0.0.1"])
        self.assertNotEqual(first.key, second.key)
        self.assertTrue(first.serves(ACKED + 101) and not second.serves(ACKED + 101))


class SiteTest(unittest.TestCase):
    SITE = os.path.join(os.path.dirname(__file__), "small-site.toml")

    def test_figures(self):
        site = read_site(self.SITE, 1.0)
        self.assertEqual(len(site.hosts), 4)
        self.assertEqual([rack.size for rack in site.groups], [2, 2, 2, 2, 2, 1])
        self.assertEqual(site.room, {"cpu": 24000, "memMb": 96000, "gpu": 4})
        self.assertEqual((site.tenants, site.guaranteed), (3, 7))
        self.assertEqual(site.bounds["stableMs"], 4500)
        self.assertEqual(site.store_latency_ms("hills"), 15)
        self.assertAlmostEqual(sum(c.share for c in site.classes), 1)
        self.assertEqual(len(read_site(self.SITE, 0.5).hosts), 2)

    def test_jobs(self):
        site = read_site(self.SITE, 1.0)
        rng = random.Random(1)
        for of in site.classes:
            jobs = [draw_of_class(rng, "a", of, 6, ["k"]) for _ in range(400)]
            steps = [step for job, _ in jobs for step in job.steps]
            self.assertEqual({step["gpu"] for step in steps}, set(of.accelerators))
            self.assertLessEqual(max(step["count"] for step in steps), of.width["max"])
            self.assertAlmostEqual(sum("gang" in step for step in steps) / len(steps), of.gang, 1)
            self.assertAlmostEqual(sum(cancel for _, cancel in jobs) / 400, of.cancelled, 1)
            self.assertTrue(all(job.attempts == of.attempts for job, _ in jobs))


class EchoServer:
    """A target of a link."""

    def __init__(self, port):
        self.port, self.server, self.writers = port, None, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while data := await reader.read(1):
            writer.write(data)
        writer.close()

    def end(self):
        self.server.close()
        for writer in self.writers:
            writer.close()


async def call(port):
    return await asyncio.open_connection("127.0.0.1", port)


async def echo(connection):
    reader, writer = connection
    writer.write(b"x")
    return await reader.read(1)


class LinkTest(unittest.TestCase):
    def test_latency_is_of_each_piece_not_of_all(self):
        async def carry():
            ports = free_ports(1, 1)
            arrived = []

            async def take(reader, writer):
                while await reader.read(1):
                    arrived.append(now_ms())
                writer.close()

            server = await asyncio.start_server(take, "127.0.0.1", ports.store)
            link = Link(ports.runner_link(0), ports.store, Ledger(), "h0", 100)
            await link.start()
            _, writer = await asyncio.open_connection("127.0.0.1", ports.runner_link(0))
            sent = []
            for _ in range(5):
                sent.append(now_ms())
                writer.write(b"x")
                await asyncio.sleep(0.03)
            writer.close()
            await asyncio.sleep(0.4)
            await link.stop()
            server.close()
            return [b - a for a, b in zip(sent, arrived)]

        took = asyncio.run(carry())
        self.assertEqual(len(took), 5)
        self.assertGreaterEqual(min(took), 99)
        self.assertLess(max(took), 220)

    def test_target_that_crashes_silently(self):
        async def crash():
            ports = free_ports(1, 1)
            port, target = ports.runner_link(0), EchoServer(ports.store)
            await target.start()
            link = Link(port, ports.store, Ledger(), "h0")
            await link.start()
            waits, sends = await call(port), await call(port)
            self.assertEqual([await echo(waits), await echo(sends)], [b"x", b"x"])
            link.lose_target()
            target.end()
            late = asyncio.create_task(echo(await call(port)))
            await asyncio.sleep(0.1)
            self.assertFalse(late.done())
            await target.start()
            self.assertEqual([await late, await echo(sends)], [b"x", b""])
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(waits[0].read(1), 0.1)
            await link.stop()
            target.end()

        asyncio.run(asyncio.wait_for(crash(), 5))


class EvacuatedTest(unittest.TestCase):
    SINCE, UNTIL = ACKED, ACKED + 9000
    EVACUATED = (SINCE, UNTIL, "za", "evacuated")

    def judge(self, after_ms, *spans, late=False, domain="za"):
        run = checks.Run("a.0.0.0", "1", "w0", self.SINCE + after_ms)
        run.late = late
        ledger = make_ledger(self.EVACUATED, *spans)
        ledger.bounds = ledger.bounds | {"evacuateMs": 5000}
        starts = checks.find_evacuated_starts([run], domain, "runner 0", ledger)
        return len(checks.check_evacuated(starts, 5000))

    def test_start_after_the_bound(self):
        self.assertEqual([self.judge(ms) for ms in (4999, 5000, 5001, 8999)], [0, 0, 1, 1])

    def test_start_outside_the_evacuation(self):
        self.assertEqual([self.judge(ms) for ms in (-1, 9000)], [0, 0])
        self.assertEqual(self.judge(6000, domain="zb"), 0)

    def test_domain_evacuated_again_has_a_bound_of_its_own(self):
        again = (self.UNTIL + 500, self.UNTIL + 9500, "za", "evacuated")
        self.assertEqual(self.judge(9000 + 500 + 5000, again), 0)
        self.assertEqual(self.judge(9000 + 500 + 5001, again), 1)

    def test_start_that_was_held_back(self):
        self.assertEqual(self.judge(6000, late=True), 0)
        for until, expected in (5600, 0), (4900, 1):
            trouble = (self.SINCE + 4000, self.SINCE + until, "runner 0", "link 1")
            self.assertEqual(self.judge(6000, trouble), expected)
        self.assertEqual(self.judge(6000, (ACKED + 5500, ACKED + 5900, "runner 0", "stop")), 1)
        self.assertEqual(self.judge(6000, (ACKED, NEVER, "h0", "stop")), 1)

    def test_evacuation_is_no_trouble(self):
        ledger = make_ledger(self.EVACUATED)
        self.assertEqual(ledger.calm_spans(0, self.UNTIL), [(0, self.UNTIL)])
        self.assertTrue(ledger.in_touch("h0", self.SINCE, self.UNTIL))


class LedgerTest(unittest.TestCase):
    def test_link_that_is_cut(self):
        async def cut(kind, ledger):
            link = Link(free_ports(1, 1).store, 1, ledger, "h0")
            await link.cut_off(kind)
            during = ledger.disrupted("h0", now_ms(), now_ms())
            await link.heal()
            await link.stop()
            return during

        for kind in "silent", "refuse", "one_way":
            ledger = Ledger()
            self.assertTrue(asyncio.run(cut(kind, ledger)))
            self.assertEqual(ledger.open, {})

    def test_calm_spans(self):
        ledger = make_ledger((1000, 2000, "h0", "stop"), (7000, 8000, "runner 1", "away"),
                             (7500, 7600, "h0", "hup"))
        self.assertEqual(ledger.calm_spans(0, 20000), [(0, 1000), (6000, 7000), (12000, 20000)])

    def test_span_that_is_still_open(self):
        ledger = make_ledger((1000, NEVER, "h0", "stop"))
        self.assertEqual(ledger.calm_spans(0, 20000), [(0, 1000)])


if __name__ == "__main__":
    unittest.main()
