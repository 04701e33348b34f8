"""Advisor queries of few daemons: long ones beside short ones.

The advisor takes 0.5 s for a query about a patient step and 0.03 s for one about an
urgent step, and answers one query at a time for each daemon.
"""

import asyncio
import unittest
from collections import defaultdict
from datetime import timedelta

from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.protocol.messages import Answered
from damaskdeck.protocol.queues import AdvisorTiming, StepSpec
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Step
from standins.loops import LoopClock
from tests.poolcluster import SECOND, SMALL, make_job, make_queue
from tests.virtual import virtual

LONG = AdvisorTiming(SECOND / 2, timedelta(), 2.5 * SECOND)
SHORT = AdvisorTiming(0.03 * SECOND, timedelta(), 2.5 * SECOND)
SWEEP_INTERVAL = 0.1


class StubAdvisor:
    """The daemons' calls to the advisor, one at a time for each daemon.

    :ivar answered_at: when the queries about each step were answered.
    :ivar busy: for how many seconds the advisor has worked for each daemon.
    """

    def __init__(self, clock: LoopClock) -> None:
        self.answered_at: dict[str, float] = {}
        self.busy: defaultdict[str, float] = defaultdict(float)
        self.timings: dict[str, AdvisorTiming] = {}
        self._clock = clock
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def call(self, daemon: str, message, kind, timeout: timedelta) -> Answered:
        """Answer a query; all workers are consented to."""
        step = message["step"]
        async with self._locks[daemon]:
            await self._clock.sleep(self.timings[step].base)
        self.answered_at[step] = self._clock.monotonic().total_seconds()
        self.busy[daemon] += self.timings[step].base.total_seconds()
        consents = [(worker, "ticket") for worker in message["workers"]]
        return Answered({"code": "", "consents": consents})


class AdviceCase(unittest.TestCase):
    """An advisor's queries, sent by a number of daemons."""

    def start(self, daemons: int) -> None:
        """Start the scheduler; the owner's sweep dispatches what waits."""
        self.clock = LoopClock()
        self.advisor = StubAdvisor(self.clock)
        names = [f"d{number}" for number in range(daemons)]
        self.scheduler = AdviceScheduler(
            self.advisor, self.clock, lambda: names, lambda step: None
        )
        self.queued_at: dict[str, float] = {}
        self.sweep = asyncio.ensure_future(self.dispatch_all())

    async def dispatch_all(self) -> None:
        """Dispatch periodically."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.scheduler.dispatch()

    def query(self, name: str, timing: AdvisorTiming) -> None:
        """Queue a query about the only step of a job."""
        spec = make_job(StepSpec(1, SMALL, SECOND))
        record = JobRecord(name, make_queue(advice=timing), spec, 1, 0.0, ())
        step: Step = Job(record, 0.0).occurrences[0][0]
        self.advisor.timings[step.name] = timing
        self.queued_at[step.name] = self.clock.monotonic().total_seconds()
        self.scheduler.enqueue(step, ["w0"], timing.base.total_seconds())

    async def query_regularly(
        self, kind: str, timing: AdvisorTiming, interval: float, seconds: float
    ) -> None:
        """Queue a query in each interval."""
        for number in range(round(seconds / interval)):
            self.query(f"{kind}{number}", timing)
            await asyncio.sleep(interval)

    def list_waits(self, kind: str, timing: AdvisorTiming) -> list[float]:
        """List the seconds from each query to the begin of its answer."""
        base = timing.base.total_seconds()
        return [
            answered_at - self.queued_at[step] - base
            for step, answered_at in self.advisor.answered_at.items()
            if step.startswith(kind)
        ]


class TestFewDaemons(AdviceCase):
    """Two daemons, one of which is reserved for short queries."""

    # Accepted jobs waited for a minute while the reserved daemon had nothing to do.
    @virtual
    async def test_a_backlog_of_long_queries_uses_all_daemons(self):
        self.start(daemons=2)
        for number in range(20):
            self.query(f"long{number}", LONG)
        await asyncio.sleep(7)
        self.assertEqual(len(self.advisor.answered_at), 20)
        self.assertEqual(len(self.advisor.busy), 2)

    # More long queries than one daemon can send, with short ones all the time: none of
    # them may wait for ever.
    @virtual
    async def test_long_queries_keep_up_beside_short_ones(self):
        self.start(daemons=2)
        await asyncio.gather(
            self.query_regularly("long", LONG, 0.4, 30),
            self.query_regularly("short", SHORT, 0.1, 30),
        )
        await asyncio.sleep(3)
        self.assertEqual(len(self.list_waits("long", LONG)), 75)
        self.assertLess(max(self.list_waits("long", LONG)), 3.0)
        # A short query waits for one long query at most.
        self.assertLess(max(self.list_waits("short", SHORT)), 0.6)

    @virtual
    async def test_short_queries_do_not_wait_while_one_daemon_sends_the_long_ones(self):
        self.start(daemons=2)
        await asyncio.gather(
            self.query_regularly("long", LONG, 0.6, 30),
            self.query_regularly("short", SHORT, 0.1, 30),
        )
        self.assertLess(max(self.list_waits("short", SHORT)), 0.05)

    @virtual
    async def test_one_daemon_sends_both(self):
        self.start(daemons=1)
        for number in range(4):
            self.query(f"long{number}", LONG)
            self.query(f"short{number}", SHORT)
        await asyncio.sleep(3)
        self.assertEqual(len(self.advisor.answered_at), 8)


class TestManyDaemons(AdviceCase):
    """With more daemons some stay free of long queries, whatever the backlog."""

    @virtual
    async def test_a_backlog_leaves_a_daemon_to_short_queries(self):
        self.start(daemons=7)
        for number in range(100):
            self.query(f"long{number}", LONG)
        await self.query_regularly("short", SHORT, 0.1, 6)
        self.assertEqual(len(self.list_waits("short", SHORT)), 60)
        self.assertLess(max(self.list_waits("short", SHORT)), 0.05)

    # The reserve by share is kept in larger systems, however long queries wait.
    @virtual
    async def test_a_share_of_many_daemons_sends_no_long_queries(self):
        self.start(daemons=20)
        for number in range(200):
            self.query(f"long{number}", LONG)
        await asyncio.sleep(5)
        self.assertEqual(len(self.advisor.busy), 17)
